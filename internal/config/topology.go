package config

import (
	"fmt"
	"slices"

	"hillknot/balancer"
	"hillknot/internal/jsonfields"
)

const (
	maxRoutersPerZone = 100_000 // more is a typing error

	targetConnsPerEndpoint = 16 // that the routers of a zone hold to one endpoint together, about
	maxConnsPerEndpoint    = 4  // that one router holds to an endpoint
)

// validateTopology checks the number of routers and the links of each zone. A wrong figure would not show in one router: all of
// them together would ask too much of page caches and links, or too little.
func validateTopology(o jsonfields.Object, s balancer.Settings) {
	specifics := o.Object("specifics")
	specifics.Require("instancesByZone")
	if !validateRouters(specifics, s.Topology) {
		return
	}
	if n := len(s.LinkKBps); n > 0 && n != len(s.Topology.Zones) {
		specifics.Fail("pipeKbPerS", fmt.Sprintf("holds %d figures for %d locations", n, len(s.Topology.Zones)))
	}
	if s.PaceKBps < 0 {
		specifics.Fail("paceKbPerS", "is under 0")
	}
	for _, rate := range s.LinkKBps {
		if rate < 0 {
			specifics.Fail("pipeKbPerS", "holds a figure under 0")
		}
	}
}

// validateRouters checks the number of routers of each zone. It returns false where there is nothing to check the
// links against.
func validateRouters(specifics jsonfields.Object, t balancer.Topology) bool {
	const key = "instancesByZone"
	own := slices.Index(t.Zones, t.Zone)
	switch {
	case own < 0 || !specifics.Has(key): // reported elsewhere
		return false
	case len(t.RoutersPerZone) != len(t.Zones):
		specifics.Fail(key, fmt.Sprintf("holds %d figures for %d locations", len(t.RoutersPerZone), len(t.Zones)))
		return false
	case t.RoutersPerZone[own] < 1:
		specifics.Fail(key, "holds no router for the own location")
	}
	for _, n := range t.RoutersPerZone {
		if n < 0 || n > maxRoutersPerZone {
			specifics.Fail(key, fmt.Sprintf("holds %d, which is out of range (0 to %d)", n, maxRoutersPerZone))
		}
	}
	return true
}

// connsPerEndpoint shares the connections that an endpoint is to hold among the routers of the zone; 0 where the topology
// is not valid.
func connsPerEndpoint(t balancer.Topology) int {
	own := slices.Index(t.Zones, t.Zone)
	if own < 0 || own >= len(t.RoutersPerZone) {
		return 0
	}
	return max(1, min(maxConnsPerEndpoint, targetConnsPerEndpoint/max(1, t.RoutersPerZone[own])))
}
