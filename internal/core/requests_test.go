package core

import (
	"slices"
	"testing"
	"time"

	"hillknot/balancer"
)

// A request is sent to an endpoint, with a source from which it fills its cache, and is answered with the result.
func TestRequestIsServed(t *testing.T) {
	h := newHarness(t)
	h.submit("page", 3*second)
	if len(h.outstanding) != 1 || h.outstanding[0].Source == nil {
		t.Fatalf("attempts %+v, want one with a source", h.outstanding)
	}
	h.finish(h.outstanding[0], AttemptResult{Status: balancer.OK, Detail: balancer.Hit, Body: []byte("x")})
	h.wait(4 * second)
	h.wantOneAnswer("served", Served)
}

// However its attempts end, a request gets one answer in time, and never has two attempts at once.
func TestEachRequestGetsOneAnswer(t *testing.T) {
	for s := balancer.Error; s <= balancer.Miss; s++ {
		for _, class := range []string{"page", "order"} {
			h := newHarness(t)
			h.submit(class, 3*second)
			sent := 0
			for end := h.now + 3*second; h.now < end && len(h.answers) == 0; h.wait(20 * time.Millisecond) {
				if len(h.outstanding) > 0 {
					sent++
					h.finish(h.outstanding[0], AttemptResult{Status: s})
				}
			}
			if len(h.answers) != 1 || h.maxConcurrent != 1 {
				t.Errorf("%s, status %d: answers %+v, %d attempts at once", class, s, h.answers, h.maxConcurrent)
			}
			if class == "order" && !s.NeverRan() && (sent != 1 || h.answers[0].Verdict != Failed) {
				t.Errorf("order, status %d: %d attempts, answers %+v; what may have run is not retried",
					s, sent, h.answers)
			}
		}
	}
}

// A request whose deadline has passed before it is read is rejected at once, and no attempt is sent.
func TestExpiredRequestIsRejected(t *testing.T) {
	h := newHarness(t)
	h.submitLate("page", second, second)
	h.wantOneAnswer("too late", Rejected)
	if h.maxConcurrent != 0 {
		t.Error("the expired request was sent")
	}
}

// After a cancellation or a closed connection a request is not answered, and its attempt is cancelled.
func TestCancelledRequestGetsNoAnswer(t *testing.T) {
	h := newHarness(t)
	id := h.submit("page", second)
	h.core.CancelRequest(id)
	h.core.RunOnce()
	h.wait(2 * second)
	if len(h.outstanding) != 0 || len(h.answers) != 0 {
		t.Errorf("%d attempts open, answers %+v; want none", len(h.outstanding), h.answers)
	}
}

// A request over the limit of open requests is rejected at once, and not queued.
func TestRequestOverLimitIsRejected(t *testing.T) {
	h := newHarness(t)
	for range h.core.limits.OpenRequests {
		h.submit("page", 3*second)
	}
	before := len(h.answers)
	h.submit("page", 3*second)
	if got := h.answers[before:]; len(got) != 1 || got[0].Verdict != Rejected {
		t.Errorf("answers %+v, want a rejection", got)
	}
}

// Page caches know a request by its txn. A second request under the txn of an open one fails, and the first is served as
// usual.
func TestDuplicateTxnFails(t *testing.T) {
	h := newHarness(t)
	for range 2 {
		h.core.Submit(h.core.NewID(), Request{Txn: "t", Class: "page", Object: 7, Timeout: second, Reply: h.reply})
		h.core.RunOnce()
	}
	h.wantOneAnswer("second", Failed)
	if len(h.outstanding) != 1 {
		t.Fatalf("%d attempts are open, want that of the first request", len(h.outstanding))
	}
	h.finish(h.outstanding[0], AttemptResult{Status: balancer.OK})
	if len(h.answers) != 2 || h.answers[1].Verdict != Served {
		t.Errorf("answers %+v, want the first request served", h.answers)
	}
}

// If the result, the client's cancellation and the deadline come in one iteration of the loop, in any order, the client
// gets one answer or, if it cancelled first, none; and no attempt follows.
func TestResultCancelAndDeadlineInOneIteration(t *testing.T) {
	for _, class := range []string{"page", "order"} {
		for _, status := range []balancer.Status{balancer.OK, balancer.Error, balancer.Rejected} {
			for _, cancelFirst := range []bool{true, false} {
				h := newHarness(t)
				id := h.submit(class, second)
				a := h.outstanding[0]
				steps := []func(){
					func() { h.core.CancelRequest(id) },
					func() { h.Cancel(a); h.core.CompleteAttempt(a, AttemptResult{Status: status}) },
				}
				if !cancelFirst {
					slices.Reverse(steps)
				}
				for _, f := range steps {
					h.core.Post(f)
				}
				h.now += second // the deadline passes, too
				h.core.RunOnce()
				h.wait(2 * second)
				if len(h.outstanding) > 0 || h.maxConcurrent > 1 {
					t.Errorf("%s, status %d, cancelled first %v: %d attempts open, %d at once",
						class, status, cancelFirst, len(h.outstanding), h.maxConcurrent)
				}
				want := 0
				if status == balancer.OK && !cancelFirst {
					want = 1
				}
				if len(h.answers) != want {
					t.Errorf("%s, status %d, cancelled first %v: answers %+v, want %d",
						class, status, cancelFirst, h.answers, want)
				}
			}
		}
	}
}

// Requests and attempts that have ended are not kept in memory by their timers until these are due.
func TestEndedRequestsLeaveNoTimers(t *testing.T) {
	h := newHarness(t)
	idle := len(h.core.timers)
	for range 50 {
		h.submit("page", 3*second)
		h.finish(h.outstanding[0], AttemptResult{Status: balancer.OK})
		cancelled := h.submit("page", 3*second)
		h.core.CancelRequest(cancelled)
		h.core.RunOnce()
	}
	if got := len(h.core.timers) - idle; got > 2 { // the module's own timer, and that of the log
		t.Errorf("%d timers are left after 100 requests that have ended", got)
	}
}

// A request that is refused takes no memory, however many come.
func TestRefusedRequestTakesNoMemory(t *testing.T) {
	h := newHarness(t)
	h.core.limits.OpenRequests = 0
	refused := Request{Txn: "7", Class: "page", Object: 7, Timeout: second, Reply: func(a Answer) Verdict { return a.Verdict }}
	if allocations := testing.AllocsPerRun(100, func() { h.core.Submit(1, refused) }); allocations > 0 {
		t.Errorf("%v allocations for a refused request, want none", allocations)
	}
}
