package failover

import (
	"errors"
	"maps"
	"slices"
	"time"

	"hillknot/internal/cluster/messaging"
)

// openClaim is a claim that is not settled yet: a client lost the router of its order and asked this router what became
// of the order.
type openClaim struct {
	order      Order
	deadline   time.Duration // when the client gives up
	startedAt  time.Duration
	peersAsked bool             // the other routers were asked
	retryAt    time.Duration    // when the routers without a final reply are asked again
	replies    map[string]reply // latest reply by router; the key "" is this router
	pending    map[string]bool  // routers that were asked and have not replied
}

// The reasons that a MayHaveRunError gives. docs/errors.md contains reasonBeingSent, and the tests compare with it.
const (
	reasonBeingSent   = "it was being sent when its router was lost"
	reasonUnreachable = "its router can't be reached, and no other router knows its outcome"
	reasonNoTime      = "its client's deadline passed before it could be run here"
	reasonNoReply     = "no router reported its outcome before the client's deadline"
)

// Claim asks what became of an order whose router a client has lost. The order carries the txn that was sent to the lost
// router; the other fields are those of the client's present request. ActionBeginClaim or ActionSettleClaim with the
// given id follows, unless CancelClaim is called first.
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
	// This router replies to the claim before its peers are asked. From then on it stores no record of the order for
	// any other claim or owner.
	self := Incarnation{c.settings.Self, c.settings.Process}
	claim.replies[""] = c.claimReply(now, order, waiter{self, id})
	c.decideClaim(now, id, claim)
}

// CancelClaim drops a claim whose client no longer waits. No action follows for it.
func (c *Coordinator) CancelClaim(id uint64) { delete(c.claims, id) }

// claimReply returns what this router itself knows of a claimed order. If it knows nothing, it reserves the txn for the
// claimant w.
func (c *Coordinator) claimReply(now time.Duration, order Order, w waiter) reply {
	own, r := c.owned.orders[order.Txn], c.stored.records[order.Txn]
	if own != nil && (r == nil || !own.state.ended() || own.outcome.Kind != NeverRan) {
		if own.order.Digest != order.Digest {
			return reply{Kind: replyMayHaveRun} // the claimant does not know the order's contents, so it must not learn the outcome
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

// ownedOrderReply returns the reply to a claimant of an order that this router owns. If the order never ran and no
// replica knows it, the reply gives the order to the claimant.
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

// receiveClaim replies to a claimant at another router.
func (c *Coordinator) receiveClaim(now time.Duration, delivery messaging.Delivery, m message) {
	claimant := waiter{Incarnation{delivery.From, delivery.Process}, m.Claim}
	c.reply(delivery, c.claimReply(now, m.Order, claimant))
}

// updateClaimant sends a waiting claimant, which may be a claim of this router, what is now known of its order.
func (c *Coordinator) updateClaimant(now time.Duration, txn string, w waiter, update reply) {
	if w.Name != c.settings.Self {
		m := message{Kind: messageClaimUpdate, Txn: txn, Claim: w.claim, Update: update}
		// The error is ignored because a claimant without a final reply asks again.
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

// receiveClaimUpdate handles a later reply of a router whose first reply to a claim was replyPending. An order that the
// update gives to a claim that is no longer open is returned, unless this router has begun to run it.
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

// returnOrder takes back an order that this router, as its replica, gave to one of its own claims, because the claim's
// client no longer waits.
func (c *Coordinator) returnOrder(now time.Duration, txn string) {
	r := c.stored.records[txn]
	if r != nil && r.state == recordGiven && r.contents != contentsReserved {
		c.endRecord(now, r, Outcome{Kind: NeverRan})
	}
}

// returnOrderTo returns an order to the router that gave it to a claim whose client no longer waits. If that router can't
// be reached, its record says that the order was given away, which is safe.
func (c *Coordinator) returnOrderTo(now time.Duration, txn, router string) {
	m := message{Kind: messageStep, Txn: txn, Step: stepEnded, Outcome: Outcome{Kind: NeverRan}}
	_ = c.send(now, router, m, now+c.settings.Retention, sentMessage{step: stepEnded})
}

// receiveClaimReply handles another router's reply to a claim, or the failure to get a reply in time.
func (c *Coordinator) receiveClaimReply(now time.Duration, req sentMessage, err error, answer reply) {
	claim := c.claims[req.claim]
	if claim == nil || claim.order.Txn != req.txn {
		if answer.Kind == replyRun && c.owned.orders[req.txn] == nil { // otherwise this router runs the order
			c.returnOrderTo(now, req.txn, req.to)
		}
		return
	}
	delete(claim.pending, req.to)
	switch {
	case err == nil:
		claim.replies[req.to] = answer
	case errors.As(err, new(messaging.ProcessReplacedError)): // the router's new process has not been asked yet
		c.requestReply(now, req.claim, claim, req.to)
	}
	c.decideClaim(now, req.claim, claim)
}

// strongestReply returns the strongest of the replies, and the number of routers that are certain that they know nothing
// of the order.
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

// decideClaim starts or settles a claim once the strongest reply is strong enough, or once all routers have replied or
// ClaimTimeout is over. Until then it asks the other routers.
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
		// If all routers but the lost owner are certain, no replica ever held the order. With Strict set, an order is only
		// sent once a replica holds it, so this order was never sent.
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

// requestReplies asks all other routers that have not given a final reply and have no question in flight.
func (c *Coordinator) requestReplies(now time.Duration, id uint64, claim *openClaim) {
	claim.peersAsked, claim.retryAt = true, now+c.settings.ClaimTimeout
	for _, p := range c.peers {
		final := claim.replies[p.Name].Kind == replyMayHaveRun || claim.replies[p.Name].Kind == replyUnknown
		if !final && !claim.pending[p.Name] {
			c.requestReply(now, id, claim, p.Name)
		}
	}
}

// maxClaimTimeouts is how long, in multiples of ClaimTimeout, a claim is sent repeatedly to a router that does not
// answer.
const maxClaimTimeouts = 4

func (c *Coordinator) requestReply(now time.Duration, id uint64, claim *openClaim, router string) {
	txn := claim.order.Txn
	m := message{Kind: messageClaim, Txn: txn, Claim: id, Order: Order{Txn: txn, Digest: claim.order.Digest}}
	until := min(claim.deadline, now+maxClaimTimeouts*c.settings.ClaimTimeout)
	if err := c.send(now, router, m, until, sentMessage{claim: id, txn: txn}); err == nil {
		claim.pending[router] = true
	}
}

// beginClaim has the caller run a claimed order, unless the client's deadline has passed.
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

// settleClaim ends a claim, and has the caller answer its client with the outcome. The error is the reason for an unknown
// outcome.
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

// tickClaims decides all open claims again, and settles those whose client's deadline has passed.
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
