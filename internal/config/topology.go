package config

import (
	"fmt"
	"slices"

	"hillknot/balancer"
	"hillknot/internal/jsonfields"
)

const (
	maxRoutersPerZone = 100_000 // a larger number is a typing error

	targetConnsPerEndpoint = 16 // approximate number that all routers of a zone together hold to an endpoint
	maxConnsPerEndpoint    = 4  // that one router holds to an endpoint
)

// validateTopology checks the number of routers and the links of each zone. A wrong number would not show in a single
// router, but all routers together would put too much load on page caches and links, or too little.
func validateTopology(o jsonfields.Object, s balancer.Settings) {
	specifics := o.Object("specifics")
	specifics.Require("instancesByZone")
	if !validateRouters(specifics, s.Topology) {
		return
	}
	if n := len(s.LinkKBps); n > 0 && n != len(s.Topology.Zones) {
		specifics.Fail("pipeKbPerS", fmt.Sprintf("holds %d numbers for %d zones", n, len(s.Topology.Zones)))
	}
	if s.PaceKBps < 0 {
		specifics.Fail("paceKbPerS", "is below 0")
	}
	for _, rate := range s.LinkKBps {
		if rate < 0 {
			specifics.Fail("pipeKbPerS", "holds a number below 0")
		}
	}
}

// validateRouters checks the number of routers of each zone. It reports whether the zones are known well enough to check
// the links too.
func validateRouters(specifics jsonfields.Object, t balancer.Topology) bool {
	const key = "instancesByZone"
	own := slices.Index(t.Zones, t.Zone)
	switch {
	case own < 0 || !specifics.Has(key): // another check reports it
		return false
	case len(t.RoutersPerZone) != len(t.Zones):
		specifics.Fail(key, fmt.Sprintf("holds %d numbers for %d zones", len(t.RoutersPerZone), len(t.Zones)))
		return false
	case t.RoutersPerZone[own] < 1:
		specifics.Fail(key, "holds no router for the zone of this router")
	}
	for _, n := range t.RoutersPerZone {
		if n < 0 || n > maxRoutersPerZone {
			specifics.Fail(key, fmt.Sprintf("holds %d, which is out of range (0 to %d)", n, maxRoutersPerZone))
		}
	}
	return true
}

// connsPerEndpoint returns how many connections this router holds to an endpoint: its share of targetConnsPerEndpoint, at
// least 1 and at most maxConnsPerEndpoint. It returns 0 if the topology is not valid.
func connsPerEndpoint(t balancer.Topology) int {
	own := slices.Index(t.Zones, t.Zone)
	if own < 0 || own >= len(t.RoutersPerZone) {
		return 0
	}
	return max(1, min(maxConnsPerEndpoint, targetConnsPerEndpoint/max(1, t.RoutersPerZone[own])))
}
