package failover

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"hillknot/internal/cluster/messaging"
)

// storedRecords is what this router knows as a replica: records of other routers' orders, and the leases of their
// owners.
type storedRecords struct {
	records map[string]*record // by txn
	ended   []string           // records that have ended, oldest first
	owners  map[Incarnation]*ownerLease
}

// recordState is where a record stands.
type recordState uint8

const (
	recordOwnerOnly    recordState = iota // its owner may use another replica by now
	recordTransferable                    // this replica may pass it on if the owner is lost
	recordMaySend                         // its owner may send it; nobody else ever may
	recordBlocked                         // it was taken, and its owner is lost: this replica never lets it be sent
	recordOrphaned                        // it was transferable, and its owner is lost: one router may run it
	recordGiven                           // to one claimant
	recordRunning                         // here
	recordEnded
)

// recordContents is what a record holds of its order.
type recordContents uint8

const (
	contentsUnknown  recordContents = iota // only that its owner knows it
	contentsComplete                       // the owner's order
	contentsReserved                       // the txn is set aside for a claimant, and no owner gets it
)

// record is what a replica knows of an order.
type record struct {
	order    Order
	contents recordContents
	owner    Incarnation
	session  uint64
	state    recordState
	deadline time.Duration // when its client gives up
	forgetAt time.Duration
	outcome  Outcome // of recordEnded
	waiters  []waiter
	givenTo  waiter // of recordGiven
}

// ownerDecides tells whether the owner still decides about the order.
func (r *record) ownerDecides() bool { return r.state <= recordMaySend }

// isGivenTo tells whether a claimant at that process has the order.
func (r *record) isGivenTo(claimant Incarnation) bool {
	return r.state == recordGiven && r.givenTo.Incarnation == claimant
}

// giveTo gives the order, or with contentsReserved only its txn, to a claimant.
func (r *record) giveTo(w waiter) { r.state, r.givenTo = recordGiven, w }

// reserveFor sets the txn aside for a claimant: no other router gets the order to send from this replica.
func (r *record) reserveFor(w waiter) {
	r.contents = contentsReserved
	r.giveTo(w)
}

// waiter is a claimant that is told what becomes of an order.
type waiter struct {
	Incarnation
	claim uint64
}

// maxWaiters bounds the claimants that wait for one order.
const maxWaiters = 8

// ownerLease is the lease of a router whose orders this one holds.
type ownerLease struct {
	session         uint64 // the latest
	expiresAt       time.Duration
	lastLostSession uint64             // this session and those before it are lost
	openRecords     map[string]*record // that have not ended
}

// receiveStep takes what an owner tells of an order, or only that it lives.
func (c *Coordinator) receiveStep(now time.Duration, delivery messaging.Delivery, m message) {
	from := Incarnation{delivery.From, delivery.Process}
	lease := c.stored.owners[from]
	if lease == nil {
		lease = &ownerLease{openRecords: map[string]*record{}}
		c.stored.owners[from] = lease
	}
	switch {
	case m.Step == stepEnded:
		c.reply(delivery, reply{Kind: c.storeOutcome(now, from, lease, m)})
		return
	case m.Session <= lease.lastLostSession:
		c.reply(delivery, reply{Kind: replyLeaseLost})
		return
	}
	lease.session = max(lease.session, m.Session)
	lease.expiresAt = now + c.settings.withClockDrift(c.settings.LeaseDuration)
	answer := replyAcknowledged
	if m.Step != stepNone {
		answer = c.storeStep(now, from, lease, m)
	}
	c.reply(delivery, reply{Kind: answer})
}

// storeStep stores how far an open order has come.
func (c *Coordinator) storeStep(now time.Duration, from Incarnation, lease *ownerLease, m message) replyKind {
	state := recordStateOf(m.Step)
	r := c.stored.records[m.Txn]
	switch {
	case r == nil:
		if m.Order.Txn != m.Txn { // the record that this message builds on is no longer here
			return replyGivenAway
		}
		if r = c.newRecord(now, m.Txn); r == nil {
			c.counters.RecordsRejected++
			return replyFull
		}
		c.counters.RecordsStored++
	case r.owner == from && r.ownerDecides():
		if state > r.state {
			r.state, r.session = state, m.Session
			c.trace(m.Step.String()+eventStepStored, m.Txn, from.Name)
		}
		return replyAcknowledged
	case r.isGivenTo(from) && m.Order.Txn == m.Txn: // its new owner
	default:
		return replyGivenAway
	}
	r.order, r.contents = m.Order, contentsComplete
	r.owner, r.session, r.state = from, m.Session, state
	r.deadline = now + m.Order.TimeLeft
	r.forgetAt = r.deadline + c.settings.Retention
	lease.openRecords[m.Txn] = r
	c.trace(m.Step.String()+eventStepStored, m.Txn, from.Name)
	return replyAcknowledged
}

