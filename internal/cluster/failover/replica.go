package failover

import (
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
// so if all clients from before this process joined the cluster, when an earlier process may still have stored records, have given
// up, and nothing that may still be claimed was forgotten early.
func (c *Coordinator) certain(now time.Duration) bool {
	joinedLongAgo := c.joinedAt > 0 && now >= c.joinedAt+c.settings.withClockDrift(c.settings.MaxClientWait)
	return joinedLongAgo && now >= c.uncertainUntil
}
