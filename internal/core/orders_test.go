package core

import (
	"errors"
	"testing"
	"time"

	"hillknot/balancer"
)

// fakeOrderFailover is an OrderFailover that answers as the test sets, and records its calls.
type fakeOrderFailover struct {
	rejectReplicas, sendPermitted, holdRejections bool
	permissionRequests, cancelled                 []string
	finished                                      []Answer
	claims                                        []balancer.RequestID
	stoppedWaiting, cancelledClaims               int
}

func (f *fakeOrderFailover) Replicate(*Request, time.Duration) error {
	if f.rejectReplicas {
		return errors.New("no replica")
	}
	return nil
}

func (f *fakeOrderFailover) Claim(id balancer.RequestID, _ *Request, _ time.Duration) {
	f.claims = append(f.claims, id)
}

func (f *fakeOrderFailover) CancelClaim(balancer.RequestID) { f.cancelledClaims++ }

func (f *fakeOrderFailover) RequestSendPermission(txn string) {
	f.permissionRequests = append(f.permissionRequests, txn)
}

func (f *fakeOrderFailover) UseSendPermission(string) bool { return f.sendPermitted }

func (f *fakeOrderFailover) Finish(_ string, a Answer, _ bool) bool {
	f.finished = append(f.finished, a)
	return f.holdRejections && a.Verdict == Rejected
}

func (f *fakeOrderFailover) StopWaiting(string) { f.stoppedWaiting++ }

func (f *fakeOrderFailover) Cancel(txn string, _ bool) { f.cancelled = append(f.cancelled, txn) }

func (f *fakeOrderFailover) Flush() {}

func (f *fakeOrderFailover) Metrics() []Metric { return nil }

// withOrderFailover sets a fake order failover in the core, and returns it.
func (h *harness) withOrderFailover() *fakeOrderFailover {
	failover := &fakeOrderFailover{}
	h.core.SetOrderFailover(failover)
	h.core.limits.OrderReleaseDelay = second / 4
	return failover
}

// claim submits a request that resumes the request which another router took under the given txn.
func (h *harness) claim(class, txn string) balancer.RequestID {
	return h.claimWithin(class, txn, 2*second)
}

// claimWithin is claim for a client that stops waiting after the given time.
func (h *harness) claimWithin(class, txn string, timeout time.Duration) balancer.RequestID {
	id := h.core.NewID()
	h.core.Submit(id, Request{
		Txn:        txn + " again",
		ResumesTxn: txn,
		Class:      class,
		Object:     7,
		Timeout:    timeout,
		Write:      class == "order",
		Reply:      h.reply,
	})
	h.core.RunOnce()
	return id
}

// An order is written once the permission is granted, and not before; a page needs no permission.
func TestOrderWaitsForSendPermission(t *testing.T) {
	h := newHarness(t)
	failover := h.withOrderFailover()
	h.submit("order", 2*second)
	a := h.outstanding[0]
	if h.core.AcquireSendPermission(a) || len(failover.permissionRequests) != 1 {
		t.Fatalf("written without permission; permission requests %v", failover.permissionRequests)
	}
	failover.sendPermitted = true
	h.core.SendPermissionGranted(a.Request.Txn)
	if len(h.outstanding) != 2 || !h.core.AcquireSendPermission(a) {
		t.Error("the order was not sent again once permitted")
	}
	failover.sendPermitted = false
	h.submit("page", second)
	if page := h.outstanding[len(h.outstanding)-1]; page.Request.Class != "page" || !h.core.AcquireSendPermission(page) {
		t.Error("a page waits for permission")
	}
}

// An order that awaited the permission to be sent has surely not run. Its end does not count against the endpoint, and the
// order is rejected, so that its client may retry.
func TestOrderWithoutSendPermissionIsRejected(t *testing.T) {
	h := newHarness(t)
	failover := h.withOrderFailover()
	h.submit("order", second)
	h.core.AcquireSendPermission(h.outstanding[0])
	h.wait(2 * second)
	h.wantOneAnswer("the permission never came", Rejected)
	if len(failover.finished) != 1 || failover.finished[0].Verdict != Rejected {
		t.Errorf("finished with %+v, want one rejection", failover.finished)
	}
}

