package failover

// Counters counts events since the coordinator was created, for operators.
type Counters struct {
	OrdersReplicated     uint64 // orders accepted to be replicated
	OrdersWithoutReplica uint64 // orders rejected because no replica held them
	LeasesLost           uint64 // orders given up because another router may have them
	RecordsStored        uint64 // records stored of other routers' orders
	RecordsRejected      uint64 // records rejected because there was no room
	OwnersLost           uint64 // owners whose lease expired while they had open orders
	OrdersTakenOver      uint64 // open orders of lost owners
	OrdersRun            uint64 // orders of lost owners that were run here without their clients
	Claims               uint64 // claims that clients made here
	ClaimsAnswered       uint64 // claims answered with the order's outcome
	OrdersGiven          uint64 // orders given to a claimant to run
	ClaimsOfUnsent       uint64 // claims of orders that were certainly never sent
	ClaimsMayHaveRun     uint64 // claims answered with "may have run"
}

// Stats holds the counters and the present size of the coordinator's state.
type Stats struct {
	Counters
	Replica     string // replica of new orders; empty: none
	OwnedOrders int    // orders that this router owns, including ended ones that it has not forgotten yet
	Records     int    // records of other routers' orders
	Owners      int    // routers that own these records
	OpenClaims  int    // claims that are not settled
	MaxQueued   int    // number of messages in flight to the peer with the most of them
}

// Stats returns the counters and the present size of the coordinator's state.
func (c *Coordinator) Stats() Stats {
	stats := Stats{
		Counters:    c.counters,
		OwnedOrders: len(c.owned.orders),
		Records:     len(c.stored.records),
		Owners:      len(c.stored.owners),
		OpenClaims:  len(c.claims),
		MaxQueued:   c.messenger.MaxQueued(),
	}
	if c.owned.session != nil {
		stats.Replica = c.owned.session.replica
	}
	return stats
}
