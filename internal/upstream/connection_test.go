package upstream

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"hillknot/balancer"
	"hillknot/internal/core"
	"hillknot/internal/netio"
)

// A response may arrive twice, the second time late. If a request was rejected and is sent to the same endpoint again, the
// duplicate does not complete the new attempt: an order is sent on another connection, and an idempotent request is
// cancelled before its result counts.
func TestDuplicateResponseCompletesNoLaterAttempt(t *testing.T) {
	h := newHarness(t)
	sendOrder := func(txn string) {
		a := h.attempt(txn)
		a.NonIdempotent = true
		h.do(func() { h.client.Send(a) })
	}
	sendOrder("t1")
	nc, r := h.accept()
	h.expectLine(r, "ASK t1 ")
	fmt.Fprint(nc, "t1 WAIT - 0\r\n\r\n")
	h.expectResult(balancer.Rejected)
	sendOrder("t1")
	again, second := h.accept()
	h.expectLine(second, "ASK t1 ")
	fmt.Fprint(nc, "t1 WAIT - 0\r\n\r\n")
	h.send("t2")
	h.expectLine(r, "ASK t2 ") // the client has read the duplicate before it writes t2
	fmt.Fprint(nc, "t2 LACK - 0\r\n\r\n")
	h.expectResult(balancer.Miss)
	if len(h.results) != 0 {
		t.Errorf("the duplicate completed the attempt: %+v", <-h.results)
	}
	fmt.Fprint(again, "t1 DONE - 0\r\n\r\n")
	h.expectResult(balancer.OK)
	h.send("t2")
	h.expectLine(r, "ASK t2 ")
	fmt.Fprint(nc, "t2 LACK - 0\r\n\r\n") // may be a duplicate for the first attempt or the response to the second one
	h.expectResult(balancer.Miss)
	h.expectLine(r, "QUIT t2")
	h.send("t2")
	h.expectResult(balancer.Abandoned)
}

// If an idle connection was reset, an attempt that is sent on it next has not run, and is sent again on a new connection.
func TestAttemptIsResentAfterResetOfIdleConnection(t *testing.T) {
	h := newHarness(t)
	h.send("t1")
	nc, r := h.accept()
	h.expectLine(r, "ASK t1 ")
	fmt.Fprint(nc, "t1 WAIT - 0\r\n\r\n")
	h.expectResult(balancer.Rejected)
	h.do(func() { // the client does not know of the reset yet when it sends
		nc.(*net.TCPConn).SetLinger(0)
		nc.Close()
		for c := h.client.pools[h.endpoint].conns[0]; c.transport.WriteSync([]byte("\r\n")) == nil; {
			time.Sleep(time.Millisecond)
		}
		h.client.Send(h.attempt("t2"))
	})
	_, r = h.accept()
	h.expectLine(r, "ASK t2 ")
	if len(h.results) != 0 {
		t.Errorf("the attempt completed with %+v, want it to be in flight", <-h.results)
	}
}

// A connection that breaks while it opens is not kept in the pool. Earlier, it still counted against the limit of the pool,
// so that after four such connections the endpoint was unreachable.
func TestConnectionThatBreaksAsItOpensLeavesPool(t *testing.T) {
	h := newHarness(t)
	p := &pool{address: h.endpoint.Addr, dialing: 1}
	c := &connection{client: h.client, pool: p, inFlight: map[string]*core.Attempt{}}
	if _, err := netio.Dial(p.address, 10*time.Second, h.client.limits.Upstream, h.client.budget, c.attach); err != nil {
		t.Fatal(err)
	}
	h.do(func() {
		h.client.pools[h.endpoint], h.client.connCount = p, 1
		c.fail()
		h.client.finishDial(p, c, nil)
		if len(p.conns) != 0 || p.dialing != 0 || h.client.connCount != 0 {
			t.Errorf("%d connections, %d being dialed, %d in all; want none", len(p.conns), p.dialing, h.client.connCount)
		}
	})
}

// The connection to a removed endpoint is closed when the last attempt on it ends, also if that attempt is cancelled.
func TestCancelOfLastAttemptClosesConnectionToClosedEndpoint(t *testing.T) {
	h := newHarness(t)
	a := h.send("t1")
	_, r := h.accept()
	h.expectLine(r, "ASK t1 ")
	h.do(func() { h.client.CloseEndpoint(h.endpoint); h.client.Cancel(a) })
	h.expectLine(r, "QUIT t1")
	if line, err := r.ReadString('\n'); err != io.EOF {
		t.Errorf("read %q, %v; want the end", line, err)
	}
}

// A connection is closed soon if a response on it stops before its end, because all attempts on it would wait in vain. A
// response that keeps arriving is awaited, however slowly it arrives.
func TestTruncatedResponseResetsAttempt(t *testing.T) {
	h := newHarness(t)
	h.client.limits.Upstream.ReadTimeout = time.Second
	h.send("t1")
	nc, r := h.accept()
	h.expectLine(r, "ASK t1 ")
	fmt.Fprint(nc, "t1 DONE - 130\r\n")
	for range 130 {
		time.Sleep(10 * time.Millisecond)
		fmt.Fprint(nc, "x")
	}
	fmt.Fprint(nc, "\r\n")
	h.expectResult(balancer.OK)
	h.send("t2")
	h.expectLine(r, "ASK t2 ")
	fmt.Fprint(nc, "t2 DONE - 300\r\nhe")
	h.expectResult(balancer.Reset)
}

// A connection may be lost without a close while the endpoint is healthy. A connection on which an awaited response does not
// arrive carries no new attempts, and is closed after its attempts are cancelled. Earlier, it stayed in use and carried a
// share of all requests.
func TestSilentConnectionCarriesNoNewAttempts(t *testing.T) {
	h := newHarness(t)
	a := h.send("t1")
	_, silent := h.accept()
	h.expectLine(silent, "ASK t1 ")
	h.do(func() {}) // waits until the write is complete
	h.now.Store(int64(2 * time.Second))
	h.send("t2")
	nc, r := h.accept()
	h.expectLine(r, "ASK t2 ")
	fmt.Fprint(nc, "t2 WAIT - 0\r\n\r\n")
	h.expectResult(balancer.Rejected)
	h.do(func() { h.client.Cancel(a) })
	h.expectLine(silent, "QUIT t1")
	h.now.Store(int64(4 * time.Second))
	h.send("t3")
	h.expectLine(r, "ASK t3 ")
	if line, err := silent.ReadString('\n'); err != io.EOF {
		t.Errorf("read %q, %v; want the end", line, err)
	}
}
