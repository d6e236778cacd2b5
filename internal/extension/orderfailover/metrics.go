package orderfailover

import (
	"hillknot/internal/cluster/failover"
	"hillknot/internal/core"
)

// metrics returns the statistics of a coordinator as metrics, under their published names.
func metrics(s failover.Stats) []core.Metric {
	counter := func(name, help string, value uint64) core.Metric {
		return core.Metric{Name: name, Help: help, Value: value, Counter: true}
	}
	gauge := func(name, help string, value int) core.Metric {
		return core.Metric{Name: name, Help: help, Value: uint64(value)}
	}
	return []core.Metric{
		counter("hand_orders", "Orders taken and kept by another router.", s.OrdersReplicated),
		counter("hand_unkept", "Orders refused, as no router kept them.", s.OrdersWithoutReplica),
		counter("hand_rights_lost", "Orders given up, as another router may have them.", s.LeasesLost),
		counter("hand_records", "Records taken for other routers.", s.RecordsStored),
		counter("hand_full", "Records turned away for want of room.", s.RecordsRejected),
		counter("hand_owners_lost", "Routers whose orders this one took over.", s.OwnersLost),
		counter("hand_taken_over", "Orders of lost routers.", s.OrdersTakenOver),
		counter("hand_ran", "Orders of lost routers run here without their client.", s.OrdersRun),
		counter("hand_claims", "Claims of clients that lost a router.", s.Claims),
		counter("hand_claims_answered", "Claims answered with what became of the order.", s.ClaimsAnswered),
		counter("hand_given", "Orders of lost routers given to a claimant.", s.OrdersGiven),
		counter("hand_claims_unknown", "Claims of orders that surely never went out.", s.ClaimsOfUnsent),
		counter("hand_claims_may_have_run", "Claims told that the order may have run.", s.ClaimsMayHaveRun),
		gauge("hand_kept", "Records held for other routers.", s.Records),
		gauge("hand_waiting", "Parcels under way to the router to which most are.", s.MaxQueued),
	}
}
