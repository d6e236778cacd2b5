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

// A response may come twice, the second time late. A request that was rejected, and is sent to the same endpoint again,
// is not ended by the duplicate: an order goes out on another connection, and what is idempotent is cancelled before
// its result counts.
func TestDuplicateResponse(t *testing.T) {
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
	h.expectLine(r, "ASK t2 ") // the response before it has been read
	fmt.Fprint(nc, "t2 LACK - 0\r\n\r\n")
	h.expectResult(balancer.Miss)
	if len(h.results) != 0 {
		t.Errorf("the duplicate ended the attempt: %+v", <-h.results)
	}
	fmt.Fprint(again, "t1 DONE - 0\r\n\r\n")
	h.expectResult(balancer.OK)
	h.send("t2")
	h.expectLine(r, "ASK t2 ")
	fmt.Fprint(nc, "t2 LACK - 0\r\n\r\n") // of the first, or of this
	h.expectResult(balancer.Miss)
	h.expectLine(r, "QUIT t2")
	h.send("t2")
	h.expectResult(balancer.Rejected)
}

// A reset of an idle connection proves that what is sent next has not run: it goes out again on a new one.
func TestResetOfIdleConnection(t *testing.T) {
	h := newHarness(t)
	h.send("t1")
	nc, r := h.accept()
	h.expectLine(r, "ASK t1 ")
	fmt.Fprint(nc, "t1 WAIT - 0\r\n\r\n")
	h.expectResult(balancer.Rejected)
	h.do(func() { // the client has yet to be told of the reset as it sends
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
		t.Errorf("ended with %+v", <-h.results)
	}
}

// A connection that breaks as it comes up leaves no trace. It once kept its place in the pool: after four of these the
// endpoint could not be reached any more.
func TestConnectionBreaksAsItOpens(t *testing.T) {
	h := newHarness(t)
	p := &pool{address: h.endpoint.Addr, dialing: 1}
	c := &connection{client: h.client, pool: p, inFlight: map[string]*core.Attempt{}}
	if _, err := netio.Dial(p.address, 10*time.Second, h.client.limits.Upstream, h.client.budget, c.attach); err != nil {
		t.Fatal(err)
	}
	h.do(func() {
		h.client.pools[h.endpoint], h.client.connCount = p, 1
		c.fail()
		h.client.dialed(p, c, nil)
		if len(p.conns) != 0 || p.dialing != 0 || h.client.connCount != 0 {
			t.Errorf("%d connections, %d being dialed, %d in all; want none", len(p.conns), p.dialing, h.client.connCount)
		}
	})
}

// The connection to an endpoint that is removed is closed with the last attempt on it, however that ends.
func TestCancelAtClosedEndpoint(t *testing.T) {
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

// A response that stops short ends its connection soon: all attempts on it would wait for nothing. One that goes on,
// however slowly, is waited for.
func TestTruncatedResponse(t *testing.T) {
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

// A connection may be cut off without a sign while the endpoint is healthy. One on which a response is awaited and none
// comes carries no new attempts, and is closed once its attempts are cancelled; it once stayed in use and took a share
// of all requests.
func TestSilentConnection(t *testing.T) {
	h := newHarness(t)
	a := h.send("t1")
	_, silent := h.accept()
	h.expectLine(silent, "ASK t1 ")
	h.do(func() {}) // the write is over
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
