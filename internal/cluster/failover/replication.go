package failover

import (
	"errors"
	"slices"
	"time"
)

// ownedOrder is an order that a client of this router waits for, and later its outcome.
type ownedOrder struct {
	order       Order
	deadline    time.Duration // when its client gives up
	state       orderState
	replication replication
	outcome     Outcome // once the state is ended
	forgetAt    time.Duration
	waiters     []waiter
	givenTo     Incarnation // the claimant that may run it, where no replica ever knew of it
}

// replication is how much of an order its replica knows: the step that it is to know, was told and has acknowledged.
type replication struct {
	session      *replicaSession // nil: no replica yet
	target       step            // what the replica is to know
	sent         step            // what it was told
	acknowledged step            // what it has said that it holds
	exposure     exposure
	waived       bool     // no replica is needed: there was none, and Settings.Strict is off
	tried        []string // replicas that failed
}

// exposure is how much any replica may know of an order, whether it has acknowledged that or not. It only grows.
type exposure uint8

const (
	exposedToNone   exposure = iota // no replica was told of it, so this router may give it to a claimant
	exposedRecord                   // a replica was told, and may not pass it on
	exposedSend                     // a replica was told that it may be sent: if the owner is lost, it says so for good
	exposedTransfer                 // a replica was told that it may pass it on: only that one knows more
)

// mayBeSent tells whether the order may be written now.
func (r *replication) mayBeSent(now time.Duration) bool {
	return r.waived || r.acknowledged == stepMaySend && r.session != nil && now < r.session.leaseUntil
}

// restart has the replica told everything anew.
func (r *replication) restart() { r.sent, r.acknowledged = stepNone, stepNone }

// markSent notes that the replica was told the target.
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

// leaveReplica gives up a replica that does not answer, for another one. It never had the right to pass the order on.
func (r *replication) leaveReplica() {
	r.session.openOrders--
	r.tried = append(r.tried, r.session.replica)
	r.session = nil
	r.restart()
}

// replicateChanges tells the replicas what has changed of orders.
func (c *Coordinator) replicateChanges(now time.Duration) {
	changed := c.owned.changed
	c.owned.changed = nil
	for _, txn := range changed {
		if o := c.owned.orders[txn]; o != nil && o.replication.target > o.replication.sent {
			c.replicateStep(now, txn, o)
		}
	}
}

// replicateStep tells an order's replica how far the order has come.
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

// assignReplica chooses a replica that has not failed for this order before. It returns false if there is none.
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

// stepMessage returns the message for an order's replica, and until when it is worth sending.
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
	if r.target == stepTransferable || r.exposure == exposedTransfer { // no other replica can tell what became of it
		until = max(until, o.deadline)
	}
	return m, until
}

// receiveReplicaReply takes a replica's reply to what it was told, or the failure to get one.
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

// stepAcknowledged takes that the replica holds a step, and goes on to the next.
func (c *Coordinator) stepAcknowledged(req sentMessage, o *ownedOrder) {
	r := &o.replication
	r.acknowledged = max(r.acknowledged, req.step)
	c.trace(req.step.String()+eventStepAcknowledged, req.txn, req.to)
	switch {
	case o.state.ended():
	case r.acknowledged == stepMaySend && o.state.permissionRequested():
		c.grantPermission(req.txn, o)
	case r.acknowledged == stepOwnerOnly && r.target == stepOwnerOnly: // it has to wait longer than a round trip took
		r.target = stepTransferable
		c.owned.changed = append(c.owned.changed, req.txn)
	}
}

func (c *Coordinator) grantPermission(txn string, o *ownedOrder) {
	o.state = o.state.after(permissionGranted)
	c.addAction(Action{Kind: ActionSend, Txn: txn})
}

// replicationFailed takes that a replica could not be told of an order in time, or has no room for it.
func (c *Coordinator) replicationFailed(now time.Duration, txn string, o *ownedOrder, err error) {
	r := &o.replication
	switch {
	case o.state.ended() || o.state.sent():
	case r.exposure == exposedTransfer, r.exposure == exposedSend && !errors.As(err, new(ReplicaFullError)):
		// That replica may decide about it all the same, and nobody else can tell. One that is full holds nothing of it.
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

// continueWithoutReplica takes that no router can hold an order: it goes out all the same, or is stopped.
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
	case o.state.sent(): // there is nobody left to tell
		r.sent = r.target
	default:
		c.counters.OrdersWithoutReplica++
		c.stopOrder(now, txn, o, NeverRan, noReplicaError(err, r.tried))
	}
}

// stopOrder ends an order that may not be sent.
func (c *Coordinator) stopOrder(now time.Duration, txn string, o *ownedOrder, kind OutcomeKind, err error) {
	if kind == MayHaveRun {
		c.counters.LeasesLost++
	}
	if c.Finish(now, txn, Outcome{Kind: kind}) {
		c.StopWaiting(now, txn) // nobody waits for the release
	}
	c.addAction(Action{Kind: ActionStop, Txn: txn, Outcome: o.outcome, Err: err})
}

// receiveRelease takes a replica's reply to the outcome of an order. A rejected one's client waits for it.
func (c *Coordinator) receiveRelease(now time.Duration, req sentMessage, o *ownedOrder, err error, answer reply) {
	if !o.state.releasing() {
		return
	}
	action := Action{Kind: ActionReplicaDropped, Txn: req.txn}
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