// An order of which no other router has a record is rejected at once. An order whose permission is denied is rejected if
// it surely never ran, and fails otherwise.
func TestDeniedReplicaOrPermissionEndsOrder(t *testing.T) {
	h := newHarness(t)
	failover := h.withOrderFailover()
	failover.rejectReplicas = true
	h.submit("order", second)
	h.wantOneAnswer("no replica", Rejected)
	failover.rejectReplicas = false
	for _, neverRan := range []bool{true, false} {
		h.answers, h.outstanding = nil, nil
		h.submit("order", second)
		h.core.SendPermissionDenied(h.outstanding[0].Request.Txn, neverRan, errors.New("lost"))
		h.core.RunOnce()
		h.wantOneAnswer("denied", map[bool]Verdict{true: Rejected, false: Failed}[neverRan])
	}
}

// The rejection of an order is held back until no other router can run the order, for a bounded time. After that the
// order fails.
func TestRejectionIsHeldUntilReplicaReleased(t *testing.T) {
	for _, released := range []bool{true, false} {
		h := newHarness(t)
		failover := h.withOrderFailover()
		failover.holdRejections = true
		h.submit("order", 2*second)
		h.core.AcquireSendPermission(h.outstanding[0])
		txn := h.outstanding[0].Request.Txn
		h.finish(h.outstanding[0], AttemptResult{Status: balancer.Rejected})
		for len(h.outstanding) > 0 { // each endpoint rejects the order
			h.finish(h.outstanding[len(h.outstanding)-1], AttemptResult{Status: balancer.Rejected})
		}
		if len(h.answers) > 0 || h.core.OpenCount() != 1 {
			t.Fatalf("answers %+v before the replica released the order", h.answers)
		}
		if released {
			h.core.ReplicaReleased(txn)
			h.wantOneAnswer("released", Rejected)
		} else {
			h.wait(second)
			h.wantOneAnswer("not released in time", Failed)
		}
		if h.core.OpenCount() != 0 || failover.stoppedWaiting != map[bool]int{true: 0, false: 1}[released] {
			t.Errorf("%d open, stopped waiting %d times", h.core.OpenCount(), failover.stoppedWaiting)
		}
	}
}

// An order that is rejected at its deadline is answered at once, without a wait for the release by its replica: its client
// waits no longer, or the process is about to be killed. The shutdown may begin at any time: while the order waits for an
// endpoint, for permission, or for capacity, as the number of attempts is limited.
func TestOrderRejectedAtDeadlineIsAnsweredInTime(t *testing.T) {
	const timeout, step = 2 * second, 50 * time.Millisecond
	for name, c := range map[string]struct {
		orders    int
		endpoints bool
	}{
		"no endpoint is listed": {1, false},
		"no permission":         {1, true},
		"no capacity":           {80, true},
	} {
		for shutdownAfter := time.Duration(0); shutdownAfter <= timeout; shutdownAfter += step {
			settings := testSettings()
			settings.Classes[1].LatencyObjective = timeout // lets orders wait long for capacity
			h := newHarnessWithSettings(t, settings)
			h.core.limits.ShutdownTimeout = second
			h.withOrderFailover().holdRejections = true
			if !c.endpoints {
				h.core.ReplaceEndpoints(nil)
			}
			submitted := h.now
			for range c.orders {
				h.submit("order", timeout)
			}
			for _, a := range h.outstanding {
				h.core.AcquireSendPermission(a) // the permission is never granted
			}
			h.wait(shutdownAfter)
			h.core.BeginShutdown(h.now)
			answerDeadline := h.now + h.core.limits.ShutdownTimeout - h.core.limits.ShutdownAnswerMargin
			h.wait(max(min(submitted+timeout, answerDeadline)-h.now, 0) + 5*time.Millisecond)
			if len(h.answers) != c.orders || h.core.OpenCount() != 0 {
				t.Errorf("%s, shutdown after %v: %d answers and %d open once the time of all %d is over", name, shutdownAfter,
					len(h.answers), h.core.OpenCount(), c.orders)
			}
			h.wait(second)
			if len(h.answers) != c.orders {
				t.Errorf("%s, shutdown after %v: %d answers to %d orders", name, shutdownAfter, len(h.answers), c.orders)
			}
		}
	}
}

