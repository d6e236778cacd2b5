package failover

import (
	"errors"
	"time"

	"hillknot/internal/testutil/timeline"
)

// simRouter is a router of a simCluster.
type simRouter struct {
	index       int
	name        string
	place       string
	coordinator *Coordinator
	process     uint64
	clockRate   float64
	clockOffset time.Duration
	pausedUntil time.Duration // the process does nothing before this time
	down        bool
	requests    map[string]*simRequest // by txn
	claims      map[uint64]*simRequest
	successor   *simRouter // the process that a hot restart has started, until it takes the place of this one; nil: none
}

// takingClients returns the process that gets new clients.
func (r *simRouter) takingClients() *simRouter {
	if r.successor != nil {
		return r.successor
	}
	return r
}

// clock returns the time on the router's own clock.
func (r *simRouter) clock(now time.Duration) time.Duration {
	return r.clockOffset + time.Duration(float64(now)*r.clockRate)
}

// simRequest is an order or a claim that a router's core has open.
type simRequest struct {
	order               *simOrder // nil: an order of a lost router, for which no client waits here
	txn                 string
	deadline            time.Duration // on the router's clock
	permissionRequested bool
	sent                bool
	heldBack            *Outcome // the outcome that the client does not get before the replica releases the order
	connection          int      // of the client; the answer goes to this connection
}

func (c *simCluster) carryOutActions(r *simRouter) {
	for actions := r.coordinator.Actions(); len(actions) > 0; actions = r.coordinator.Actions() {
		for _, a := range actions {
			c.carryOut(r, a)
		}
	}
	for _, e := range r.coordinator.Events() {
		c.onEvent(timeline.Event{Node: r.name, Time: c.now, Action: e.Step, Subject: e.Txn, Peer: e.Peer})
	}
}

func (c *simCluster) carryOut(r *simRouter, a Action) {
	q := r.requests[a.Txn]
	switch a.Kind {
	case ActionSend:
		if q != nil && q.heldBack == nil {
			c.write(r, q)
		}
	case ActionStop:
		if q != nil {
			delete(r.requests, a.Txn)
			c.answer(q, a.Outcome.Kind)
		}
	case ActionAnswer:
		if q != nil && q.heldBack != nil {
			delete(r.requests, a.Txn)
			kind := q.heldBack.Kind
			if a.Err != nil {
				kind = MayHaveRun
			}
			c.answer(q, kind)
		}
	case ActionRun:
		q = &simRequest{txn: a.Txn, deadline: r.clock(c.now) + a.Order.TimeLeft}
		c.submit(r, q, a.Order)
	case ActionBeginClaim, ActionSettleClaim:
		c.endClaim(r, a)
	}
}

func (c *simCluster) endClaim(r *simRouter, a Action) {
	q := r.claims[a.ClaimID]
	if q == nil {
		return
	}
	delete(r.claims, a.ClaimID)
	if a.Kind == ActionBeginClaim {
		c.submit(r, q, a.Order)
		return
	}
	var unknown MayHaveRunError
	if errors.As(a.Err, &unknown) && unknown.Reason == reasonBeingSent {
		q.order.mayHaveRunAt = c.now
	}
	c.answer(q, a.Outcome.Kind)
}

// submit has a router accept an order, for a client or without one.
func (c *simCluster) submit(r *simRouter, q *simRequest, o Order) {
	if err := r.coordinator.Replicate(r.clock(c.now), o); err != nil {
		r.coordinator.Abandon(r.clock(c.now), q.txn)
		c.answer(q, NeverRan)
		return
	}
	r.requests[q.txn] = q
	if c.scripted {
		return
	}
	connectTime := time.Duration(0)
	if c.random.IntN(2) == 0 {
		connectTime = c.randomTime(400 * ms)
	}
	c.schedule(r, connectTime, func() {
		if r.requests[q.txn] != q || q.heldBack != nil {
			return
		}
		if c.random.IntN(8) == 0 { // no connection to an endpoint
			c.finish(r, q, Outcome{Kind: NeverRan})
			return
		}
		q.permissionRequested = true
		r.coordinator.RequestSendPermission(r.clock(c.now), q.txn)
		c.carryOutActions(r)
	})
}

// write writes an order, if it may still be written. An endpoint answers within 120 ms.
func (c *simCluster) write(r *simRouter, q *simRequest) {
	now := r.clock(c.now)
	if now >= q.deadline {
		c.finish(r, q, Outcome{Kind: NeverRan})
		return
	}
	if !c.noPauses && c.random.IntN(30) == 0 { // the process pauses between ActionSend and writing
		r.pausedUntil = c.now + c.randomTime(4*time.Second)
		c.schedule(r, 0, func() {
			if r.requests[q.txn] == q {
				c.write(r, q)
			}
		})
		return
	}
	if !r.coordinator.UseSendPermission(now, q.txn) {
		r.coordinator.RequestSendPermission(now, q.txn)
		return
	}
	c.countRun(r, q.txn)
	q.sent = true
	if c.scripted {
		return
	}
	c.schedule(r, c.randomTime(120*ms), func() {
		if r.requests[q.txn] == q {
			c.finish(r, q, Outcome{Kind: Served, Body: []byte("done")})
		}
	})
}

// countRun counts that an endpoint got an order.
func (c *simCluster) countRun(r *simRouter, txn string) {
	for _, o := range c.openOrders {
		if o.txn == txn {
			o.runs++
			c.onEvent(timeline.Event{Node: r.name, Time: c.now, Action: "RUNS", Subject: txn})
			o.ranTooLate = o.ranTooLate || o.mayHaveRunAt > 0 && c.now > o.mayHaveRunAt
		}
	}
}

// finish ends an order. The client gets its answer at once, or once the replica has released the order or 250 ms have
// passed.
func (c *simCluster) finish(r *simRouter, q *simRequest, outcome Outcome) {
	if !r.coordinator.Finish(r.clock(c.now), q.txn, outcome) {
		delete(r.requests, q.txn)
		c.answer(q, outcome.Kind)
		return
	}
	q.heldBack = &outcome
	c.schedule(r, 250*ms, func() {
		if r.requests[q.txn] == q {
			delete(r.requests, q.txn)
			r.coordinator.StopWaiting(r.clock(c.now), q.txn)
			c.answer(q, MayHaveRun)
			c.carryOutActions(r)
		}
	})
}
