package core

import (
	"errors"
	"testing"
	"time"

	"hillknot/balancer"
)

// fakeOrderFailover answers as the test sets it, and notes its calls.
type fakeOrderFailover struct {
	rejects, leaseHeld, holdRejections bool
	leaseRequests, cancelled           []string
	finished                           []Answer
	claims                             []balancer.RequestID
	stoppedWaiting, cancelledClaims    int
}

func (k *fakeOrderFailover) Replicate(*Request, time.Duration) error {
	if k.rejects {
		return errors.New("no replica")
	}
	return nil
}

func (k *fakeOrderFailover) Claim(id balancer.RequestID, _ *Request, _ time.Duration) {
	k.claims = append(k.claims, id)
}

func (k *fakeOrderFailover) CancelClaim(balancer.RequestID) { k.cancelledClaims++ }

func (k *fakeOrderFailover) RequestSendPermission(txn string) {
	k.leaseRequests = append(k.leaseRequests, txn)
}

func (k *fakeOrderFailover) UseSendPermission(string) bool { return k.leaseHeld }

func (k *fakeOrderFailover) Finish(_ string, a Answer, _ bool) bool {
	k.finished = append(k.finished, a)
	return k.holdRejections && a.Verdict == Rejected
}

func (k *fakeOrderFailover) StopWaiting(string) { k.stoppedWaiting++ }

func (k *fakeOrderFailover) Cancel(txn string, _ bool) { k.cancelled = append(k.cancelled, txn) }

func (k *fakeOrderFailover) Flush() {}

func (k *fakeOrderFailover) Metrics() []Metric { return nil }

// withOrderFailover sets the order failover of the core.
func (h *harness) withOrderFailover() *fakeOrderFailover {
	k := &fakeOrderFailover{}
	h.core.SetOrderFailover(k)
	h.core.limits.OrderReleaseDelay = second / 4
	return k
}

// claim submits a request that resumes one which another router took.
func (h *harness) claim(class, txn string) balancer.RequestID {
	id := h.core.NewID()
	h.core.Submit(id, Request{
		Txn:        txn + " again",
		ResumesTxn: txn,
		Class:      class,
		Object:     7,
		Timeout:    2 * second,
		Write:      class == "order",
		Reply:      h.reply,
	})
	h.core.RunOnce()
	return id
}

// An order is written once its lease is granted, and not before; a page needs no lease.
func TestOrderWaitsForLease(t *testing.T) {
	h := newHarness(t)
	k := h.withOrderFailover()
	h.submit("order", 2*second)
	a := h.outstanding[0]
	if h.core.AcquireSendPermission(a) || len(k.leaseRequests) != 1 {
		t.Fatalf("written without a lease; requests %v", k.leaseRequests)
	}
	k.leaseHeld = true
	h.core.SendPermissionGranted(a.Request.Txn)
	if len(h.outstanding) != 2 || !h.core.AcquireSendPermission(a) {
		t.Error("it was not sent anew with the lease")
	}
	k.leaseHeld = false
	h.submit("page", second)
	if page := h.outstanding[len(h.outstanding)-1]; page.Request.Class != "page" || !h.core.AcquireSendPermission(page) {
		t.Error("a page waits for a lease")
	}
}

// An order that awaited its lease has surely not run: its end does not count against the endpoint, and its client
// may retry.
func TestOrderWithoutLeaseIsRejected(t *testing.T) {
	h := newHarness(t)
	k := h.withOrderFailover()
	h.submit("order", second)
	h.core.AcquireSendPermission(h.outstanding[0])
	h.wait(2 * second)
	h.wantOneAnswer("the lease never came", Rejected)
	if len(k.finished) != 1 || k.finished[0].Verdict != Rejected {
		t.Errorf("finished with %+v", k.finished)
	}
}

// An order without a replica is rejected at once. One whose lease is denied fails, or is rejected where it surely
// never ran.
func TestSendPermissionDenied(t *testing.T) {
	h := newHarness(t)
	k := h.withOrderFailover()
	k.rejects = true
	h.submit("order", second)
	h.wantOneAnswer("no replica", Rejected)
	k.rejects = false
	for _, neverRan := range []bool{true, false} {
		h.answers, h.outstanding = nil, nil
		h.submit("order", second)
		h.core.SendPermissionDenied(h.outstanding[0].Request.Txn, neverRan, errors.New("lost"))
		h.core.RunOnce()
		h.wantOneAnswer("denied", map[bool]Verdict{true: Rejected, false: Failed}[neverRan])
	}
}

// A rejection is held back until no other router can run the order, for a bounded time; after that the order fails.
func TestRejectionIsHeldUntilReleased(t *testing.T) {
	for _, released := range []bool{true, false} {
		h := newHarness(t)
		k := h.withOrderFailover()
		k.holdRejections = true
		h.submit("order", 2*second)
		h.core.AcquireSendPermission(h.outstanding[0])
		txn := h.outstanding[0].Request.Txn
		h.finish(h.outstanding[0], AttemptResult{Status: balancer.Rejected})
		for len(h.outstanding) > 0 { // no endpoint takes it
			h.finish(h.outstanding[len(h.outstanding)-1], AttemptResult{Status: balancer.Rejected})
		}
		if len(h.answers) > 0 || h.core.OpenCount() != 1 {
			t.Fatalf("answered %+v before it was released", h.answers)
		}
		if released {
			h.core.ReplicaDropped(txn)
			h.wantOneAnswer("released", Rejected)
		} else {
			h.wait(second)
			h.wantOneAnswer("not released in time", Failed)
		}
		if h.core.OpenCount() != 0 || k.stoppedWaiting != map[bool]int{true: 0, false: 1}[released] {
			t.Errorf("%d open, stopped waiting %d times", h.core.OpenCount(), k.stoppedWaiting)
		}
	}
}

// A claimed order goes to the module only where it is granted, under the txn that it had; else it gets its known
// answer. Without order failover it fails. A page is simply requested again.
func TestClaimedOrder(t *testing.T) {
	h := newHarness(t)
	h.claim("order", "old")
	h.wantOneAnswer("no order failover", Failed)
	k := h.withOrderFailover()
	h.answers = nil
	id := h.claim("order", "old")
	if len(k.claims) != 1 || len(h.outstanding) > 0 {
		t.Fatalf("claims %v, sent %d", k.claims, len(h.outstanding))
	}
	h.core.ClaimGranted(id)
	h.core.RunOnce()
	if len(h.outstanding) != 1 || h.outstanding[0].Request.Txn != "old" {
		t.Fatalf("sent %d", len(h.outstanding))
	}
	k.leaseHeld = true
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
		t.Error("a page is not requested again")
	}
	id = h.claim("order", "gone")
	h.core.CancelRequest(id)
	if k.cancelledClaims != 1 {
		t.Errorf("%d claims cancelled", k.cancelledClaims)
	}
}
