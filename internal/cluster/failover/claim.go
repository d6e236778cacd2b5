package failover

import (
	"errors"
	"maps"
	"slices"
	"time"

	"hillknot/internal/cluster/messaging"
)

// openClaim is what this router asks other routers for a client that lost one of them.
type openClaim struct {
	order      Order
	deadline   time.Duration // when the client gives up
	startedAt  time.Duration
	peersAsked bool             // the other routers were asked
	retryAt    time.Duration    // when those without a final reply are asked again
	replies    map[string]reply // by router; "" is this one
	pending    map[string]bool  // routers that were asked and have not replied
}

// Reasons of MayHaveRunError. docs/errors.md and tests have them.
const (
	reasonBeingSent   = "it was being sent when its router was lost"
	reasonUnreachable = "its router can't be reached, and no other knows what became of it"
	reasonNoTime      = "there was no time left for it"
	reasonNoReply     = "nobody knew in its time"
)

// Claim asks what became of an order whose router a client has lost. The order carries the lost txn, and all else as
// the client asks for it now. ActionBeginClaim or ActionSettleClaim follows, unless CancelClaim comes before.
func (c *Coordinator) Claim(now time.Duration, id uint64, order Order) {
	c.counters.Claims++
	claim := &openClaim{
		order:     order,
		deadline:  now + order.TimeLeft,
		startedAt: now,
		replies:   map[string]reply{},
		pending:   map[string]bool{},
	}
	c.claims[id] = claim
	c.trace(eventClaimed, order.Txn, "")
	// This router answers first: from now on it stores no record of the order for anyone but this claim.
	self := Incarnation{c.settings.Self, c.settings.Process}
	claim.replies[""] = c.claimReply(now, order, waiter{self, id})
	c.decideClaim(now, id, claim)
}

// CancelClaim ends a claim whose client no longer waits.
func (c *Coordinator) CancelClaim(id uint64) { delete(c.claims, id) }

// claimReply is what this router itself knows of an order that is claimed.
func (c *Coordinator) claimReply(now time.Duration, order Order, w waiter) reply {
	own, r := c.owned.orders[order.Txn], c.stored.records[order.Txn]
	if own != nil && (r == nil || !own.state.ended() || own.outcome.Kind != NeverRan) {
		if own.order.Digest != order.Digest {
			return reply{Kind: replyMayHaveRun} // whoever asks does not know the order, and learns nothing
		}
		return c.ownedOrderReply(own, w)
	}
	if r != nil {
		if r.contents != contentsReserved && (r.contents != contentsComplete || r.order.Digest != order.Digest) {
			return reply{Kind: replyMayHaveRun}
		}
		return c.recordReply(now, r, w)
	}
	if r = c.newRecord(now, order.Txn); r == nil {
		return reply{Kind: replyUnknown}
	}
	r.reserveFor(w)
	return c.unknownReply(now)
}

// ownedOrderReply is what a claimant is told of an order of this router's own. An order that never ran, and that no
// replica knows, is given to the claimant by this reply.
func (c *Coordinator) ownedOrderReply(o *ownedOrder, w waiter) reply {
	if !o.state.ended() {
		return addWaiter(&o.waiters, w)
	}
	switch o.outcome.Kind {
	case Served, Failed:
		return reply{Kind: replyOutcome, Outcome: o.outcome}
	case MayHaveRun:
		if o.state.sent() {
			return reply{Kind: replyMayHaveRun}
		}
		return reply{Kind: replyElsewhere}
	}
	replicaDecides := o.replication.exposure != exposedToNone
	givenToAnother := o.givenTo != (Incarnation{}) && o.givenTo != w.Incarnation
	if replicaDecides || givenToAnother {
		return reply{Kind: replyElsewhere}
	}
	o.givenTo = w.Incarnation
	c.counters.OrdersGiven++
	c.trace(eventGiven, o.order.Txn, w.Name)
	return reply{Kind: replyRun}
}

