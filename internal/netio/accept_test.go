package netio

import (
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// acceptErrors are the errors that accept(2) documents, but for those of a wrong call.
var acceptErrors = []syscall.Errno{syscall.EAGAIN, syscall.EINTR, syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE,
	syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO, syscall.EPERM, syscall.ENETDOWN, syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.ENONET,
	syscall.EHOSTUNREACH, syscall.EOPNOTSUPP, syscall.ENETUNREACH, syscall.ETIMEDOUT, syscall.ENOSR, syscall.EIO}

// failAcceptFor has accept calls fail for a while, counts them, and then lets them through.
func failAcceptFor(s *Server, errno syscall.Errno, span time.Duration) (calls *atomic.Int64) {
	calls = &atomic.Int64{}
	end := time.Now().Add(span)
	s.listener.accept = func(fd int) (int, syscall.Sockaddr, error) {
		calls.Add(1)
		if time.Now().Before(end) {
			return -1, nil, errno
		}
		return acceptSocket(fd)
	}
	return calls
}

// However accept fails, and for however long: open connections are served meanwhile, the poller does not spin, and
// peers that wait to be accepted are served once accept succeeds again.
func TestServesThroughAcceptErrors(t *testing.T) {
	const span, most = 400 * time.Millisecond, 100 // calls
	for _, errno := range acceptErrors {
		t.Run(errno.Error(), func(t *testing.T) {
			t.Parallel()
			s, err := Listen("127.0.0.1:0", 100, testLimits, NewBudget(1<<20), newEcho)
			if err != nil {
				t.Fatal(err)
			}
			calls := failAcceptFor(s, errno, span)
			go s.Serve()
			t.Cleanup(s.Close)
			for range 3 {
				expectEcho(t, dial(t, s.Addr().String()))
			}
			if n := calls.Load(); n > most {
				t.Errorf("%d calls in %v, want at most %d", n, span, most)
			}
		})
	}
}

// Two servers on one socket, as two processes that inherited it: one stops accepting, and what it had goes on. New
// connections come to the other, and none is rejected.
func TestInheritedListenerIsShared(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	var servers [2]*Server
	for i := range servers {
		servers[i], err = ListenInherited(dup(t, ln), 100, testLimits, NewBudget(1<<20), newEcho)
		if err != nil {
			t.Fatal(err)
		}
	}
	t.Cleanup(servers[1].Close)
	go servers[0].Serve()
	old := dial(t, ln.Addr().String())
	expectEcho(t, old)
	go servers[1].Serve()
	servers[0].StopAccepting()
	for range 20 {
		exchange(t, ln.Addr().String())
	}
	if n := servers[0].OpenConns(); n != 1 {
		t.Errorf("%d connections at the one that stopped", n)
	}
	expectEcho(t, old)
	servers[0].Close()
	exchange(t, ln.Addr().String())
}

// dup returns a descriptor of a listener, as a process inherits one.
func dup(t *testing.T, ln net.Listener) int {
	t.Helper()
	raw, err := ln.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	fd := -1
	if err := raw.Control(func(p uintptr) { fd, err = syscall.Dup(int(p)) }); err != nil || fd < 0 {
		t.Fatal(err)
	}
	return fd
}

func TestListenInheritedRejectsClosedDescriptor(t *testing.T) {
	if _, err := ListenInherited(1<<20, 1, testLimits, NewBudget(1), newEcho); err == nil {
		t.Error("a descriptor that is not open was taken")
	}
}