func recordStateOf(s step) recordState {
	switch s {
	case stepTransferable:
		return recordTransferable
	case stepMaySend:
		return recordMaySend
	}
	return recordOwnerOnly
}

// storeOutcome stores how an order ended.
func (c *Coordinator) storeOutcome(now time.Duration, from Incarnation, lease *ownerLease, m message) replyKind {
	r := c.stored.records[m.Txn]
	switch {
	case r == nil && m.Outcome.Kind == NeverRan && !c.certain(now):
		// It may have been here, passed on, and forgotten too early: its owner knows only that it did not send it.
		return replyGivenAway
	case r == nil:
		if r = c.newRecord(now, m.Txn); r == nil {
			c.uncertainUntil = now + c.settings.Retention
			return replyAcknowledged
		}
		r.owner = from
	case r.isGivenTo(from) && m.Outcome.Kind == NeverRan: // it gives the order back
		c.endRecord(now, r, m.Outcome)
		return replyAcknowledged
	case r.state == recordEnded && r.owner == from:
		// The owner was taken for lost, and knows better. But an order that was told as may have run must not run
		// later.
		if r.outcome.Kind == MayHaveRun && m.Outcome.Kind != NeverRan {
			c.endRecord(now, r, m.Outcome)
		}
		return replyAcknowledged
	case m.Session == 0: // it was given, begun there, and given back by mistake
		return replyAcknowledged
	case r.owner != from || !r.ownerDecides():
		return replyGivenAway
	}
	delete(lease.openRecords, m.Txn)
	c.endRecord(now, r, m.Outcome)
	return replyAcknowledged
}

// newRecord makes a record. If there are too many, it takes the place of the one that ended first; if none has ended,
// newRecord returns nil.
func (c *Coordinator) newRecord(now time.Duration, txn string) *record {
	for len(c.stored.records) >= c.settings.MaxRecords {
		if len(c.stored.ended) == 0 {
			return nil
		}
		oldest := c.stored.records[c.stored.ended[0]]
		if oldest != nil && oldest.state == recordEnded {
			if now < oldest.forgetAt {
				c.uncertainUntil = now + c.settings.Retention
			}
			delete(c.stored.records, c.stored.ended[0])
		}
		c.stored.ended = c.stored.ended[1:]
	}
	r := &record{order: Order{Txn: txn}, forgetAt: now + c.settings.Retention}
	c.stored.records[txn] = r
	return r
}

// endRecord ends a record, and tells its waiters. An order that never ran is given to the first of them.
func (c *Coordinator) endRecord(now time.Duration, r *record, outcome Outcome) {
	txn := r.order.Txn
	r.state, r.outcome, r.forgetAt = recordEnded, outcome, now+c.settings.Retention
	c.stored.ended = append(c.stored.ended, txn)
	c.trace(eventRecordEnded+outcome.Kind.String(), txn, "")
	waiters := r.waiters
	r.waiters = nil
	for _, w := range waiters {
		c.updateClaimant(now, txn, w, c.recordReply(now, r, w))
	}
}

// forgetOldRecords forgets records that are past their time.
func (c *Coordinator) forgetOldRecords(now time.Duration) {
	maps.DeleteFunc(c.stored.records, func(_ string, r *record) bool {
		if now < r.forgetAt {
			return false
		}
		if lease := c.stored.owners[r.owner]; lease != nil {
			delete(lease.openRecords, r.order.Txn)
		}
		return true
	})
	c.stored.ended = slices.DeleteFunc(c.stored.ended, func(txn string) bool { return c.stored.records[txn] == nil })
}

// checkOwnerLeases takes over the orders of owners whose lease has expired, and forgets owners without orders.
func (c *Coordinator) checkOwnerLeases(now time.Duration) {
	for _, owner := range slices.SortedFunc(maps.Keys(c.stored.owners), compareIncarnations) {
		lease := c.stored.owners[owner]
		switch {
		case now < lease.expiresAt:
		case len(lease.openRecords) > 0:
			c.takeOver(now, owner, lease)
		case now >= lease.expiresAt+c.settings.Retention:
			delete(c.stored.owners, owner)
		}
	}
}