// receiveClaim answers a claimant.
func (c *Coordinator) receiveClaim(now time.Duration, delivery messaging.Delivery, m message) {
	claimant := waiter{Incarnation{delivery.From, delivery.Process}, m.Claim}
	c.reply(delivery, c.claimReply(now, m.Order, claimant))
}

// updateClaimant tells a claimant that waits what is known of its order now.
func (c *Coordinator) updateClaimant(now time.Duration, txn string, w waiter, update reply) {
	if w.Name != c.settings.Self {
		m := message{Kind: messageClaimUpdate, Txn: txn, Claim: w.claim, Update: update}
		// A claimant that can't be reached asks again by itself.
		_ = c.send(now, w.Name, m, now+c.settings.MaxClientWait, sentMessage{})
		return
	}
	if claim := c.claims[w.claim]; claim != nil {
		claim.replies[""] = update
		c.decideClaim(now, w.claim, claim)
	} else if update.Kind == replyRun {
		c.returnOrder(now, txn)
	}
}

// receiveClaimUpdate takes what a router that was asked before tells now.
func (c *Coordinator) receiveClaimUpdate(now time.Duration, delivery messaging.Delivery, m message) {
	c.reply(delivery, reply{Kind: replyAcknowledged})
	claim := c.claims[m.Claim]
	if claim == nil || claim.order.Txn != m.Txn {
		if m.Update.Kind == replyRun && c.owned.orders[m.Txn] == nil {
			c.returnOrderTo(now, m.Txn, delivery.From)
		}
		return
	}
	claim.replies[delivery.From] = m.Update
	c.decideClaim(now, m.Claim, claim)
}

// returnOrder takes an order back that this router's own replica role gave to a claim whose client no longer waits.
func (c *Coordinator) returnOrder(now time.Duration, txn string) {
	r := c.stored.records[txn]
	if r != nil && r.state == recordGiven && r.contents != contentsReserved {
		c.endRecord(now, r, Outcome{Kind: NeverRan})
	}
}

// returnOrderTo returns an order to the router that gave it to a claim whose client no longer waits. A router that
// can't be reached holds the order as given, which is safe.
func (c *Coordinator) returnOrderTo(now time.Duration, txn, router string) {
	m := message{Kind: messageStep, Txn: txn, Step: stepEnded, Outcome: Outcome{Kind: NeverRan}}
	_ = c.send(now, router, m, now+c.settings.Retention, sentMessage{step: stepEnded})
}

// receiveClaimReply takes the reply to a question, or the failure to get one.
func (c *Coordinator) receiveClaimReply(now time.Duration, req sentMessage, err error, answer reply) {
	claim := c.claims[req.claim]
	if claim == nil || claim.order.Txn != req.txn {
		if answer.Kind == replyRun && c.owned.orders[req.txn] == nil { // else the order was begun here
			c.returnOrderTo(now, req.txn, req.to)
		}
		return
	}
	delete(claim.pending, req.to)
	switch {
	case err == nil:
		claim.replies[req.to] = answer
	case errors.As(err, new(messaging.ProcessReplacedError)): // its new process has not been asked yet
		c.requestReply(now, req.claim, claim, req.to)
	}
	c.decideClaim(now, req.claim, claim)
}

// strongestReply returns the strongest of the replies, and how many routers are certain that they know nothing.
func (claim *openClaim) strongestReply() (strongest reply, certainUnknown int) {
	for _, router := range slices.Sorted(maps.Keys(claim.replies)) {
		answer := claim.replies[router]
		if answer.Kind > strongest.Kind {
			strongest = answer
		}
		if answer.Kind == replyUnknown && answer.Certain {
			certainUnknown++
		}
	}
	return strongest, certainUnknown
}

