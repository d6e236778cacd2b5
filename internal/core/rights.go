package core

import (
	"container/heap"
	"log/slog"
	"time"

	"hillknot/balancer"
	"hillknot/internal/operatorhint"
)

// OrderFailover decides whether an order may be written, where routers keep each other's orders so that these outlive them. Its
// methods are called on the core's goroutine; none may block, and it reports there by Granted, Denied, Released and Settled.
type OrderFailover interface {
	Replicate(q *Request, left time.Duration) error              // an order is taken; an error says that it can't be
	Claim(id balancer.RequestID, q *Request, left time.Duration) // what became of the order that a request resumes?
	CancelClaim(id balancer.RequestID)                           // nobody waits for a claim any more
	RequestLease(txn string)                                     // an order is to be written
	UseLease(txn string) bool                                    // it may be written now, and is
	Finish(txn string, a Answer, ran bool) (wait bool)           // its client is to be told
	StopWaiting(txn string)                                      // what End had wait, waits no more
	Cancel(txn string, ran bool)                                 // its client does not wait
	Flush()                                                      // what is to be said goes out
	Metrics() []Metric                                           // for operators
}

// Metric is a number for operators, under a name.
type Metric struct {
	Name, Help string
	Value      uint64
	Counter    bool // it only grows
}

var failed = Answer{Verdict: Failed, Reason: "Failed"}

// SetOrderFailover has orders outlive this router. It is called once, on the core's goroutine.
func (c *Core) SetOrderFailover(r OrderFailover) { c.rights = r }

// Schedule has f called in the turn that comes at a time.
func (c *Core) Schedule(at time.Duration, f func()) { heap.Push(&c.timers, timer{at: at, call: f}) }

// LoopTime is the time of this turn.
func (c *Core) LoopTime() time.Duration { return c.now }

// CurrentTime is the time of this moment.
func (c *Core) CurrentTime() time.Duration { return c.clock() }

// keep has an order kept by another router, and tells whether it goes on. One that nobody keeps is refused at once.
func (c *Core) keep(r *request) bool {
	if c.rights == nil || !c.unsafe[r.Class] {
		return true
	}
	if err := c.rights.Replicate(&r.Request, r.end-c.now); err != nil {
		slog.Warn("order refused", "txn", r.Txn, operatorhint.Attr(err))
		c.answer(r, Answer{Verdict: Rejected, RetryAfter: c.maxWait})
		return false
	}
	r.kept = true
	return true
}

// claim asks what became of an order whose router the client has lost. To run it anew without an answer could run it
// twice.
func (c *Core) claim(r *request) {
	if c.rights == nil {
		c.answer(r, failed)
		return
	}
	r.claiming = true
	c.rights.Claim(r.id, &r.Request, r.end-c.now)
}

// ClaimAnswered reports that the outcome of a claimed order is known.
func (c *Core) ClaimAnswered(id balancer.RequestID, a Answer) {
	if r := c.open[id]; r != nil && r.claiming {
		r.claiming = false
		c.answer(r, a)
	}
}

// ClaimGranted reports that a claimed order is this router's to run, under the txn that it had.
func (c *Core) ClaimGranted(id balancer.RequestID) {
	r := c.open[id]
	if r == nil || !r.claiming {
		return
	}
	r.claiming = false
	if c.txns[r.ResumesTxn] != nil { // it is open here already, which the claim would have found
		c.answer(r, failed)
		return
	}
	delete(c.txns, r.Txn)
	r.Txn, r.Retry = r.ResumesTxn, true
	c.txns[r.Txn] = r
	c.begin(r)
}

// AcquireLease tells whether an attempt may be written as far as other routers have to know of it first. Where they have, it is
// sent anew once they do.
func (c *Core) AcquireLease(a *Attempt) bool {
	r := a.owner
	if !r.kept || c.rights.UseLease(r.Txn) {
		return true
	}
	r.asking = a
	c.rights.RequestLease(r.Txn)
	return false
}

// LeaseGranted tells that an order may be written now.
func (c *Core) LeaseGranted(txn string) {
	if r := c.txns[txn]; r != nil && r.asking != nil {
		a := r.asking
		r.asking = nil
		c.up.Send(a)
	}
}

// LeaseDenied tells that an order may not be written any more, and what its client is to be told.
func (c *Core) LeaseDenied(txn string, never bool, err error) {
	r := c.txns[txn]
	if r == nil {
		return
	}
	slog.Warn("order given up", "txn", txn, operatorhint.Attr(err))
	c.events = append(c.events, balancer.ClientAborted{ID: r.id})
	r.kept = false // it is over there already
	a := failed
	if never && !r.ran {
		a = Answer{Verdict: Rejected, RetryAfter: c.maxWait}
	}
	c.answer(r, a)
}

// ended takes that an order's client is to be told now, and tells whether it is.
func (c *Core) ended(r *request, a Answer) bool {
	if !r.kept || !c.rights.Finish(r.Txn, a, r.ran) {
		return true
	}
	r.ending = &a
	c.open[r.id], c.txns[r.Txn] = r, r
	c.Schedule(c.now+c.lim.LetGo, func() {
		if c.open[r.id] == r {
			c.failUnreleased(r)
		}
	})
	return false
}

// OrderReleased reports that no other router runs an order that is to be rejected: its client may be told so.
func (c *Core) OrderReleased(txn string) {
	if r := c.txns[txn]; r != nil && r.ending != nil {
		c.forget(r)
		c.conclude(r, *r.ending)
	}
}

// OrderNotReleased reports that another router may run an order that was to be rejected: it fails instead.
func (c *Core) OrderNotReleased(txn string) {
	if r := c.txns[txn]; r != nil && r.ending != nil {
		c.failUnreleased(r)
	}
}

// failUnreleased fails an order that was to be rejected, as nobody confirmed that no other router runs it.
func (c *Core) failUnreleased(r *request) {
	c.rights.StopWaiting(r.Txn)
	c.forget(r)
	c.conclude(r, failed)
}

// withdrawn takes that nobody waits for a request any more.
func (c *Core) withdrawn(r *request) {
	c.settled(r, r.ran, 0)
	switch {
	case r.claiming:
		c.rights.CancelClaim(r.id)
	case r.ending != nil:
		c.rights.StopWaiting(r.Txn)
	case r.kept:
		c.rights.Cancel(r.Txn, r.ran)
	}
}
