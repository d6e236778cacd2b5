package balancer

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Slow start: what a member that has started lately may be sent.

// recordLoad keeps the mean of the calls that a role served for us, and its highest of late, by class: their work
// is learned by and by. Calls asked for would not do: clients ask again for what was never carried.
func (b *Balancer) recordLoad(ro role, c *class, calls float64) {
	l := &b.load[ro]
	dt, part := (b.now - l.at).Seconds(), 1.0
	l.rate.set(l.rate, math.Exp(-dt/usualOver.Seconds()))
	l.peak.set(l.peak, math.Exp(-dt/peakOver.Seconds()))
	l.rate[c.place] += calls / usualOver.Seconds()
	if age := b.now - b.born; age >= usualOver/4 { // over less, chance says more than the load
		part -= math.Exp(-age.Seconds() / usualOver.Seconds())
	}
	if b.work(l.rate) > part*b.work(l.peak) {
		l.peak.set(l.rate, 1/part)
	}
	l.at = b.now
}

// cold tells whether the fail-back rule bounds what a member is sent.
func (b *Balancer) cold(m *member) bool {
	c := b.rules[m.role]
	return m.start > 0 && b.now-m.start < c.WarmUpTime && c.OverloadWindow > 0
}

// withinBudget keeps the fail-back rule alone. Each router takes the usual load that it sends to a warm
// member for its part of what that one can do, and may send a cold one the rule's multiple of that part, as
// far as it has warmed. What is not used is saved up from the moment of being told of the start, for part of
// a window, or for one request: where many routers see little each, all their firsts must not come at once.
func (b *Balancer) withinBudget(m *member, r *request) bool {
	if !b.cold(m) {
		return true
	}
	c, usual := b.rules[m.role], b.work(b.load[m.role].peak)
	if b.now-b.born < usualOver { // nothing seen yet: part of what is asked for, and of what links carry
		most := cmp.Or(m.limit/cacheShare*b.fleet[m.role]/b.sizeOf(m), math.Inf(1))
		usual = max(usual, coldGuess*min(b.work(b.load[other].peak), most))
	}
	if r.lease > 0 {
		return r.lease <= b.coldRate(m, usual, b.now)
	}
	most := max(b.coldRate(m, usual, b.now)*c.OverloadWindow.Seconds()*savedMost, b.largest())
	mean := b.coldRate(m, usual, (m.savedAt+b.now)/2) // the rate rises in a line
	m.saved = min(m.saved+mean*(b.now-m.savedAt).Seconds(), most)
	m.savedAt = b.now
	return m.saved >= min(r.class.work, most) && b.s.Coordinator.AdmitWarmingUp(b.now, m.id)
}

// coldRate is the work that a cold member may be sent each second, as far as it has warmed at a time, less what resolvers hold
// of it.
func (b *Balancer) coldRate(m *member, usual float64, at time.Duration) float64 {
	c, w := b.rules[m.role], b.sizeOf(m)
	share := c.InitialCapacity + (1-c.InitialCapacity)*float64(max(at-m.start, 0))/float64(c.WarmUpTime)
	rate := budgetSlack * c.OverloadFactor * share * usual * w / max(b.fleet[m.role], w)
	m.leases = slices.DeleteFunc(m.leases, func(l lease) bool { return b.now >= l.until })
	for _, l := range m.leases {
		rate -= l.load
	}
	return max(rate, 0)
}

// sizeOf is what counts of a member in its fleet.
func (b *Balancer) sizeOf(m *member) float64 {
	if b.s.StaticWeights && m.weight > 0 {
		return m.weight
	}
	return 1
}
