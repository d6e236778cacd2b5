package netio

import (
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// acceptErrors are the errors that accept(2) documents, but for those of a wrong call.
var acceptErrors = []syscall.Errno{syscall.EAGAIN, syscall.EINTR, syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS,
	syscall.ENOMEM, syscall.EPROTO, syscall.EPERM, syscall.ENETDOWN, syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.ENONET,
	syscall.EHOSTUNREACH, syscall.EOPNOTSUPP, syscall.ENETUNREACH, syscall.ETIMEDOUT, syscall.ENOSR, syscall.EIO}

// failFor has accept calls fail for a while, counts them, and then lets them through.
func failFor(s *Server, errno syscall.Errno, span time.Duration) (calls *atomic.Int64) {
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

// However accept fails, and for however long: the connections that are open are served meanwhile, the poller does not spin, and
// who waits to be accepted is served once that goes well again.
func TestAcceptFails(t *testing.T) {
	const span, most = 400 * time.Millisecond, 100 // calls
	for _, errno := range acceptErrors {
		s, err := Listen("127.0.0.1:0", 100, lim, NewBudget(1<<20), func(c *Conn) Handler { return echo{c} })
		if err != nil {
			t.Fatal(err)
		}
		calls := failFor(s, errno, span)
		go s.Serve()
		t.Cleanup(s.Close)
		for range 3 {
			echoed(t, dial(t, s.Addr().String()))
		}
		if n := calls.Load(); n > most {
			t.Errorf("%v: %d calls in %v, want at most %d", errno, n, span, most)
		}
	}
}
