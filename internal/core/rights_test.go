package core

import (
	"errors"
	"testing"
	"time"

	"hillknot/balancer"
)

// keeper is what a router that keeps orders would say, as the test sets it.
type keeper struct {
	refuse, right, wait bool
	asked, withdrawn    []string
	ends                []Answer
	claims              []balancer.RequestID
	overdue, dropped    int
}

func (k *keeper) Replicate(*Request, time.Duration) error {
	if k.refuse {
		return errors.New("nobody keeps it")
	}
	return nil
}
func (k *keeper) Claim(id balancer.RequestID, _ *Request, _ time.Duration) {
	k.claims = append(k.claims, id)
}
func (k *keeper) CancelClaim(balancer.RequestID) { k.dropped++ }
func (k *keeper) RequestLease(txn string)        { k.asked = append(k.asked, txn) }
func (k *keeper) UseLease(string) bool           { return k.right }
func (k *keeper) Finish(_ string, a Answer, _ bool) bool {
	k.ends = append(k.ends, a)
	return k.wait && a.Verdict == Rejected
}
func (k *keeper) StopWaiting(string)        { k.overdue++ }
func (k *keeper) Cancel(txn string, _ bool) { k.withdrawn = append(k.withdrawn, txn) }
func (k *keeper) Flush()                    {}
func (k *keeper) Metrics() []Metric         { return nil }
func (r *rig) kept() *keeper {
	k := &keeper{}
	r.c.SetOrderFailover(k)
	r.c.lim.LetGo = second / 4
	return k
}
func (r *rig) claim(class, txn string) (id balancer.RequestID) {
	id = r.c.NewID()
	r.c.Submit(id, Request{Txn: txn + " again", ResumesTxn: txn, Class: class, Object: 7, Timeout: 2 * second, Write: class == "order", Reply: r.reply})
	r.c.RunOnce()
	return id
}

// An order is written once the keeper's word is there, and not before; a page does not wait.
func TestReady(t *testing.T) {
	r := newRig(t)
	k := r.kept()
	r.submit("order", 2*second)
	a := r.out[0]
	if r.c.AcquireLease(a) || len(k.asked) != 1 {
		t.Fatalf("ready without a word; asked %v", k.asked)
	}
	k.right = true
	r.c.LeaseGranted(a.Request.Txn)
	if len(r.out) != 2 || !r.c.AcquireLease(a) {
		t.Error("it was not sent anew with the word")
	}
	k.right = false
	r.submit("page", second)
	if page := r.out[len(r.out)-1]; page.Request.Class != "page" || !r.c.AcquireLease(page) {
		t.Error("a page waits for a keeper")
	}
}

// An order that waited for its right has surely not run: its end is none that counts against the page cache, and its client
// may try again.
func TestNotReadyInTime(t *testing.T) {
	r := newRig(t)
	k := r.kept()
	r.submit("order", second)
	r.c.AcquireLease(r.out[0])
	r.wait(2 * second)
	r.one("the right never came", Rejected)
	if len(k.ends) != 1 || k.ends[0].Verdict != Rejected {
		t.Errorf("the keeper was told %+v", k.ends)
	}
}

// Nobody keeps it: refused at once. The right is lost: failed, or refused where it surely never ran.
func TestDenied(t *testing.T) {
	r := newRig(t)
	k := r.kept()
	k.refuse = true
	r.submit("order", second)
	r.one("nobody keeps it", Rejected)
	k.refuse = false
	for _, never := range []bool{true, false} {
		r.answers, r.out = nil, nil
		r.submit("order", second)
		r.c.LeaseDenied(r.out[0].Request.Txn, never, errors.New("lost"))
		r.c.RunOnce()
		r.one("denied", map[bool]Verdict{true: Rejected, false: Failed}[never])
	}
}

