package balancer

import "time"

// CacheCounts counts the page caches on the list and, of these, those that get no ordinary work now: what drains,
// and what is held to be bad. It decides and changes nothing.
func (b *Balancer) CacheCounts() (listed, avoided int) { return b.targets, b.avoided }

// tally counts a member for CacheCounts, or takes it out of the counts.
func (b *Balancer) tally(m *member, sign int) {
	if m.role != cache {
		return
	}
	b.targets += sign
	if m.bad || !b.inService(m) {
		b.avoided += sign
	}
}

// VisitHealth tells, of each member on the list, how many failures in a row were seen and when the latest sign of life came.
func (b *Balancer) VisitHealth(tell func(n EndpointID, fails int, sign time.Duration)) {
	for id, m := range b.members {
		if m.state != Removed {
			tell(id, m.fails, m.sign)
		}
	}
}
