package core

import (
	"container/heap"

	"hillknot/balancer"
)

// Attempts: whether one may be written now, and what its end means.

func (c *Core) send(g balancer.SendAttempt) {
	r := c.open[g.ID]
	if r == nil { // its client left in the moment of the decision; the module counts the attempt until it is told
		c.events = append(c.events, balancer.Outcome{ID: g.ID, Attempt: g.Attempt, Endpoint: g.Endpoint, Status: balancer.NotSent, Answered: true})
		return
	}
	a := &Attempt{Request: &r.Request, Decision: g, Index: g.Attempt, Endpoint: c.members[g.Endpoint], NonIdempotent: c.unsafe[r.Class], owner: r,
		sent: c.now, until: r.end}
	if g.Timeout > 0 {
		a.until = min(a.until, c.now+g.Timeout)
	}
	if r.attempt != nil || a.Endpoint == nil { // never two at once, and only to who is listed
		a.over = true
		c.outcome(a, AttemptResult{Status: balancer.NotSent})
		return
	}
	if g.Source != g.Endpoint {
		a.Source = c.members[g.Source]
	}
	r.attempt = a
	for _, p := range c.purged {
		c.bar(a, p)
	}
	c.traceAttempt(a)
	if a.until < r.end {
		heap.Push(&c.timers, timer{at: a.until, attempt: a})
	}
	if s, n := c.Permit(a); s != balancer.OK {
		c.CompleteAttempt(a, AttemptResult{Status: s, Detail: n})
		return
	}
	c.up.Send(a)
}

// Permit tells whether an attempt may be written now: balancer.OK, or how it ends instead. What was decided
// before a connection came up may no longer hold: it guards the rule on drains, for the cache and for the
// source of a fill, the client's time, and the time in which a repeat is dropped.
func (c *Core) Permit(a *Attempt) (balancer.Status, balancer.Detail) {
	c.catchUp()
	now := c.clock()
	switch {
	case a.over || now >= a.until:
		return balancer.NotSent, balancer.NoDetail
	case a.owner.ran && c.unsafe[a.owner.Class] && now-a.owner.ranAt >= c.repeat[a.owner.Class]:
		return balancer.NotSent, balancer.NoDetail
	case a.Endpoint.State != balancer.InService:
		return balancer.ConnectFailed, balancer.NoDetail
	case a.Decision.Source != a.Decision.Endpoint && (a.Source == nil || a.Source.State != balancer.InService):
		return balancer.Rejected, balancer.SourceRejected
	}
	a.Timeout = min(a.until+c.lim.AttemptGrace, a.owner.expiry) - now
	return balancer.OK, balancer.NoDetail
}

// CompleteAttempt reports how an attempt ended. What has ended already is ignored.
func (c *Core) CompleteAttempt(a *Attempt, e AttemptResult) {
	if a.over {
		return
	}
	a.over = true
	r := a.owner
	r.attempt, r.asking = nil, nil
	if !r.ran && !e.Status.NeverRan() {
		r.ran, r.ranAt = true, a.sent
	}
	c.traceEnd(a, e)
	if c.shared != nil {
		c.shared.count(a, e)
	}
	if e.Status == balancer.OK && c.open[r.id] == r {
		c.forget(r)
		a := Answer{Verdict: Served, Body: e.Body}
		if e.NotModified {
			a = Answer{Verdict: NotModified}
		}
		c.ended(r, a)
		c.conclude(r, a)
	}
	c.outcome(a, e)
}

func (c *Core) outcome(a *Attempt, e AttemptResult) {
	c.events = append(c.events, balancer.Outcome{ID: a.owner.id, Attempt: a.Index, Endpoint: a.Decision.Endpoint, Status: e.Status,
		Elapsed: c.now - a.sent, SourceWait: e.SourceWait, Answered: c.open[a.owner.id] != a.owner, Detail: e.Detail})
}

func (c *Core) timeOut(a *Attempt) {
	if !a.over {
		c.giveUp(a, balancer.TimedOut)
	}
}
