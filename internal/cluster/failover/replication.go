package failover

import (
	"errors"
	"slices"
	"time"
)

// ownedOrder is an order that this router has accepted, and its outcome once it has ended.
type ownedOrder struct {
	order       Order
	deadline    time.Duration // when the client gives up
	state       orderState
	replication replication
	outcome     Outcome // set once state.ended()
	forgetAt    time.Duration
	waiters     []waiter
	givenTo     Incarnation // the claimant that may run the order, if it never ran and no replica was sent it
}

// replication tracks what an order's replica knows of it: the step that the replica is to know, the step that it was sent
// and the step that it has acknowledged.
type replication struct {
	session      *replicaSession // nil: no replica yet
	target       step            // the step that the replica is to know
	sent         step            // the latest step that was sent to the replica
	acknowledged step            // the latest step that the replica acknowledged
	exposure     exposure
	waived       bool     // the order may be sent without a replica: none was found, and Settings.Strict is off
	tried        []string // names of replicas that failed for this order
}

// exposure is the most that any replica may know of an order, acknowledged or not. It only grows.
type exposure uint8

const (
	exposedToNone   exposure = iota // no replica was sent the order, so this router may give it to a claimant
	exposedRecord                   // a replica was sent the order, and may not pass it on
	exposedSend                     // a replica was sent stepMaySend: if the owner is lost, it reports MayHaveRun from then on
	exposedTransfer                 // a replica was sent stepTransferable: only that replica can tell who runs the order
)

// mayBeSent reports whether the order may be written now.
func (r *replication) mayBeSent(now time.Duration) bool {
	return r.waived || r.acknowledged == stepMaySend && r.session != nil && now < r.session.leaseUntil
}

// restart resets the progress, so that the replica is sent the order again.
func (r *replication) restart() { r.sent, r.acknowledged = stepNone, stepNone }

// markSent records that the target was sent to the replica.
func (r *replication) markSent() {
	r.sent = r.target
	switch r.target {
	case stepTransferable:
		r.exposure = exposedTransfer
	case stepMaySend:
		r.exposure = max(r.exposure, exposedSend)
	default:
		r.exposure = max(r.exposure, exposedRecord)
	}
}

// leaveReplica gives up a replica that does not answer or has no room, so that another one is chosen. The replica never
// had the right to pass the order on.
func (r *replication) leaveReplica() {
	r.session.openOrders--
	r.tried = append(r.tried, r.session.replica)
	r.session = nil
	r.restart()
}

// replicateChanges sends the replicas the new steps of changed orders.
func (c *Coordinator) replicateChanges(now time.Duration) {
	changed := c.owned.changed
	c.owned.changed = nil
	for _, txn := range changed {
		if o := c.owned.orders[txn]; o != nil && o.replication.target > o.replication.sent {
			c.replicateStep(now, txn, o)
		}
	}
}

// replicateStep sends an order's target step to its replica, which is assigned first if there is none.
func (c *Coordinator) replicateStep(now time.Duration, txn string, o *ownedOrder) {
	r := &o.replication
	if r.session == nil && !c.assignReplica(now, r) {
		c.continueWithoutReplica(now, txn, o, nil)
		return
	}
	m, until := c.stepMessage(now, txn, o)
	req := sentMessage{txn: txn, step: r.target, session: r.session.number}
	if err := c.send(now, r.session.replica, m, until, req); err != nil {
		c.replicationFailed(now, txn, o, err)
		return
	}
	r.markSent()
	c.trace(r.target.String()+eventStepSent, txn, r.session.replica)
	r.session.renewAt = now + c.settings.LeaseDuration/renewalsPerLease
}

// assignReplica chooses a replica that has not failed for this order before, and reports whether there is one.
func (c *Coordinator) assignReplica(now time.Duration, r *replication) bool {
	session := c.currentSession(now)
	if session != nil && slices.Contains(r.tried, session.replica) {
		session = nil
		if name := c.bestReplica(r.tried); name != "" {
			session = c.startSession(now, name)
		}
	}
	if session == nil {
		return false
	}
	r.session = session
	session.openOrders++
	return true
}

// stepMessage returns the message with the order's target step for its replica, and the time until which the message is
// repeated.
func (c *Coordinator) stepMessage(now time.Duration, txn string, o *ownedOrder) (message, time.Duration) {
	r := &o.replication
	m := message{Kind: messageStep, Txn: txn, Step: r.target, Session: r.session.number}
	until := now + c.settings.ReplicaTimeout
	switch {
	case r.target == stepEnded:
		m.Outcome, until = o.outcome, now+c.settings.Retention
	case r.acknowledged == stepNone:
		m.Order = o.order
		m.Order.TimeLeft = max(o.deadline-now, 0)
	}
	if r.target == stepTransferable || r.exposure == exposedTransfer { // no other replica knows what became of the order
		until = max(until, o.deadline)
	}
	return m, until
}