// A refusal waits until no other router can run the order, for a bounded time; without that word it is no refusal.
func TestRefusalWaits(t *testing.T) {
	for _, sure := range []bool{true, false} {
		r := newRig(t)
		k := r.kept()
		k.wait = true
		r.submit("order", 2*second)
		r.c.AcquireLease(r.out[0])
		txn := r.out[0].Request.Txn
		r.end(r.out[0], AttemptResult{Status: balancer.Rejected})
		for len(r.out) > 0 { // no page cache takes it
			r.end(r.out[len(r.out)-1], AttemptResult{Status: balancer.Rejected})
		}
		if len(r.answers) > 0 || r.c.OpenCount() != 1 {
			t.Fatalf("told %+v before the keeper let go", r.answers)
		}
		if sure {
			r.c.OrderReleased(txn)
			r.one("let go", Rejected)
		} else {
			r.wait(second)
			r.one("not let go in time", Failed)
		}
		if r.c.OpenCount() != 0 || k.overdue != map[bool]int{true: 0, false: 1}[sure] {
			t.Errorf("%d open, %d overdue", r.c.OpenCount(), k.overdue)
		}
	}
}

// A claim goes to the module only where it is to be run, under the txn of before; else it gets what is known. A router that
// keeps nothing fails it; a page is simply asked for again.
func TestClaim(t *testing.T) {
	r := newRig(t)
	r.claim("order", "old")
	r.one("no keepers", Failed)
	k := r.kept()
	r.answers = nil
	id := r.claim("order", "old")
	if len(k.claims) != 1 || len(r.out) > 0 {
		t.Fatalf("claims %v, sent %d", k.claims, len(r.out))
	}
	r.c.ClaimGranted(id)
	r.c.RunOnce()
	if len(r.out) != 1 || r.out[0].Request.Txn != "old" {
		t.Fatalf("sent %d", len(r.out))
	}
	k.right = true
	r.end(r.out[0], AttemptResult{Status: balancer.OK, Body: []byte("x")})
	r.one("run", Served)
	r.answers = nil
	r.c.ClaimAnswered(r.claim("order", "older"), Answer{Verdict: Served, Body: []byte("y")})
	r.one("known", Served)
	r.answers = nil
	r.claim("order", "oldest")
	r.wait(3 * second)
	r.one("nobody ever said", Failed)
	r.answers = nil
	r.claim("page", "any")
	if len(r.out) != 1 {
		t.Error("a page that was lost is not asked for again")
	}
	id = r.claim("order", "gone")
	r.c.CancelRequest(id)
	if k.dropped != 1 {
		t.Errorf("%d claims dropped", k.dropped)
	}
}

// purse is what an account allows, as the test sets it.
type purse struct {
	err            error
	charged, freed int
}

func (p *purse) Reserve(*Request) (Reservation, error)    { return 1, p.err }
func (p *purse) Charge(Reservation, int)                  { p.charged++ }
func (p *purse) Release(Reservation)                      { p.freed++ }
func (p *purse) RetryAfter(error) (time.Duration, string) { return second, "funds-out" }
func (p *purse) Flush()                                   {}
func (p *purse) Metrics() []Metric                        { return nil }
func (p *purse) Close()                                   {}

// What was served or may have run is charged, once; what never ran is not; what can't be paid for is refused at once.
func TestPayment(t *testing.T) {
	r := newRig(t)
	p := &purse{}
	r.c.SetCredit(p)
	r.submit("page", second)
	r.end(r.out[0], AttemptResult{Status: balancer.OK, Body: []byte("x")})
	if p.charged != 1 || p.freed != 0 {
		t.Errorf("served: %+v", p)
	}
	r.submit("order", second)
	r.end(r.out[0], AttemptResult{Status: balancer.Reset}) // it may have run
	if p.charged != 2 || p.freed != 0 {
		t.Errorf("may have run: %+v", p)
	}
	id := r.submit("order", second)
	r.c.CancelRequest(id)
	if p.charged != 3 {
		t.Errorf("withdrawn while it was out: %+v", p)
	}
	r.submit("order", second)
	for len(r.out) > 0 {
		r.end(r.out[len(r.out)-1], AttemptResult{Status: balancer.Rejected})
	}
	if p.freed != 1 {
		t.Errorf("never ran: %+v", p)
	}
	p.err, r.answers = errors.New("out"), nil
	r.submit("page", second)
	r.one("out of funds", Rejected)
	if a := r.answers[0]; a.RetryAfter != second || a.Reason != "funds-out" || len(r.out) > 0 {
		t.Errorf("told %+v", a)
	}
}
