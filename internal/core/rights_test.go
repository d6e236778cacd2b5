package core

import (
	"errors"
	"testing"
	"time"

	"hillknot/balancer"
)

// fakeOrderFailover is what a router that keeps orders would say, as the test sets it.
type fakeOrderFailover struct {
	rejects, leaseHeld, holdRejections bool
	leaseRequests, cancelled           []string
	finished                           []Answer
	claims                             []balancer.RequestID
	stoppedWaiting, cancelledClaims    int
}

func (k *fakeOrderFailover) Replicate(*Request, time.Duration) error {
	if k.rejects {
		return errors.New("nobody keeps it")
	}
	return nil
}
func (k *fakeOrderFailover) Claim(id balancer.RequestID, _ *Request, _ time.Duration) {
	k.claims = append(k.claims, id)
}
func (k *fakeOrderFailover) CancelClaim(balancer.RequestID) { k.cancelledClaims++ }
func (k *fakeOrderFailover) RequestLease(txn string)        { k.leaseRequests = append(k.leaseRequests, txn) }
func (k *fakeOrderFailover) UseLease(string) bool           { return k.leaseHeld }
func (k *fakeOrderFailover) Finish(_ string, a Answer, _ bool) bool {
	k.finished = append(k.finished, a)
	return k.holdRejections && a.Verdict == Rejected
}
func (k *fakeOrderFailover) StopWaiting(string)        { k.stoppedWaiting++ }
func (k *fakeOrderFailover) Cancel(txn string, _ bool) { k.cancelled = append(k.cancelled, txn) }
func (k *fakeOrderFailover) Flush()                    {}
func (k *fakeOrderFailover) Metrics() []Metric         { return nil }
func (r *harness) withOrderFailover() *fakeOrderFailover {
	k := &fakeOrderFailover{}
	r.core.SetOrderFailover(k)
	r.core.limits.LetGo = second / 4
	return k
}
func (r *harness) claim(class, txn string) (id balancer.RequestID) {
	id = r.core.NewID()
	r.core.Submit(id, Request{Txn: txn + " again", ResumesTxn: txn, Class: class, Object: 7, Timeout: 2 * second, Write: class == "order", Reply: r.reply})
	r.core.RunOnce()
	return id
}

// An order is written once the keeper's word is there, and not before; a page does not wait.
func TestReady(t *testing.T) {
	r := newHarness(t)
	k := r.withOrderFailover()
	r.submit("order", 2*second)
	a := r.outstanding[0]
	if r.core.AcquireLease(a) || len(k.leaseRequests) != 1 {
		t.Fatalf("ready without a word; asked %v", k.leaseRequests)
	}
	k.leaseHeld = true
	r.core.LeaseGranted(a.Request.Txn)
	if len(r.outstanding) != 2 || !r.core.AcquireLease(a) {
		t.Error("it was not sent anew with the word")
	}
	k.leaseHeld = false
	r.submit("page", second)
	if page := r.outstanding[len(r.outstanding)-1]; page.Request.Class != "page" || !r.core.AcquireLease(page) {
		t.Error("a page waits for a keeper")
	}
}

// An order that waited for its right has surely not run: its end is none that counts against the page cache, and
// its client may try again.
func TestNotReadyInTime(t *testing.T) {
	r := newHarness(t)
	k := r.withOrderFailover()
	r.submit("order", second)
	r.core.AcquireLease(r.outstanding[0])
	r.wait(2 * second)
	r.wantOneAnswer("the right never came", Rejected)
	if len(k.finished) != 1 || k.finished[0].Verdict != Rejected {
		t.Errorf("the keeper was told %+v", k.finished)
	}
}

// Nobody keeps it: refused at once. The right is lost: failed, or refused where it surely never ran.
func TestDenied(t *testing.T) {
	r := newHarness(t)
	k := r.withOrderFailover()
	k.rejects = true
	r.submit("order", second)
	r.wantOneAnswer("nobody keeps it", Rejected)
	k.rejects = false
	for _, never := range []bool{true, false} {
		r.answers, r.outstanding = nil, nil
		r.submit("order", second)
		r.core.LeaseDenied(r.outstanding[0].Request.Txn, never, errors.New("lost"))
		r.core.RunOnce()
		r.wantOneAnswer("denied", map[bool]Verdict{true: Rejected, false: Failed}[never])
	}
}