// receiveReplicaReply handles a replica's reply to a step or a renewal of a lease, or the failure to get a reply in time.
func (c *Coordinator) receiveReplicaReply(now time.Duration, req sentMessage, err error, answer reply) {
	c.updateSession(now, req, err, answer)
	o := c.owned.orders[req.txn]
	if req.txn == "" || o == nil || o.replication.session == nil || o.replication.session.number != req.session {
		return
	}
	switch {
	case req.step == stepEnded:
		c.receiveRelease(now, req, o, err, answer)
	case err != nil:
		c.replicationFailed(now, req.txn, o, err)
	case answer.Kind == replyAcknowledged:
		c.stepAcknowledged(req, o)
	case answer.Kind == replyLeaseLost || answer.Kind == replyGivenAway:
		if !o.state.sent() && !o.state.ended() {
			c.stopOrder(now, req.txn, o, MayHaveRun, LeaseLostError{req.to})
		}
	default:
		c.replicationFailed(now, req.txn, o, ReplicaFullError{req.to})
	}
}

// stepAcknowledged records that the replica holds a step. It then grants permission to send an order whose caller waits
// for it, or makes a waiting order transferable.
func (c *Coordinator) stepAcknowledged(req sentMessage, o *ownedOrder) {
	r := &o.replication
	r.acknowledged = max(r.acknowledged, req.step)
	c.trace(req.step.String()+eventStepAcknowledged, req.txn, req.to)
	switch {
	case o.state.ended():
	case r.acknowledged == stepMaySend && o.state.permissionRequested():
		c.grantPermission(req.txn, o)
	case r.acknowledged == stepOwnerOnly && r.target == stepOwnerOnly: // the order has waited for longer than a round trip
		r.target = stepTransferable
		c.owned.changed = append(c.owned.changed, req.txn)
	}
}

func (c *Coordinator) grantPermission(txn string, o *ownedOrder) {
	o.state = o.state.after(permissionGranted)
	c.addAction(Action{Kind: ActionSend, Txn: txn})
}

// replicationFailed handles the failure to replicate a step: it did not reach the replica in time, or the replica has no
// room for the order. Another replica is tried if this one can't have the right to decide about the order.
func (c *Coordinator) replicationFailed(now time.Duration, txn string, o *ownedOrder, err error) {
	r := &o.replication
	switch {
	case o.state.ended() || o.state.sent():
	case r.exposure == exposedTransfer, r.exposure == exposedSend && !errors.As(err, new(ReplicaFullError)):
		// The replica may have got the step and decide about the order, and no other router knows its decision. A full
		// replica holds nothing of the order.
		c.stopOrder(now, txn, o, MayHaveRun, NotReleasedError{r.session.replica})
	case now >= o.deadline:
		c.stopOrder(now, txn, o, NeverRan, err)
	default:
		r.leaveReplica()
		c.owned.changed = append(c.owned.changed, txn)
		if c.bestReplica(r.tried) == "" {
			c.continueWithoutReplica(now, txn, o, err)
		}
	}
}

// continueWithoutReplica handles an order of which no router can hold a record. The order is stopped if Settings.Strict is
// set and it was not sent; otherwise it goes on without a replica. The error is the last failure, or nil.
func (c *Coordinator) continueWithoutReplica(now time.Duration, txn string, o *ownedOrder, err error) {
	r := &o.replication
	switch {
	case o.state.ended():
		r.sent = r.target
	case !c.settings.Strict:
		r.waived, r.sent = true, r.target
		if o.state.permissionRequested() {
			c.grantPermission(txn, o)
		}
	case o.state.sent(): // no replica is left that could be sent the step
		r.sent = r.target
	default:
		c.counters.OrdersWithoutReplica++
		c.stopOrder(now, txn, o, NeverRan, noReplicaError(err, r.tried))
	}
}

// stopOrder ends an order that may not be sent, and has the caller answer its client with the outcome.
func (c *Coordinator) stopOrder(now time.Duration, txn string, o *ownedOrder, kind OutcomeKind, err error) {
	if kind == MayHaveRun {
		c.counters.LeasesLost++
	}
	if c.Finish(now, txn, Outcome{Kind: kind}) {
		c.StopWaiting(now, txn) // no client waits for the release
	}
	c.addAction(Action{Kind: ActionStop, Txn: txn, Outcome: o.outcome, Err: err})
}

// receiveRelease handles a replica's reply to the outcome of an order, or the failure to get one. If the order was
// rejected, its client may be waiting for the reply.
func (c *Coordinator) receiveRelease(now time.Duration, req sentMessage, o *ownedOrder, err error, answer reply) {
	if !o.state.releasing() {
		return
	}
	action := Action{Kind: ActionAnswer, Txn: req.txn}
	switch {
	case err != nil:
		action.Err = NotReleasedError{req.to}
	case answer.Kind != replyAcknowledged:
		action.Err = LeaseLostError{req.to}
	}
	if action.Err != nil {
		c.StopWaiting(now, req.txn)
	} else {
		o.state = o.state.after(released)
		c.answerWaiters(now, req.txn, o)
	}
	c.addAction(action)
}
