package failover

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// This file takes over the orders of an owner that is lost: its lease at this replica has expired.

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
