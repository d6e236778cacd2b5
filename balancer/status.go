package balancer

import "time"

// What the module tells of itself. Nothing here decides or changes anything.

// CacheCounts returns how many caches are listed, in all zones, and how many of these get no ordinary attempts now,
// because they are draining or ejected.
func (b *Balancer) CacheCounts() (listed, avoided int) {
	return b.endpoints.cachesListed, b.endpoints.cachesAvoided
}

// VisitHealth calls visit for each listed endpoint, in no set order, with the number of its failures in a row and
// the time of its latest response.
func (b *Balancer) VisitHealth(visit func(id EndpointID, consecutiveFailures int, lastResponse time.Duration)) {
	for id, e := range b.endpoints.byID {
		if e.state != Removed {
			visit(id, e.health.consecutiveFailures, e.health.lastResponse)
		}
	}
}
