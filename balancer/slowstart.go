package balancer

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Slow start: what an endpoint that has started lately may be sent, measured by the usual load.

// recordLoad takes calls that a role has served for us into its usual load, by class: their service times are
// learned by and by. Calls that clients ask for would not do, as they ask again for what was never served.
func (b *Balancer) recordLoad(of role, c *class, calls float64) {
	l := &b.load[of]
	dt := (b.now - l.updatedAt).Seconds()
	l.rate.setScaled(l.rate, math.Exp(-dt/usualLoadWindow.Seconds()))
	l.peak.setScaled(l.peak, math.Exp(-dt/peakLoadWindow.Seconds()))
	l.rate[c.index] += calls / usualLoadWindow.Seconds()
	if filled := b.windowFilled(); b.classes.serviceTime(l.rate) > filled*b.classes.serviceTime(l.peak) {
		l.peak.setScaled(l.rate, 1/filled)
	}
	l.updatedAt = b.now
}

// windowFilled is the part of usualLoadWindow that this router has seen. A very young router counts as an old one:
// what it has seen says more of chance than of the load.
func (b *Balancer) windowFilled() float64 {
	age := b.now - b.requests.firstAt
	if age < usualLoadWindow/4 {
		return 1
	}
	return 1 - math.Exp(-age.Seconds()/usualLoadWindow.Seconds())
}

// isWarmingUp tells whether the slow-start rule bounds what an endpoint is sent.
func (b *Balancer) isWarmingUp(e *endpoint) bool {
	rule := &b.slowStart[e.role]
	return e.startedAt > 0 && b.now-e.startedAt < rule.WarmUpTime && rule.OverloadWindow > 0
}

// withinWarmUpBudget keeps the slow-start rule. Each router takes the usual load that it sends to a warmed-up
// endpoint for its part of what that one can serve, and may send one in slow start the rule's multiple of that
// part, as far as it has warmed up. What is not used is saved from when its start was learned, for part of the
// overload window, or for one request: where many routers see few requests each, all their first ones must not come
// at once.
func (b *Balancer) withinWarmUpBudget(e *endpoint, r *request) bool {
	if !b.isWarmingUp(e) {
		return true
	}
	usual := b.usualLoad(e)
	if r.leaseLoad > 0 {
		return r.leaseLoad <= b.warmUpRate(e, usual, b.now)
	}
	window := b.slowStart[e.role].OverloadWindow.Seconds()
	most := max(b.warmUpRate(e, usual, b.now)*window*warmUpBurstFactor, b.classes.largestServiceTime())
	mean := b.warmUpRate(e, usual, (e.warmUp.budgetAt+b.now)/2) // since budgetAt: the rate rises in a line
	e.warmUp.budget = min(e.warmUp.budget+mean*(b.now-e.warmUp.budgetAt).Seconds(), most)
	e.warmUp.budgetAt = b.now
	return e.warmUp.budget >= min(r.class.serviceTime, most) && b.settings.ClusterState.AdmitWarmingUp(b.now, e.id)
}

// usualLoad is the usual load of an endpoint's role, in seconds of service time per second. A young router takes
// part of what clients ask it for instead, at most what the endpoints' links carry.
func (b *Balancer) usualLoad(e *endpoint) float64 {
	usual := b.classes.serviceTime(b.load[e.role].peak)
	if b.now-b.requests.firstAt < usualLoadWindow {
		peak := b.endpoints.peakCapacity[e.role]
		most := cmp.Or(e.concurrencyLimit/cacheLimitFactor*peak/b.capacityOf(e), math.Inf(1))
		usual = max(usual, initialLoadFactor*min(b.classes.serviceTime(b.load[roleClient].peak), most))
	}
	return usual
}

// warmUpRate is the load that an endpoint in slow start may be sent, as far as it has warmed up at a time, less what
// resolvers' clients send it.
func (b *Balancer) warmUpRate(e *endpoint, usual float64, at time.Duration) float64 {
	rule, capacity := &b.slowStart[e.role], b.capacityOf(e)
	warm := rule.InitialCapacity + (1-rule.InitialCapacity)*float64(max(at-e.startedAt, 0))/float64(rule.WarmUpTime)
	rate := warmUpBudgetFactor * rule.OverloadFactor * warm * usual * capacity /
		max(b.endpoints.peakCapacity[e.role], capacity)
	e.warmUp.leases = slices.DeleteFunc(e.warmUp.leases, func(l resolverLease) bool { return b.now >= l.until })
	for _, l := range e.warmUp.leases {
		rate -= l.load
	}
	return max(rate, 0)
}

// capacityOf is what an endpoint counts for among its peers: its listed weight where weights are capacities, else 1.
func (b *Balancer) capacityOf(e *endpoint) float64 {
	if b.settings.StaticWeights && e.weight > 0 {
		return e.weight
	}
	return 1
}
