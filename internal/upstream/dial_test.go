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

// connectErrors are the errors that connect(2) and socket(2) document, but for those of a wrong call, and whose fault
// each is: the endpoint can't be reached, or this process or machine lacks something.
var connectErrors = map[syscall.Errno]balancer.Status{
	syscall.ECONNREFUSED:  balancer.ConnectFailed,
	syscall.ETIMEDOUT:     balancer.ConnectFailed,
	syscall.EHOSTUNREACH:  balancer.ConnectFailed,
	syscall.ECONNRESET:    balancer.ConnectFailed,
	syscall.EHOSTDOWN:     balancer.ConnectFailed,
	syscall.EMFILE:        balancer.Rejected,
	syscall.ENFILE:        balancer.Rejected,
	syscall.ENOBUFS:       balancer.Rejected,
	syscall.ENOMEM:        balancer.Rejected,
	syscall.EADDRNOTAVAIL: balancer.Rejected,
	syscall.EADDRINUSE:    balancer.Rejected,
	syscall.ENETUNREACH:   balancer.Rejected,
	syscall.ENETDOWN:      balancer.Rejected,
	syscall.EACCES:        balancer.Rejected,
	syscall.EPERM:         balancer.Rejected,
	syscall.EAGAIN:        balancer.Rejected,
	syscall.EINTR:         balancer.Rejected,
}

// failDials has dials fail with an error, and returns how many there were so far.
func (h *harness) failDials(err error) *atomic.Int64 {
	h.t.Helper()
	dials := &atomic.Int64{}
	dial := func(string, time.Duration, config.ConnLimits, *netio.Budget, func(*netio.Conn) netio.Handler) (*netio.Conn, error) {
		dials.Add(1)
		return nil, fmt.Errorf("dial: %w", err)
	}
	h.do(func() { h.client.dialer = dial })
	return dials
}

// settledConnCount returns how many connections are counted once no dial is open any more, or at a deadline: a dial whose
// attempt was given up ends some time after it.
func (h *harness) settledConnCount(deadline <-chan time.Time) (count int) {
	for {
		h.do(func() { count = h.client.connCount })
		select {
		case <-deadline:
			return count
		default:
		}
		if count == 0 {
			return 0
		}
		time.Sleep(time.Millisecond)
	}
}

// A connection that does not come up ends the attempt that waits for it, once, as never run; the endpoint is blamed for
// that only where it may be the cause. In each state of the request, and without a second dial for it.
func TestDialFails(t *testing.T) {
	for errno, want := range connectErrors {
		h := newHarness(t)
		dials := h.failDials(errno)
		h.send("waits")
		if e := <-h.results; e.Status != want || !e.Status.NeverRan() {
			t.Errorf("%v: ended with %d, want %d", errno, e.Status, want)
		}
		given := h.send("given up")
		h.do(func() { h.client.Cancel(given) }) // its connection is still to fail, or has failed
		h.do(func() { h.permit = balancer.NotSent })
		h.send("too late")
		deadline := time.After(20 * time.Second)
		for n := 0; n < 1; n++ {
			select {
			case <-h.results:
			case <-deadline:
				t.Fatalf("%v: an attempt does not end", errno)
			}
		}
		if n := h.settledConnCount(deadline); n != 0 {
			t.Errorf("%v: %d connections stay counted, and there are none", errno, n)
		}
		if n := dials.Load(); n > 3 {
			t.Errorf("%v: %d dials for three attempts", errno, n)
		}
	}
}
