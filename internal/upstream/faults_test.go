package upstream

import (
	"fmt"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"hillknot/balancer"
	"hillknot/internal/config"
	"hillknot/internal/netio"
)

// connectErrors are the errors that connect(2) and socket(2) document, but for those of a wrong call, and whose fault each is:
// the page cache is not reached, or this process or machine lacks something.
var connectErrors = map[syscall.Errno]balancer.Status{
	syscall.ECONNREFUSED: balancer.ConnectFailed, syscall.ETIMEDOUT: balancer.ConnectFailed, syscall.EHOSTUNREACH: balancer.ConnectFailed,
	syscall.ECONNRESET: balancer.ConnectFailed, syscall.EHOSTDOWN: balancer.ConnectFailed,
	syscall.EMFILE: balancer.Rejected, syscall.ENFILE: balancer.Rejected, syscall.ENOBUFS: balancer.Rejected, syscall.ENOMEM: balancer.Rejected,
	syscall.EADDRNOTAVAIL: balancer.Rejected, syscall.EADDRINUSE: balancer.Rejected, syscall.ENETUNREACH: balancer.Rejected, syscall.ENETDOWN: balancer.Rejected,
	syscall.EACCES: balancer.Rejected, syscall.EPERM: balancer.Rejected, syscall.EAGAIN: balancer.Rejected, syscall.EINTR: balancer.Rejected,
}

// failDials has connections not come up for a reason; calls counts them.
func (b *bench) failDials(err error) (calls *atomic.Int64) {
	calls = &atomic.Int64{}
	b.do(func() {
		b.cl.dialer = func(string, time.Duration, config.Conn, *netio.Budget, func(*netio.Conn) netio.Handler) (*netio.Conn, error) {
			calls.Add(1)
			return nil, fmt.Errorf("dial: %w", err)
		}
	})
	return calls
}

// A connection that does not come up ends the attempt that waits for it, once, as never run; a page cache is blamed for
// what it may have done alone. In each state of the request, and without a second call for it.
func TestConnectFails(t *testing.T) {
	for errno, want := range connectErrors {
		b := newBench(t)
		calls := b.failDials(errno)
		b.send("waits")
		if e := <-b.ends; e.Status != want || !e.Status.NeverRan() {
			t.Errorf("%v: ended with %d, want %d", errno, e.Status, want)
		}
		given := b.send("given up")
		b.do(func() { b.cl.Cancel(given) }) // its connection is still to fail, or has failed
		b.permit = balancer.NotSent
		b.send("too late")
		deadline := time.After(20 * time.Second)
		for n := 0; n < 1; n++ {
			select {
			case <-b.ends:
			case <-deadline:
				t.Fatalf("%v: an attempt does not end", errno)
			}
		}
		time.Sleep(time.Millisecond)
		b.do(func() {
			if n := b.cl.conns; n != 0 {
				t.Errorf("%v: %d connections are counted, and there are none", errno, n)
			}
		})
		if n := calls.Load(); n > 3 {
			t.Errorf("%v: %d calls for three attempts", errno, n)
		}
	}
}
