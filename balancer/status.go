package balancer

import "time"

// This file reports the state of a balancer. It makes no decisions and changes no state.

// CacheCounts returns the number of listed caches in all zones, and the number of those that get no ordinary attempts
// now because they are draining or ejected.
func (b *Balancer) CacheCounts() (listed, avoided int) {
	return b.endpoints.cachesListed, b.endpoints.cachesAvoided
}

// VisitHealth calls visit for each listed endpoint, in no particular order, with the number of its consecutive failures
// and the time of its latest response.
func (b *Balancer) VisitHealth(visit func(id EndpointID, consecutiveFailures int, lastResponse time.Duration)) {
	for id, e := range b.endpoints.byID {
		if e.state != Removed {
			visit(id, e.health.consecutiveFailures, e.health.lastResponse)
		}
	}
}
