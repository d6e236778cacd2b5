package failover

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"hillknot/internal/cluster/messaging"
)

// storedRecords holds what this router knows as a replica: records of other routers' orders, and the leases of the
// orders' owners.
type storedRecords struct {
	records map[string]*record // by txn
	ended   []string           // txns of records that have ended, oldest first
	owners  map[Incarnation]*ownerLease
}

// recordState is the state of a record.
type recordState uint8

const (
	recordOwnerOnly    recordState = iota // the owner may use another replica by now
	recordTransferable                    // this replica may pass it on if the owner is lost
	recordMaySend                         // the owner may send the order; no other router ever may
	recordBlocked                         // it was recordOwnerOnly, and the owner is lost: this replica never lets the order be sent
	recordOrphaned                        // it was recordTransferable, and the owner is lost: one router may run the order
	recordGiven                           // one claimant has the order
	recordRunning                         // this router runs the order
	recordEnded                           // the outcome is known
)

// recordContents says how much of its order a record holds.
type recordContents uint8

const (
	contentsUnknown  recordContents = iota // the txn, the owner and the outcome, but not the order itself
	contentsComplete                       // the order, as its owner sent it
	contentsReserved                       // only the txn, reserved for a claimant: no owner can store the order here
)

// record is a replica's knowledge of one order.
type record struct {
	order    Order
	contents recordContents
	owner    Incarnation
	session  uint64
	state    recordState
	deadline time.Duration // when the client gives up
	forgetAt time.Duration
	outcome  Outcome // of recordEnded
	waiters  []waiter
	givenTo  waiter // of recordGiven
}

// ownerDecides reports whether the owner still decides who may run the order.
func (r *record) ownerDecides() bool { return r.state <= recordMaySend }

// isGivenTo reports whether the order was given to a claimant in that process.
func (r *record) isGivenTo(claimant Incarnation) bool {
	return r.state == recordGiven && r.givenTo.Incarnation == claimant
}

// giveTo gives the order to a claimant, or only its txn if the contents are contentsReserved.
func (r *record) giveTo(w waiter) { r.state, r.givenTo = recordGiven, w }

// reserveFor reserves the txn for a claimant. From then on no other router can get permission to send the order from this
// replica.
func (r *record) reserveFor(w waiter) {
	r.contents = contentsReserved
	r.giveTo(w)
}

// waiter identifies a claim whose claimant gets an update about an order.
type waiter struct {
	Incarnation        // of the claimant
	claim       uint64 // the claim's number at the claimant
}

// maxWaiters bounds the claimants that wait for one order.
const maxWaiters = 8

// ownerLease is the lease of a router whose orders this router holds records of.
type ownerLease struct {
	session         uint64 // the latest session that the owner has used
	expiresAt       time.Duration
	lastLostSession uint64             // sessions up to this number are lost
	openRecords     map[string]*record // records that have not ended, by txn
}

// receiveStep handles a step of an order, or a renewal of a lease, from an owner. It renews the owner's lease unless the
// step is the end of an order or the session is lost.
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

