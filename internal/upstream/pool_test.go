package upstream

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"hillknot/balancer"
	"hillknot/internal/core"
)

// Among idle connections the most recently used one is picked: the endpoint may have just closed the other one, and an order
// that is written on it then counts as one that may have run.
func TestPickPrefersLatestUsedConnection(t *testing.T) {
	h := newHarness(t)
	h.send("t1")
	older, r1 := h.accept()
	h.expectLine(r1, "ASK t1 ")
	h.send("t2")
	newer, r2 := h.accept()
	h.expectLine(r2, "ASK t2 ")
	h.now.Store(int64(time.Millisecond))
	fmt.Fprint(older, "t1 WAIT - 0\r\n\r\n")
	h.expectResult(balancer.Rejected)
	h.do(func() {}) // waits until the connection is idle
	h.now.Store(int64(2 * time.Millisecond))
	fmt.Fprint(newer, "t2 WAIT - 0\r\n\r\n")
	h.expectResult(balancer.Rejected)
	h.do(func() {}) // waits until the connection is idle
	h.send("t3")
	h.expectLine(r2, "ASK t3 ")
}

// Attempts that are sent while connections are being dialed share these connections, or fail with the dials, even if there
// are more attempts than there may be connections. Earlier, the surplus attempts failed immediately, and the endpoint was
// blamed for it.
func TestAttemptsShareConnections(t *testing.T) {
	h := newHarness(t)
	send := func(txns ...string) {
		h.do(func() { // sends all attempts before the client handles the result of any dial
			for _, txn := range txns {
				h.client.Send(h.attempt(txn))
			}
		})
	}
	send("t1", "t2", "t3", "t4", "t5")
	received := map[string]bool{}
	lines := make(chan string, 10)
	for range 2 {
		_, r := h.accept()
		go func() {
			for {
				line, err := r.ReadString('\n')
				if err != nil {
					return
				}
				if f := strings.Fields(line); len(f) > 1 {
					lines <- f[1]
				}
			}
		}()
	}
	for range 5 {
		select {
		case txn := <-lines:
			received[txn] = true
		case <-time.After(10 * time.Second):
			t.Fatalf("received only %v", received)
		}
	}
	if len(received) != 5 || len(h.results) != 0 {
		t.Errorf("received %v, %d attempts completed; want 5 received and none completed", received, len(h.results))
	}
	h.listener.Close()
	h.do(func() { h.client.CloseEndpoint(h.endpoint) })
	send("t6", "t7", "t8")
	for range 3 {
		h.expectResult(balancer.ConnectFailed)
	}
}

// When the limit of connections is reached, the connection that has been idle for the longest time is closed to make room
// for one to an endpoint that has none. If no connection is idle, the attempt is rejected, which does not blame the
// endpoint.
func TestLongestIdleConnectionMakesRoom(t *testing.T) {
	h := newHarness(t)
	h.client.limits.UpstreamConns = 1
	h.send("t1")
	nc, r := h.accept()
	h.expectLine(r, "ASK t1 ")
	other := &core.Endpoint{ID: "s-2", Addr: h.endpoint.Addr}
	toOther := func(txn string) *core.Attempt {
		a := h.attempt(txn)
		a.Endpoint = other
		return a
	}
	h.do(func() {
		h.client.Send(toOther("t2"))
	})
	h.expectResult(balancer.Rejected)
	fmt.Fprint(nc, "t1 DONE - 0\r\n\r\n")
	h.expectResult(balancer.OK)
	h.do(func() {
		h.client.Send(toOther("t3"))
	})
	_, second := h.accept()
	h.expectLine(second, "ASK t3 ")
}