func compareIncarnations(a, b Incarnation) int {
	return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(int64(a.Process-b.Process), 0))
}

// takeOver takes over the open orders of a router that has said nothing for a lease.
func (c *Coordinator) takeOver(now time.Duration, owner Incarnation, lease *ownerLease) {
	lease.lastLostSession = lease.session
	c.counters.OwnersLost++
	c.trace(eventOwnerLost, "", owner.Name)
	for _, txn := range slices.Sorted(maps.Keys(lease.openRecords)) {
		c.counters.OrdersTakenOver++
		c.takeOverRecord(now, owner, lease.openRecords[txn])
	}
	clear(lease.openRecords)
}

// takeOverRecord passes an order of a lost router on to the first claimant that waits for it, or runs it here.
func (c *Coordinator) takeOverRecord(now time.Duration, owner Incarnation, r *record) {
	switch r.state {
	case recordMaySend:
		c.endRecord(now, r, Outcome{Kind: MayHaveRun})
		return
	case recordOwnerOnly:
		r.state = recordBlocked
	default:
		r.state = recordOrphaned
	}
	r.owner = Incarnation{} // whatever its owner tells of it from now on is too late
	c.trace(eventOrphaned, r.order.Txn, owner.Name)
	if len(r.waiters) == 0 {
		c.runOrphan(now, r)
		return
	}
	first := r.waiters[0]
	r.waiters = r.waiters[1:]
	c.updateClaimant(now, r.order.Txn, first, c.recordReply(now, r, first))
}

// runOrphan runs an order without its client, if all of it is here and there is time for it. Else a claim may bring
// what is missing, or the order never runs.
func (c *Coordinator) runOrphan(now time.Duration, r *record) {
	if r.state != recordOrphaned || !r.order.BodyComplete || now >= r.deadline {
		return
	}
	r.state = recordRunning
	order := r.order
	order.TimeLeft = r.deadline - now
	c.counters.OrdersRun++
	c.trace(eventRunHere, order.Txn, "")
	c.addAction(Action{Kind: ActionRun, Txn: order.Txn, Order: order})
}

// recordReply is what a claimant that has shown to know a record's order is told of it. An order that may be passed
// on is given to the claimant by this reply.
func (c *Coordinator) recordReply(now time.Duration, r *record, w waiter) reply {
	switch r.state {
	case recordOwnerOnly, recordTransferable, recordMaySend, recordRunning:
		return addWaiter(&r.waiters, w)
	case recordBlocked:
		r.reserveFor(w)
		return c.unknownReply(now)
	case recordGiven:
		switch {
		case r.givenTo != w:
			return reply{Kind: replyElsewhere}
		case r.contents == contentsReserved:
			return c.unknownReply(now)
		}
		return reply{Kind: replyRun}
	case recordEnded:
		switch r.outcome.Kind {
		case MayHaveRun:
			return reply{Kind: replyMayHaveRun}
		case Served, Failed:
			return reply{Kind: replyOutcome, Outcome: r.outcome}
		}
	}
	r.giveTo(w)
	c.counters.OrdersGiven++
	c.trace(eventGiven, r.order.Txn, w.Name)
	return reply{Kind: replyRun}
}

// unknownReply says that nothing is known of an order, and whether that is certain.
func (c *Coordinator) unknownReply(now time.Duration) reply {
	return reply{Kind: replyUnknown, Certain: c.certain(now)}
}

// addWaiter has a claimant wait for what becomes of an order.
func addWaiter(waiters *[]waiter, w waiter) reply {
	if !slices.Contains(*waiters, w) {
		if len(*waiters) >= maxWaiters {
			return reply{Kind: replyElsewhere}
		}
		*waiters = append(*waiters, w)
	}
	return reply{Kind: replyPending}
}

// certain tells whether this router would know of an order if any process of it had held a record of it: all clients
// from before its start have given up, and nothing was forgotten early.
func (c *Coordinator) certain(now time.Duration) bool {
	upLongEnough := c.startedAt > 0 && now >= c.startedAt+c.settings.withClockDrift(c.settings.MaxClientWait)
	return upLongEnough && now >= c.uncertainUntil
}
