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

// connectErrors maps the errors that connect(2) and socket(2) document, except those for invalid arguments, to the status
// of the attempt: ConnectFailed if the endpoint can't be reached, and Rejected if this process or machine is the cause.
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

// failDials makes all dials fail with an error, and returns a counter of the dials.
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

// settledConnCount waits until the client counts no connections any more, or until the deadline, and returns how many it
// counts then. It has to wait because a dial ends some time after its attempt was cancelled.
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

// A dial that fails completes the attempt that waits for it once, with a status that says that the attempt never ran. The
// status blames the endpoint only if the endpoint may be the cause. There is no second dial for the attempt. The test
// covers an attempt that waits, one that is cancelled and one that is no longer permitted.
func TestDialFailureCompletesWaitingAttempt(t *testing.T) {
	for errno, want := range connectErrors {
		h := newHarness(t)
		dials := h.failDials(errno)
		h.send("waits")
		if e := <-h.results; e.Status != want || !e.Status.NeverRan() {
			t.Errorf("%v: the attempt completed with status %d, want %d", errno, e.Status, want)
		}
		cancelled := h.send("given up")
		h.do(func() { h.client.Cancel(cancelled) }) // its dial may or may not have failed by now
		h.do(func() { h.permit = balancer.NotSent })
		h.send("too late")
		deadline := time.After(20 * time.Second)
		for n := 0; n < 1; n++ {
			select {
			case <-h.results:
			case <-deadline:
				t.Fatalf("%v: no attempt completed before the deadline", errno)
			}
		}
		if n := h.settledConnCount(deadline); n != 0 {
			t.Errorf("%v: the client counts %d connections, want none", errno, n)
		}
		if n := dials.Load(); n > 3 {
			t.Errorf("%v: %d dials for three attempts, want at most 3", errno, n)
		}
	}
}
