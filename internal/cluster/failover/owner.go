package failover

import "time"

// ownedOrders holds what this router knows as an owner: the orders that it has accepted, and its sessions at their
// replicas.
type ownedOrders struct {
	orders            map[string]*ownedOrder // by txn
	changed           []string               // txns of orders whose replica may have to be sent a step
	ended             []string               // txns of orders that have ended, oldest first
	session           *replicaSession        // for new orders; nil: none yet
	sessions          []*replicaSession      // those with open orders, and the one for new orders
	lastSessionNumber uint64                 // number of the session that was started last
}

// Replicate accepts an order, whose replica gets a record of it with the next packets. It returns a
// ReplicaUnreachableError if Settings.Strict is set and no other router is alive; such an order never ran.
func (c *Coordinator) Replicate(now time.Duration, order Order) error {
	if c.settings.Strict && c.currentSession(now) == nil {
		c.counters.OrdersWithoutReplica++
		return ReplicaUnreachableError{}
	}
	order.BodyComplete = len(order.Body) <= c.settings.MaxBodyBytes
	if !order.BodyComplete {
		order.Body = nil
	}
	c.counters.OrdersReplicated++
	c.owned.orders[order.Txn] = &ownedOrder{
		order:       order,
		deadline:    now + order.TimeLeft,
		state:       orderQueued,
		replication: replication{target: stepOwnerOnly},
	}
	c.owned.changed = append(c.owned.changed, order.Txn)
	c.trace(eventOrderAccepted, order.Txn, "")
	return nil
}

// RequestSendPermission asks for permission to send an order. ActionSend or ActionStop follows, at once or later, unless
// the order ends first.
func (c *Coordinator) RequestSendPermission(now time.Duration, txn string) {
	o := c.owned.orders[txn]
	if o == nil || o.state.ended() {
		c.addAction(Action{Kind: ActionStop, Txn: txn, Outcome: Outcome{Kind: MayHaveRun}, Err: LeaseLostError{}})
		return
	}
	if o.replication.mayBeSent(now) {
		c.grantPermission(txn, o)
		return
	}
	if o.state.permissionGranted() { // the lease under which it was granted has expired
		o.replication.restart()
	}
	o.state = o.state.after(permissionRequested)
	o.replication.target = stepMaySend
	c.owned.changed = append(c.owned.changed, txn)
}

// UseSendPermission reports whether an order may be written now. If it returns true, the caller must write the order at
// once.
func (c *Coordinator) UseSendPermission(now time.Duration, txn string) bool {
	o := c.owned.orders[txn]
	if o == nil || o.state.ended() || !o.replication.mayBeSent(now) {
		return false
	}
	if !o.state.sent() {
		c.trace(eventOrderSent, txn, "")
	}
	o.state = o.state.after(permissionUsed)
	return true
}

// Finish ends an order with the outcome that its client is about to get. It returns true if the replica may still pass
// the order on; the caller must then wait for ActionAnswer, or call StopWaiting, before it answers the client.
func (c *Coordinator) Finish(now time.Duration, txn string, outcome Outcome) (wait bool) {
	o := c.owned.orders[txn]
	if o == nil || o.state.ended() {
		return false
	}
	if outcome.Kind == Served && len(outcome.Body) > c.settings.MaxBodyBytes {
		outcome = Outcome{Kind: MayHaveRun}
	}
	event := finished
	if outcome.Kind == NeverRan && o.replication.exposure == exposedTransfer {
		event = finishedReleasing
	}
	o.state = o.state.after(event)
	o.outcome, o.forgetAt = outcome, now+c.settings.Retention
	c.owned.ended = append(c.owned.ended, txn)
	for len(c.owned.ended) > c.settings.MaxRecords {
		c.forgetOldestOrder(now)
	}
	c.trace(eventOrderEnded+outcome.Kind.String(), txn, "")
	c.replicateEnd(txn, &o.replication)
	if !o.state.releasing() {
		c.answerWaiters(now, txn, o)
	}
	return o.state.releasing()
}

// replicateEnd queues the outcome of an order for its replica, if any step of the order was sent to the replica.
func (c *Coordinator) replicateEnd(txn string, r *replication) {
	if r.session != nil {
		r.session.openOrders--
	}
	r.target = stepNone
	if r.sent != stepNone {
		r.target = stepEnded
		c.owned.changed = append(c.owned.changed, txn)
	}
}

// StopWaiting ends the wait for a replica to release an order. The outcome becomes MayHaveRun, because the replica may
// still run the order.
func (c *Coordinator) StopWaiting(now time.Duration, txn string) {
	o := c.owned.orders[txn]
	if o == nil || !o.state.releasing() {
		return
	}
	o.state = o.state.after(released)
	o.outcome.Kind = MayHaveRun
	c.answerWaiters(now, txn, o)
}

// Cancel ends an order whose client no longer waits. The outcome is MayHaveRun if mayHaveRun is true, else NeverRan.
func (c *Coordinator) Cancel(now time.Duration, txn string, mayHaveRun bool) {
	o := c.owned.orders[txn]
	if o == nil || o.state.ended() {
		return
	}
	kind := NeverRan
	if mayHaveRun {
		kind = MayHaveRun
	}
	if c.Finish(now, txn, Outcome{Kind: kind}) {
		c.StopWaiting(now, txn) // no client waits for the release
	}
}

// Abandon reports that an order of ActionRun was not run here and never will be.
func (c *Coordinator) Abandon(now time.Duration, txn string) {
	if r := c.stored.records[txn]; r != nil && r.state == recordRunning {
		c.endRecord(now, r, Outcome{Kind: NeverRan})
	}
}

// answerWaiters sends the waiting claimants of an owned order its outcome. If the order was run here for a lost router,
// its record ends too.
func (c *Coordinator) answerWaiters(now time.Duration, txn string, o *ownedOrder) {
	waiters := o.waiters
	o.waiters = nil
	for _, w := range waiters {
		c.updateClaimant(now, txn, w, c.ownedOrderReply(o, w))
	}
	if r := c.stored.records[txn]; r != nil && r.state == recordRunning {
		c.endRecord(now, r, o.outcome)
	}
}

// forgetEndedOrders removes the orders that ended at least Settings.Retention ago.
func (c *Coordinator) forgetEndedOrders(now time.Duration) {
	for len(c.owned.ended) > 0 {
		oldest := c.owned.orders[c.owned.ended[0]]
		if oldest != nil && now < oldest.forgetAt {
			return
		}
		c.forgetOldestOrder(now)
	}
}

// forgetOldestOrder removes the order that ended first. If its retention is not over, this router is uncertain for
// Settings.Retention: see uncertainUntil.
func (c *Coordinator) forgetOldestOrder(now time.Duration) {
	txn := c.owned.ended[0]
	c.owned.ended = c.owned.ended[1:]
	o := c.owned.orders[txn]
	if o == nil || !o.state.ended() {
		return
	}
	if now < o.forgetAt {
		c.uncertainUntil = now + c.settings.Retention
	}
	delete(c.owned.orders, txn)
}
