package failover

import "time"

// ownedOrders is what this router knows as an owner: its clients' orders, and its sessions with their replicas.
type ownedOrders struct {
	orders            map[string]*ownedOrder // by txn
	changed           []string               // orders of which a replica may have to be told
	ended             []string               // orders that have ended, oldest first
	session           *replicaSession        // of new orders; nil: none yet
	sessions          []*replicaSession      // of all orders
	lastSessionNumber uint64                 // the number of the latest
}

// Replicate takes an order that a client waits for, and has a replica told of it. An error says why it can't be
// taken; the order never ran then.
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

// RequestSendPermission asks to send an order. ActionSend or ActionStop follows, at once or later; nothing follows if the
// order ends before.
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
	if o.state.permissionGranted() { // that lease has expired
		o.replication.restart()
	}
	o.state = o.state.after(permissionRequested)
	o.replication.target = stepMaySend
	c.owned.changed = append(c.owned.changed, txn)
}

// UseSendPermission tells whether an order may be written now. A caller that gets true writes it at once.
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

// Finish takes the outcome that an order's client is about to be told. If it returns true, the caller waits for
// ActionReplicaDropped or calls StopWaiting before it tells the client: a replica may still pass the order on.
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

// replicateEnd has an order's replica told that it has ended, if it was told of the order at all.
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

// StopWaiting ends the wait for a replica to release an order: it may still run it.
func (c *Coordinator) StopWaiting(now time.Duration, txn string) {
	o := c.owned.orders[txn]
	if o == nil || !o.state.releasing() {
		return
	}
	o.state = o.state.after(released)
	o.outcome.Kind = MayHaveRun
	c.answerWaiters(now, txn, o)
}

// Cancel ends an order whose client no longer waits. The caller says whether it may have run.
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
		c.StopWaiting(now, txn) // nobody waits for the release
	}
}

// Abandon tells that an order of ActionRun was not run here after all, and never will be.
func (c *Coordinator) Abandon(now time.Duration, txn string) {
	if r := c.stored.records[txn]; r != nil && r.state == recordRunning {
		c.endRecord(now, r, Outcome{Kind: NeverRan})
	}
}

// answerWaiters tells the claimants of an own order how it ended, and ends the record from which it was run here.
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

// forgetEndedOrders forgets the orders that have ended long ago.
func (c *Coordinator) forgetEndedOrders(now time.Duration) {
	for len(c.owned.ended) > 0 {
		oldest := c.owned.orders[c.owned.ended[0]]
		if oldest != nil && now < oldest.forgetAt {
			return
		}
		c.forgetOldestOrder(now)
	}
}

// forgetOldestOrder forgets the order that ended first. If that is too early, this router is uncertain for a while.
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
