package netio

import (
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// acceptErrors are the errors that accept(2) documents, except those for invalid arguments.
var acceptErrors = []syscall.Errno{syscall.EAGAIN, syscall.EINTR, syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE,
	syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO, syscall.EPERM, syscall.ENETDOWN, syscall.ENOPROTOOPT,
	syscall.EHOSTDOWN, syscall.ENONET, syscall.EHOSTUNREACH, syscall.EOPNOTSUPP, syscall.ENETUNREACH, syscall.ETIMEDOUT,
	syscall.ENOSR, syscall.EIO}

// failAcceptFor makes all calls of accept fail with errno for the given span of time. It counts the calls, also those
// after that span.
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

// While accept fails with any error, open connections are served and the poller does not spin. Peers that wait to be
// accepted are served once accept succeeds again.
func TestServesThroughAcceptErrors(t *testing.T) {
	const span, maxCalls = 400 * time.Millisecond, 100 // calls
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
			if n := calls.Load(); n > maxCalls {
				t.Errorf("%d calls in %v, want at most %d", n, span, maxCalls)
			}
		})
	}
}

// Two servers share one socket, like two processes that inherited it. When one of them stops accepting, its open
// connections are still served. New connections go to the other server, and none is rejected.
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
	existing := dial(t, ln.Addr().String())
	expectEcho(t, existing)
	go servers[1].Serve()
	servers[0].StopAccepting()
	for range 20 {
		exchange(t, ln.Addr().String())
	}
	if n := servers[0].OpenConns(); n != 1 {
		t.Errorf("%d connections open at the server that stopped accepting, want 1", n)
	}
	expectEcho(t, existing)
	servers[0].Close()
	exchange(t, ln.Addr().String())
}

// dup returns a duplicate of a listener's descriptor, as a process would inherit it.
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
		t.Error("ListenInherited accepted a descriptor that is not open")
	}
}

// One call of Accept takes all connections that wait, in their order: the poller makes one call in a round over all connections that
// are ready, so beside a flood new clients once waited for a round each.
func TestAcceptTakesAllWaitingConnections(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener, err := newPausableListener(ln)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	var adopted []acceptedConn
	listener.adopt = func(c acceptedConn) { adopted = append(adopted, c) }
	t.Cleanup(func() {
		for _, c := range adopted {
			syscall.Close(c.fd)
		}
	})
	var clients []net.Conn
	for range maxAcceptsPerRound + 1 {
		clients = append(clients, dial(t, ln.Addr().String()))
	}
	for _, want := range []int{maxAcceptsPerRound, maxAcceptsPerRound + 1, maxAcceptsPerRound + 1} {
		if conn, err := listener.Accept(); conn != nil || err != nil {
			t.Fatalf("Accept returned %v, %v", conn, err)
		}
		if len(adopted) != want {
			t.Fatalf("%d connections are accepted, want %d", len(adopted), want)
		}
	}
	for i, client := range clients {
		if got := adopted[i].remote.String(); got != client.LocalAddr().String() {
			t.Errorf("connection %d is that of %s, want %s", i, got, client.LocalAddr())
		}
	}
}

// PeerClosed notices a close and a reset of the peer behind bytes that are not read yet.
func TestPeerClosedIsNoticedBehindUnreadInput(t *testing.T) {
	for name, leave := range map[string]func(net.Conn){
		"close": func(nc net.Conn) { nc.Close() },
		"half":  func(nc net.Conn) { _ = nc.(*net.TCPConn).CloseWrite() },
		"reset": func(nc net.Conn) { _ = nc.(*net.TCPConn).SetLinger(0); nc.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			_, nc, g := newGatedPair(t, testLimits)
			write(t, nc, "one\n")
			<-g.received // the poller waits for the handler
			if g.c.PeerClosed() {
				t.Error("the peer counts as closed while it is there")
			}
			write(t, nc, "two\n")
			leave(nc)
			for end := time.Now().Add(10 * time.Second); !g.c.PeerClosed(); time.Sleep(time.Millisecond) {
				if time.Now().After(end) {
					t.Fatal("the end of the peer is not noticed")
				}
			}
			g.release <- true
			close(g.release) // what may follow is consumed at once
		})
	}
}