// A refusal waits until no other router can run the order, for a bounded time; without that word it is no refusal.
func TestRefusalWaits(t *testing.T) {
	for _, sure := range []bool{true, false} {
		r := newHarness(t)
		k := r.withOrderFailover()
		k.holdRejections = true
		r.submit("order", 2*second)
		r.core.AcquireLease(r.outstanding[0])
		txn := r.outstanding[0].Request.Txn
		r.finish(r.outstanding[0], AttemptResult{Status: balancer.Rejected})
		for len(r.outstanding) > 0 { // no page cache takes it
			r.finish(r.outstanding[len(r.outstanding)-1], AttemptResult{Status: balancer.Rejected})
		}
		if len(r.answers) > 0 || r.core.OpenCount() != 1 {
			t.Fatalf("told %+v before the keeper let go", r.answers)
		}
		if sure {
			r.core.OrderReleased(txn)
			r.wantOneAnswer("let go", Rejected)
		} else {
			r.wait(second)
			r.wantOneAnswer("not let go in time", Failed)
		}
		if r.core.OpenCount() != 0 || k.stoppedWaiting != map[bool]int{true: 0, false: 1}[sure] {
			t.Errorf("%d open, %d overdue", r.core.OpenCount(), k.stoppedWaiting)
		}
	}
}

// A claim goes to the module only where it is to be run, under the txn of before; else it gets what is known. A
// router that keeps nothing fails it; a page is simply asked for again.
func TestClaim(t *testing.T) {
	r := newHarness(t)
	r.claim("order", "old")
	r.wantOneAnswer("no keepers", Failed)
	k := r.withOrderFailover()
	r.answers = nil
	id := r.claim("order", "old")
	if len(k.claims) != 1 || len(r.outstanding) > 0 {
		t.Fatalf("claims %v, sent %d", k.claims, len(r.outstanding))
	}
	r.core.ClaimGranted(id)
	r.core.RunOnce()
	if len(r.outstanding) != 1 || r.outstanding[0].Request.Txn != "old" {
		t.Fatalf("sent %d", len(r.outstanding))
	}
	k.leaseHeld = true
	r.finish(r.outstanding[0], AttemptResult{Status: balancer.OK, Body: []byte("x")})
	r.wantOneAnswer("run", Served)
	r.answers = nil
	r.core.ClaimAnswered(r.claim("order", "older"), Answer{Verdict: Served, Body: []byte("y")})
	r.wantOneAnswer("known", Served)
	r.answers = nil
	r.claim("order", "oldest")
	r.wait(3 * second)
	r.wantOneAnswer("nobody ever said", Failed)
	r.answers = nil
	r.claim("page", "any")
	if len(r.outstanding) != 1 {
		t.Error("a page that was lost is not asked for again")
	}
	id = r.claim("order", "gone")
	r.core.CancelRequest(id)
	if k.cancelledClaims != 1 {
		t.Errorf("%d claims dropped", k.cancelledClaims)
	}
}

// fakeCredit is what an account allows, as the test sets it.
type fakeCredit struct {
	err               error
	charged, released int
}

func (p *fakeCredit) Reserve(*Request) (Reservation, error)    { return 1, p.err }
func (p *fakeCredit) Charge(Reservation, int)                  { p.charged++ }
func (p *fakeCredit) Release(Reservation)                      { p.released++ }
func (p *fakeCredit) RetryAfter(error) (time.Duration, string) { return second, "funds-out" }
func (p *fakeCredit) Flush()                                   {}
func (p *fakeCredit) Metrics() []Metric                        { return nil }
func (p *fakeCredit) Close()                                   {}

// What was served or may have run is charged, once; what never ran is not; what can't be paid for is refused at
// once.
func TestPayment(t *testing.T) {
	r := newHarness(t)
	p := &fakeCredit{}
	r.core.SetCredit(p)
	r.submit("page", second)
	r.finish(r.outstanding[0], AttemptResult{Status: balancer.OK, Body: []byte("x")})
	if p.charged != 1 || p.released != 0 {
		t.Errorf("served: %+v", p)
	}
	r.submit("order", second)
	r.finish(r.outstanding[0], AttemptResult{Status: balancer.Reset}) // it may have run
	if p.charged != 2 || p.released != 0 {
		t.Errorf("may have run: %+v", p)
	}
	id := r.submit("order", second)
	r.core.CancelRequest(id)
	if p.charged != 3 {
		t.Errorf("withdrawn while it was out: %+v", p)
	}
	r.submit("order", second)
	for len(r.outstanding) > 0 {
		r.finish(r.outstanding[len(r.outstanding)-1], AttemptResult{Status: balancer.Rejected})
	}
	if p.released != 1 {
		t.Errorf("never ran: %+v", p)
	}
	p.err, r.answers = errors.New("out"), nil
	r.submit("page", second)
	r.wantOneAnswer("out of funds", Rejected)
	if a := r.answers[0]; a.RetryAfter != second || a.Reason != "funds-out" || len(r.outstanding) > 0 {
		t.Errorf("told %+v", a)
	}
}
