package core

import (
	"cmp"
	"container/heap"
	"time"

	"hillknot/balancer"
)

// The table of open requests: from their arrival to their one final answer.

type request struct {
	Request
	id      balancer.RequestID
	since   time.Duration
	end     time.Duration // the router answers by then
	expiry  time.Duration // the client stops waiting; not before end
	attempt *Attempt
	ran     bool          // an attempt may have run
	ranAt   time.Duration // and the first of these was sent then

	answered bool // its client was told

	paid Reservation // set aside for it

	// Where the loss of routers is guarded against.
	kept     bool     // another router knows of it
	claiming bool     // the others are being asked what became of it
	asking   *Attempt // waits for the right to be written
	ending   *Answer  // its refusal waits until no other router can run it
}

// OpenCount is how many requests and queries are owed an answer.
func (c *Core) OpenCount() int { return len(c.open) + len(c.queries) }

// Submit takes a request. Its answer is owed from now on.
func (c *Core) Submit(id balancer.RequestID, q Request) {
	arrived := cmp.Or(min(q.ArrivedAt, c.now), c.now)
	expiry := arrived + min(q.Timeout, c.lim.Longest)
	left := expiry - c.lim.Margin - c.now
	if c.lifecycle.shuttingDown() { // what is open as the router ends would be lost
		left = min(left, c.lifecycle.lastAnswer(&c.lim)-c.now)
	}
	switch {
	case len(c.open) >= c.lim.Open || c.lifecycle.state == stateClosed || c.DrainStage() >= RejectNew:
		c.traceTurnedAway(&q, "no room, or the router ends")
		c.reply(&q, Answer{Verdict: Rejected, RetryAfter: c.maxWait})
		return
	case left <= 0:
		c.traceTurnedAway(&q, "no time is left")
		c.reply(&q, Answer{Verdict: Rejected})
		return
	case c.txns[q.Txn] != nil: // page caches know a request by this id: two under one could not be told apart
		c.traceTurnedAway(&q, "its txn is open already")
		c.reply(&q, Answer{Verdict: Failed, Reason: "BadRequest"})
		return
	}
	r := &request{Request: q, id: id, since: c.now, end: c.now + left, expiry: expiry}
	c.traceRequest(r)
	c.open[id] = r
	c.txns[q.Txn] = r
	heap.Push(&c.timers, timer{at: r.end, request: r})
	if q.ResumesTxn != "" && c.unsafe[q.Class] {
		c.claim(r)
		return
	}
	c.begin(r)
}

// advanceDeadlines has the router answer what is open no later than at a time.
func (c *Core) advanceDeadlines(last time.Duration) {
	for _, r := range c.open {
		if r.end > last {
			r.end = last
			heap.Push(&c.timers, timer{at: r.end, request: r})
		}
	}
}

// begin hands a request to the module.
func (c *Core) begin(r *request) {
	if !c.pay(r) || !c.keep(r) {
		return
	}
	c.events = append(c.events, balancer.Request{ID: r.id, Class: r.Class, Object: r.Object, Part: r.Part, Group: r.Group,
		Remaining: r.end - c.now, Write: r.Write, Retry: r.Retry})
}

// CancelRequest ends a request whose client no longer waits: nothing is owed, and its attempt is given up.
func (c *Core) CancelRequest(id balancer.RequestID) {
	if r := c.open[id]; r != nil {
		c.drop(r)
	}
}

// AbortRequest answers a request at once that is not worth any more work: its client breaks the protocol. It is refused where it
// surely has not run, or may run again.
func (c *Core) AbortRequest(id balancer.RequestID) {
	r := c.open[id]
	if r == nil || r.ending != nil {
		return
	}
	a := Answer{Verdict: Rejected, RetryAfter: c.maxWait}
	if r.claiming || c.unsafe[r.Class] && (r.ran || r.attempt != nil) {
		a = failed
	}
	c.events = append(c.events, balancer.ClientAborted{ID: r.id})
	c.answer(r, a)
}

func (c *Core) forget(r *request) {
	delete(c.open, r.id)
	delete(c.txns, r.Txn)
}

// drop closes a request without an answer.
func (c *Core) drop(r *request) {
	c.forget(r)
	c.events = append(c.events, balancer.ClientAborted{ID: r.id})
	if a := r.attempt; a != nil {
		c.giveUp(a, balancer.Cancelled)
	}
	c.withdrawn(r)
}

// giveUp ends an attempt that is out. One that waits for the right to be written has surely not run.
func (c *Core) giveUp(a *Attempt, s balancer.Status) {
	c.up.Cancel(a)
	if a.owner.asking == a {
		s = balancer.NotSent
	}
	c.CompleteAttempt(a, AttemptResult{Status: s})
}

// answer gives the final answer. An attempt that is still out is given up first.
func (c *Core) answer(r *request, a Answer) {
	if r == nil || r.ending != nil {
		return
	}
	c.forget(r)
	if at := r.attempt; at != nil {
		c.giveUp(at, balancer.Cancelled)
	}
	if c.ended(r, a) {
		c.conclude(r, a)
	}
}

// conclude tells the client.
func (c *Core) conclude(r *request, a Answer) {
	c.settled(r, a.Verdict == Served || a.Verdict == NotModified || r.ran, len(a.Body))
	c.traceAnswer(r, a.Verdict)
	c.checkAnswer(r)
	c.reply(&r.Request, a)
}

// reply gives the one answer to a request, and counts it.
func (c *Core) reply(q *Request, a Answer) {
	c.CountAnswer(q.Class, q.Reply(a))
}

// overdue gives the answer that a silent module did not: no request may go without.
func (c *Core) overdue(r *request) {
	if r.ending != nil {
		c.failUnreleased(r)
		return
	}
	a := Answer{Verdict: Rejected}
	if r.claiming || r.ran && c.unsafe[r.Class] {
		a = failed
	}
	c.events = append(c.events, balancer.ClientAborted{ID: r.id})
	c.answer(r, a)
}