// decideClaim acts on the strongest reply once it is strong enough, or once all have replied or their time is over.
func (c *Coordinator) decideClaim(now time.Duration, id uint64, claim *openClaim) {
	strongest, certainUnknown := claim.strongestReply()
	switch strongest.Kind {
	case replyRun:
		c.beginClaim(now, id, claim)
		return
	case replyOutcome:
		c.counters.ClaimsAnswered++
		c.settleClaim(id, strongest.Outcome, nil)
		return
	case replyUnknown:
		// If all routers but the lost owner are certain, no replica ever held the order, so it was never sent.
		if c.settings.Strict && certainUnknown >= c.settings.ClusterSize-1 {
			c.counters.ClaimsOfUnsent++
			c.beginClaim(now, id, claim)
			return
		}
	}
	betterExpected := strongest.Kind == replyPending || strongest.Kind == replyElsewhere
	if !claim.peersAsked || betterExpected && now >= claim.retryAt {
		c.requestReplies(now, id, claim)
	}
	repliesExpected := len(claim.pending) > 0 && now < claim.startedAt+c.settings.ClaimTimeout
	if repliesExpected || betterExpected {
		return
	}
	reason := reasonUnreachable
	if strongest.Kind == replyMayHaveRun {
		reason = reasonBeingSent
	}
	c.settleAsMayHaveRun(id, reason)
}

// requestReplies asks all other routers that have not given a final reply.
func (c *Coordinator) requestReplies(now time.Duration, id uint64, claim *openClaim) {
	claim.peersAsked, claim.retryAt = true, now+c.settings.ClaimTimeout
	for _, p := range c.peers {
		final := claim.replies[p.Name].Kind == replyMayHaveRun || claim.replies[p.Name].Kind == replyUnknown
		if !final && !claim.pending[p.Name] {
			c.requestReply(now, id, claim, p.Name)
		}
	}
}

// maxClaimTimeouts is for how many ClaimTimeouts a question is repeated to a router that does not answer.
const maxClaimTimeouts = 4

func (c *Coordinator) requestReply(now time.Duration, id uint64, claim *openClaim, router string) {
	txn := claim.order.Txn
	m := message{Kind: messageClaim, Txn: txn, Claim: id, Order: Order{Txn: txn, Digest: claim.order.Digest}}
	until := min(claim.deadline, now+maxClaimTimeouts*c.settings.ClaimTimeout)
	if err := c.send(now, router, m, until, sentMessage{claim: id, txn: txn}); err == nil {
		claim.pending[router] = true
	}
}

// beginClaim has the caller run a claimed order.
func (c *Coordinator) beginClaim(now time.Duration, id uint64, claim *openClaim) {
	delete(c.claims, id)
	order := claim.order
	if now >= claim.deadline {
		c.returnOrder(now, order.Txn)
		c.addAction(Action{
			Kind:    ActionSettleClaim,
			ClaimID: id,
			Txn:     order.Txn,
			Outcome: Outcome{Kind: MayHaveRun},
			Err:     MayHaveRunError{reasonNoTime},
		})
		return
	}
	c.trace(eventClaimBegun, order.Txn, "")
	order.TimeLeft = claim.deadline - now
	c.addAction(Action{Kind: ActionBeginClaim, ClaimID: id, Txn: order.Txn, Order: order})
}

// settleClaim has the caller answer a claim.
func (c *Coordinator) settleClaim(id uint64, outcome Outcome, err error) {
	txn := c.claims[id].order.Txn
	delete(c.claims, id)
	c.trace(eventClaimSettled+outcome.Kind.String(), txn, "")
	c.addAction(Action{Kind: ActionSettleClaim, ClaimID: id, Txn: txn, Outcome: outcome, Err: err})
}

func (c *Coordinator) settleAsMayHaveRun(id uint64, reason string) {
	c.counters.ClaimsMayHaveRun++
	c.settleClaim(id, Outcome{Kind: MayHaveRun}, MayHaveRunError{reason})
}

// tickClaims asks again, and ends claims whose client's time is over.
func (c *Coordinator) tickClaims(now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(c.claims)) {
		claim := c.claims[id]
		if now >= claim.deadline {
			c.settleAsMayHaveRun(id, reasonNoReply)
		} else {
			c.decideClaim(now, id, claim)
		}
	}
}
