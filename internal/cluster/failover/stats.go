package failover

// Counters count what has happened since the start, for operators.
type Counters struct {
	OrdersReplicated     uint64 // orders taken from clients
	OrdersWithoutReplica uint64 // orders rejected as no replica held them
	LeasesLost           uint64 // orders given up as another router may have them
	RecordsStored        uint64 // records of other routers' orders
	RecordsRejected      uint64 // records rejected for want of room
	OwnersLost           uint64 // routers whose lease expired with open orders
	OrdersTakenOver      uint64 // open orders of these routers
	OrdersRun            uint64 // orders of these routers that were run here without their client
	Claims               uint64 // claims of clients
	ClaimsAnswered       uint64 // claims answered with the order's outcome
	OrdersGiven          uint64 // orders given to a claimant to run
	ClaimsOfUnsent       uint64 // claims of orders that surely were never sent
	ClaimsMayHaveRun     uint64 // claims answered with "may have run"
}

// Stats are the counters and what the router holds now.
type Stats struct {
	Counters
	Replica    string // of new orders; empty: none
	OpenOrders int    // of this router's clients, and those that have ended but are not forgotten
	Records    int    // of other routers' orders
	Owners     int    // of these records
	OpenClaims int
	MaxQueued  int // messages in flight to the peer that has most of them
}

// Stats returns the counters and what the router holds now.
func (c *Coordinator) Stats() Stats {
	stats := Stats{
		Counters:   c.counters,
		OpenOrders: len(c.owned.orders),
		Records:    len(c.stored.records),
		Owners:     len(c.stored.owners),
		OpenClaims: len(c.claims),
		MaxQueued:  c.messenger.MaxQueued(),
	}
	if c.owned.session != nil {
		stats.Replica = c.owned.session.replica
	}
	return stats
}
