package upstream

import (
	"fmt"
	"testing"

	"hillknot/balancer"
)

func TestSendAndRespond(t *testing.T) {
	h := newHarness(t)
	h.send("t1")
	nc, r := h.accept()
	h.expectLine(r, "ASK t1 kind=c,obj=0a,seg=0,")
	h.do(func() {}) // the write is over
	if n := h.written.Load(); n != 1 {
		t.Errorf("%d attempts counted as written", n)
	}
	fmt.Fprint(nc, "t1 DONE res=cached 5\r\nhe")
	fmt.Fprint(nc, "llo\r\n")
	if e := h.expectResult(balancer.OK); string(e.Body) != "hello" || e.Detail != balancer.Hit {
		t.Errorf("result %+v", e)
	}
}

// A cancellation is written before the next attempt is sent, and the connection stays in use. A response that crossed
// the cancellation is ignored. The same request is not sent to this endpoint again: on another connection it could be
// read before the cancellation, and the endpoint would hold two copies (seen on join+mass); it is rejected.
func TestCancelIsWrittenBeforeNextAttempt(t *testing.T) {
	h := newHarness(t)
	a := h.send("t1")
	nc, r := h.accept()
	h.expectLine(r, "ASK t1 ")
	h.do(func() { h.client.Cancel(a) })
	h.send("t2")
	h.expectLine(r, "QUIT t1")
	h.expectLine(r, "ASK t2 ")
	h.send("t1")
	h.expectResult(balancer.Rejected)
	h.send("t3")
	_, other := h.accept()
	h.expectLine(other, "ASK t3 ") // t1 was not written before it, on this connection or another
	fmt.Fprint(nc, "t1 DONE - 0\r\n\r\nt2 WAIT - 0\r\n\r\n")
	h.expectResult(balancer.Rejected)
	if len(h.results) != 0 {
		t.Error("a response that crossed the cancellation ended an attempt")
	}
}

// What was in flight on a connection that closed is not sent to the same endpoint again: the close, like a
// cancellation, may be read after a request on another connection.
func TestRequestIsNotSentAgainAfterClose(t *testing.T) {
	h := newHarness(t)
	h.send("t1")
	nc, r := h.accept()
	h.expectLine(r, "ASK t1 ")
	fmt.Fprint(nc, "garbage\r\n")
	h.expectResult(balancer.Reset)
	h.send("t1")
	h.expectResult(balancer.Rejected)
	h.send("t2")
	_, other := h.accept()
	h.expectLine(other, "ASK t2 ")
}

// What was in flight on a connection that breaks, or brings garbage, may have run; a refused one proves that nothing
// ran.
func TestBrokenConnection(t *testing.T) {
	h := newHarness(t)
	h.send("t1")
	nc, r := h.accept()
	h.expectLine(r, "ASK t1 ")
	nc.Close()
	h.expectResult(balancer.Reset)
	h.send("t2")
	nc, r = h.accept()
	h.expectLine(r, "ASK t2 ")
	fmt.Fprint(nc, "what is this\r\n")
	h.expectResult(balancer.Reset)
	h.listener.Close()
	h.send("t3")
	h.expectResult(balancer.ConnectFailed)
}

// What may no longer be sent when the connection comes up, as the endpoint is draining by then, is not written.
func TestAttemptNoLongerPermittedIsNotWritten(t *testing.T) {
	h := newHarness(t)
	h.do(func() { h.permit = balancer.ConnectFailed })
	h.send("t1")
	h.expectResult(balancer.ConnectFailed)
	if n := h.written.Load(); n != 0 {
		t.Errorf("%d attempts counted as written", n)
	}
	h.do(func() { h.permit = balancer.OK })
	h.send("t2")
	_, r := h.accept()
	h.expectLine(r, "ASK t2 ")
}

// A new endpoint may have the address of one that is removed: nothing is sent over the old connections.
func TestCloseEndpoint(t *testing.T) {
	h := newHarness(t)
	h.send("t1")
	nc, r := h.accept()
	h.expectLine(r, "ASK t1 ")
	h.do(func() { h.client.CloseEndpoint(h.endpoint) })
	fmt.Fprint(nc, "t1 DONE - 0\r\n\r\n")
	h.expectResult(balancer.OK)
	h.send("t2")
	_, r = h.accept()
	h.expectLine(r, "ASK t2 ")
}
