package core

import (
	"strconv"
	"testing"
	"time"

	"hillknot/balancer"
)

// If an endpoint does not respond, the attempt times out and the client is answered before its deadline.
func TestSilentEndpointTimesOut(t *testing.T) {
	h := newHarness(t)
	h.submit("order", second)
	h.wait(second - 5*time.Millisecond)
	h.wantOneAnswer("silent", Failed)
	if len(h.outstanding) != 0 {
		t.Errorf("%d attempts are still open", len(h.outstanding))
	}
}

// The timeout that an endpoint is sent is the time that the client has left, to the millisecond, and no more. The router
// still ends the attempt first, as its own deadline is a margin earlier.
func TestAttemptTimeoutIsClientTimeLeft(t *testing.T) {
	const ms = time.Millisecond
	for _, waited := range []time.Duration{0, 200 * ms, 700 * ms} {
		h := newHarness(t)
		h.submitLate("page", second, waited)
		if a := h.outstanding[0]; a.Timeout != second-waited {
			t.Errorf("%v after the arrival: timeout %v, want what the client has left", waited, a.Timeout)
		}
		h.wait(second - waited - 15*ms - ms)
		if len(h.outstanding) != 1 {
			t.Errorf("%v after the arrival: the attempt timed out too early", waited)
		}
		h.wait(ms)
		if len(h.outstanding) != 0 {
			t.Errorf("%v after the arrival: the attempt is open at its deadline", waited)
		}
		h.wantOneAnswer("silent", Rejected)
	}
}

// An attempt that was decided before an endpoint began to drain must not be written afterwards, neither to that endpoint
// nor with it as source.
func TestNoPermitForDrainingEndpoint(t *testing.T) {
	for _, drained := range []string{"target", "source"} {
		h := newHarness(t)
		h.submit("page", second)
		a := h.outstanding[0]
		e := a.Endpoint
		if drained == "source" {
			e = a.Source
		}
		if s, _ := h.core.Permit(a); s != balancer.OK {
			t.Fatalf("before the drain: status %d", s)
		}
		h.core.UpdateEndpoints(draining(e.ID, e.Addr))
		if s, _ := h.core.Permit(a); !s.NeverRan() {
			t.Errorf("%s draining: status %d, want one that proves that the attempt never ran", drained, s)
		}
	}
}

// An endpoint moves to another cell or zone between the decision and the write. Its new peers do not drop repeats of what is
// written now, so the attempt must not be written, and the module decides again.
func TestNoPermitForEndpointThatMoved(t *testing.T) {
	for name, moved := range map[string]EndpointUpdate{
		"another cell": {Kind: "box", Zone: "edge", Cell: 3},
		"another zone": {Kind: "box", Zone: "hub"},
	} {
		h := newHarness(t)
		h.submit("page", second)
		a := h.outstanding[0]
		moved.ID, moved.Addr = a.Endpoint.ID, a.Endpoint.Addr
		h.core.UpdateEndpoints([]EndpointUpdate{moved})
		s, _ := h.core.Permit(a)
		if !s.NeverRan() {
			t.Errorf("%s: status %d, want one that proves that the attempt never ran", name, s)
		}
		h.finish(a, AttemptResult{Status: s})
		if len(h.outstanding) != 1 || len(h.answers) != 0 {
			t.Errorf("%s: %d attempts are open, answers %+v; want another attempt", name, len(h.outstanding), h.answers)
		}
	}
}

// A result that comes after the attempt was cancelled is ignored.
func TestResultAfterCancelIsIgnored(t *testing.T) {
	h := newHarness(t)
	id := h.submit("page", second)
	a := h.outstanding[0]
	h.core.CancelRequest(id)
	h.core.CompleteAttempt(a, AttemptResult{Status: balancer.OK})
	h.core.RunOnce()
	if len(h.answers) != 0 {
		t.Errorf("answers %+v after the cancellation, want none", h.answers)
	}
}

// If a client cancels its request while the module decides on it, the module must be told that the attempt was not
// sent. The module once counted such attempts forever, and after some hundreds of them rejected all other requests.
func TestCancelDuringDecisionReportsNotSent(t *testing.T) {
	h := newHarness(t)
	for range 500 {
		id := h.core.NewID()
		txn := strconv.Itoa(int(id))
		h.core.Submit(id, Request{Txn: txn, Class: "page", Object: 7, Timeout: second, Reply: h.reply})
		h.core.CancelRequest(id)
		h.core.RunOnce()
	}
	h.submit("page", second)
	if len(h.outstanding) != 1 || len(h.answers) != 0 {
		t.Errorf("%d attempts are open, answers %+v; want the request sent", len(h.outstanding), h.answers)
	}
}