// storeStep stores a step of an order that has not ended, and returns the kind of the reply.
func (c *Coordinator) storeStep(now time.Duration, from Incarnation, lease *ownerLease, m message) replyKind {
	state := recordStateOf(m.Step)
	r := c.stored.records[m.Txn]
	switch {
	case r == nil:
		if m.Order.Txn != m.Txn { // the record that the step refers to is no longer here
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
	case r.isGivenTo(from) && m.Order.Txn == m.Txn: // the claimant is the new owner
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

// storeOutcome stores the outcome of an order, and returns the kind of the reply.
func (c *Coordinator) storeOutcome(now time.Duration, from Incarnation, lease *ownerLease, m message) replyKind {
	r := c.stored.records[m.Txn]
	switch {
	case r == nil && m.Outcome.Kind == NeverRan && !c.certain(now):
		// This replica may have passed the order on and forgotten its record too early. The owner only knows that it
		// did not send the order itself.
		return replyGivenAway
	case r == nil:
		if r = c.newRecord(now, m.Txn); r == nil {
			c.uncertainUntil = now + c.settings.Retention
			return replyAcknowledged
		}
		r.owner = from
	case r.isGivenTo(from) && m.Outcome.Kind == NeverRan: // the claimant returns the order
		c.endRecord(now, r, m.Outcome)
		return replyAcknowledged
	case r.state == recordEnded && r.owner == from:
		// This replica considered the owner lost, but the owner knows the outcome for certain. However, an order that was
		// reported as MayHaveRun must not run later, so NeverRan is not stored.
		if r.outcome.Kind == MayHaveRun && m.Outcome.Kind != NeverRan {
			c.endRecord(now, r, m.Outcome)
		}
		return replyAcknowledged
	case m.Session == 0: // the order was given, begun there, and returned by mistake
		return replyAcknowledged
	case r.owner != from || !r.ownerDecides():
		return replyGivenAway
	}
	delete(lease.openRecords, m.Txn)
	c.endRecord(now, r, m.Outcome)
	return replyAcknowledged
}

// newRecord adds an empty record. If there are Settings.MaxRecords already, the one that ended first is removed; if none
// has ended, newRecord returns nil.
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

// endRecord stores the outcome of a record and sends it to the waiters. An order that never ran is given to the first
// waiter.
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

// forgetOldRecords removes the records whose forgetAt has come.
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

// checkOwnerLeases takes over the orders of owners whose lease has expired. It forgets an owner without open orders once
// its lease expired at least Settings.Retention ago.
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

// takeOver takes over the open orders of an owner whose lease has expired.
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

// takeOverRecord passes an order of a lost owner on to the first waiting claimant, or has it run here if no claimant
// waits. An order that the owner may have sent ends as MayHaveRun, and one that the owner may have replicated elsewhere is
// blocked here.
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
	r.owner = Incarnation{} // from now on messages of the lost owner about the order are rejected
	c.trace(eventOrphaned, r.order.Txn, owner.Name)
	if len(r.waiters) == 0 {
		c.runOrphan(now, r)
		return
	}
	first := r.waiters[0]
	r.waiters = r.waiters[1:]
	c.updateClaimant(now, r.order.Txn, first, c.recordReply(now, r, first))
}

// runOrphan has the caller run an orphaned order without its client, if its body is here and its deadline has not passed.
// Otherwise the order waits for a claim, which may bring the missing body; without a claim it never runs.
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

// recordReply returns the reply to a claimant of a record's order. The claimant's digest must match the order, unless the
// record only reserves the txn. If the order may be passed on, the reply gives it to the claimant.
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

// unknownReply returns the reply that nothing is known of an order, and whether that is certain.
func (c *Coordinator) unknownReply(now time.Duration) reply {
	return reply{Kind: replyUnknown, Certain: c.certain(now)}
}

// addWaiter adds a claimant that waits for an update about an order, and returns the reply to the claimant. If there are
// maxWaiters already, the claimant is not added and the reply is replyElsewhere.
func addWaiter(waiters *[]waiter, w waiter) reply {
	if !slices.Contains(*waiters, w) {
		if len(*waiters) >= maxWaiters {
			return reply{Kind: replyElsewhere}
		}
		*waiters = append(*waiters, w)
	}
	return reply{Kind: replyPending}
}

// certain reports whether this router would know of an order if any of its processes had ever held a record of it. That is
// so if all clients from before the start of this process have given up, and nothing that may still be claimed was
// forgotten early.
func (c *Coordinator) certain(now time.Duration) bool {
	upLongEnough := c.startedAt > 0 && now >= c.startedAt+c.settings.withClockDrift(c.settings.MaxClientWait)
	return upLongEnough && now >= c.uncertainUntil
}
