package upstream

import (
	"fmt"
	"testing"

	"hillknot/balancer"
)

func TestResponseCompletesAttempt(t *testing.T) {
	h := newHarness(t)
	h.send("t1")
	nc, r := h.accept()
	h.expectLine(r, "ASK t1 kind=c,obj=0a,seg=0,")
	h.do(func() {}) // waits until the write is complete
	if n := h.written.Load(); n != 1 {
		t.Errorf("%d attempts reported as written, want 1", n)
	}
	fmt.Fprint(nc, "t1 DONE res=cached 5\r\nhe")
	fmt.Fprint(nc, "llo\r\n")
	if e := h.expectResult(balancer.OK); string(e.Body) != "hello" || e.Detail != balancer.Hit {
		t.Errorf("result %+v", e)
	}
}

// A stop of the process between the permit and the write makes the permit outdated: nothing is written by it, the core is asked
// again, and the request carries what the new permit allows.
func TestOutdatedPermitIsRenewedBeforeTheWrite(t *testing.T) {
	h := newHarness(t)
	h.do(func() { h.outdatedPermits = 2 })
	h.send("t1")
	_, r := h.accept()
	h.expectLine(r, "ASK t1 kind=c,obj=0a,seg=0,ms=1,newer=3000 ")
	h.do(func() {}) // waits until the write is complete
	if n := h.written.Load(); n != 1 {
		t.Errorf("%d attempts reported as written, want 1", n)
	}
}

// A cancellation is written before the next attempt, and the connection stays in use. A response that crosses the
// cancellation is ignored. A new attempt of the same request is not sent to this endpoint: on another connection the
// endpoint could read it before the cancellation, and would hold two copies, as happened in the scenario join+mass.
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
	h.expectResult(balancer.Abandoned)
	h.send("t3")
	_, other := h.accept()
	h.expectLine(other, "ASK t3 ") // t1 was not written before t3 on any connection
	fmt.Fprint(nc, "t1 DONE - 0\r\n\r\nt2 WAIT - 0\r\n\r\n")
	h.expectResult(balancer.Rejected)
	if len(h.results) != 0 {
		t.Error("a response that crossed the cancellation completed an attempt")
	}
}

// A request that was in flight on a connection that closed is not sent to the same endpoint again: the endpoint may read
// the close, like a cancellation, after a request on another connection.
func TestRequestIsNotSentAgainAfterClose(t *testing.T) {
	h := newHarness(t)
	h.send("t1")
	nc, r := h.accept()
	h.expectLine(r, "ASK t1 ")
	fmt.Fprint(nc, "garbage\r\n")
	h.expectResult(balancer.Reset)
	h.send("t1")
	h.expectResult(balancer.Abandoned)
	h.send("t2")
	_, other := h.accept()
	h.expectLine(other, "ASK t2 ")
}

// An attempt in flight on a connection that breaks or receives a malformed response may have run. A refused connection
// proves that the attempt did not run.
func TestBrokenConnectionResetsAttempt(t *testing.T) {
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

// An attempt that is no longer permitted when its connection opens, for example because the endpoint is draining by then,
// is not written.
func TestAttemptNoLongerPermittedIsNotWritten(t *testing.T) {
	h := newHarness(t)
	h.do(func() { h.permit = balancer.ConnectFailed })
	h.send("t1")
	h.expectResult(balancer.ConnectFailed)
	if n := h.written.Load(); n != 0 {
		t.Errorf("%d attempts reported as written, want none", n)
	}
	h.do(func() { h.permit = balancer.OK })
	h.send("t2")
	_, r := h.accept()
	h.expectLine(r, "ASK t2 ")
}

// A new endpoint may have the address of a removed one, so new attempts are not sent over the old connections. Attempts in
// flight on these still get their responses.
func TestCloseEndpointSendsNothingOverOldConnections(t *testing.T) {
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