// A claimed order goes to the module only once its claim is granted, under the txn that the order had; otherwise it gets
// its known answer. Without order failover it fails. A page is requested again without a claim.
func TestClaimedOrderRunsOnlyOnceGranted(t *testing.T) {
	h := newHarness(t)
	h.claim("order", "old")
	h.wantOneAnswer("no order failover", Failed)
	failover := h.withOrderFailover()
	h.answers = nil
	id := h.claim("order", "old")
	if len(failover.claims) != 1 || len(h.outstanding) > 0 {
		t.Fatalf("claims %v, %d attempts; want one claim and no attempt", failover.claims, len(h.outstanding))
	}
	h.core.ClaimGranted(id)
	h.core.RunOnce()
	if len(h.outstanding) != 1 || h.outstanding[0].Request.Txn != "old" {
		t.Fatalf("%d attempts, want one under the txn that the order had", len(h.outstanding))
	}
	failover.sendPermitted = true
	h.finish(h.outstanding[0], AttemptResult{Status: balancer.OK, Body: []byte("x")})
	h.wantOneAnswer("run", Served)
	h.answers = nil
	h.core.ClaimAnswered(h.claim("order", "older"), Answer{Verdict: Served, Body: []byte("y")})
	h.wantOneAnswer("known", Served)
	h.answers = nil
	h.claim("order", "oldest")
	h.wait(3 * second)
	h.wantOneAnswer("no answer to the claim", Failed)
	h.answers = nil
	h.claim("page", "any")
	if len(h.outstanding) != 1 {
		t.Error("a page that resumes another request was not sent")
	}
	id = h.claim("order", "gone")
	h.core.CancelRequest(id)
	if failover.cancelledClaims != 1 {
		t.Errorf("%d claims cancelled, want 1", failover.cancelledClaims)
	}
}

// A claim was told that its order never ran, although nobody was asked, by a router that was drained, full or had no time: the client
// sent its order again, and it ran twice (review, case 9).
func TestClaimIsNeverRejectedUnasked(t *testing.T) {
	for name, c := range map[string]struct {
		prepare func(*harness)
		timeout time.Duration
		asked   bool
	}{
		"standby": {asked: true, timeout: 2 * second, prepare: func(h *harness) {
			h.core.EnterStandby()
			h.wait(h.core.limits.DrainRejectNew)
		}},
		"standby, its connections end": {timeout: 2 * second, prepare: func(h *harness) {
			h.core.EnterStandby()
			h.wait(h.core.limits.DrainCloseAll)
		}},
		"full":    {timeout: 2 * second, prepare: func(h *harness) { h.core.limits.OpenRequests = 0 }},
		"no time": {timeout: 1},
		"closed":  {timeout: 2 * second, prepare: func(h *harness) { h.core.lifecycle.state = stateClosed }},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.setDrainTimes()
			failover := h.withOrderFailover()
			if c.prepare != nil {
				c.prepare(h)
			}
			h.claimWithin("order", "old", c.timeout)
			if asked := len(failover.claims) == 1; asked != c.asked {
				t.Errorf("%d claims, want them asked: %v", len(failover.claims), c.asked)
			}
			if !c.asked {
				h.wantOneAnswer(name, Failed)
			}
		})
	}
}

// A router that is drained asks the others about a claim, and answers it before its connections have to end. It rejects an order that it
// may run, as that order has surely not run.
func TestClaimOnStandbyIsAnsweredInTime(t *testing.T) {
	h := newHarness(t)
	h.setDrainTimes()
	failover := h.withOrderFailover()
	h.core.EnterStandby()
	h.wait(h.core.limits.DrainRejectNew)
	h.core.ClaimAnswered(h.claim("order", "known"), Answer{Verdict: Served, Body: []byte("y")})
	h.wantOneAnswer("known", Served)
	h.answers = nil
	h.core.ClaimGranted(h.claim("order", "granted"))
	h.core.RunOnce()
	h.wantOneAnswer("granted", Rejected)
	if len(h.outstanding) > 0 || len(failover.finished) != 1 {
		t.Errorf("%d attempts and %d ends of orders, want none and one", len(h.outstanding), len(failover.finished))
	}
	h.answers = nil
	h.claim("order", "unknown")
	h.wait(h.core.limits.DrainCloseAll - h.core.limits.DrainRejectNew)
	h.wantOneAnswer("no answer to the claim", Failed)
}

// A request that may have run is told so when it comes again, also by a router that takes no new requests.
func TestRepeatedIDIsNotRejectedWhileDraining(t *testing.T) {
	h := newHarness(t)
	h.setDrainTimes()
	h.core.requests.mayHaveRun.Add("7", h.now, 10*second)
	h.core.EnterStandby()
	h.wait(h.core.limits.DrainRejectNew)
	h.core.Submit(h.core.NewID(), Request{Txn: "7", Class: "order", Timeout: second, Write: true, Reply: h.reply})
	h.core.RunOnce()
	h.wantOneAnswer("may have run", Failed)
}
