package balancer

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// This file implements slow start: it limits what an endpoint that has started lately is sent, in proportion to the usual
// load.

// recordLoad adds calls that a role has served for this router to the role's usual load. It counts calls by class,
// because the service times of classes are still being learned. The calls that clients request would be a wrong measure,
// as clients retry what was never served.
func (b *Balancer) recordLoad(loadRole role, c *class, calls float64) {
	l := &b.load[loadRole]
	elapsed := (b.now - l.updatedAt).Seconds()
	l.rate.setScaled(l.rate, math.Exp(-elapsed/usualLoadWindow.Seconds()))
	l.peak.setScaled(l.peak, math.Exp(-elapsed/peakLoadWindow.Seconds()))
	l.rate[c.index] += calls / usualLoadWindow.Seconds()
	if filledPart := b.windowFilled(); b.classes.serviceTime(l.rate) > filledPart*b.classes.serviceTime(l.peak) {
		l.peak.setScaled(l.rate, 1/filledPart)
	}
	l.updatedAt = b.now
}

// windowFilled returns the part of usualLoadWindow that this router has observed. It returns 1 for a very young router:
// what that one has observed depends more on chance than on the load.
func (b *Balancer) windowFilled() float64 {
	age := b.now - b.requests.firstAt
	if age < usualLoadWindow/4 {
		return 1
	}
	return 1 - math.Exp(-age.Seconds()/usualLoadWindow.Seconds())
}

// isWarmingUp reports whether the slow-start rule limits what an endpoint is sent.
func (b *Balancer) isWarmingUp(e *endpoint) bool {
	rule := &b.slowStart[e.role]
	return e.startedAt > 0 && b.now-e.startedAt < rule.WarmUpTime && rule.OverloadWindow > 0
}

// withinWarmUpBudget reports whether the slow-start rule allows a request at an endpoint. It updates the endpoint's
// budget. Each router regards the usual load that it sends to a warmed-up endpoint as its part of that endpoint's
// capacity. To an endpoint in slow start it may send the rule's multiple of that part, scaled by how far the endpoint has
// warmed up. Unused budget accumulates from the time at which the start was learned, up to a part of the overload window
// or one request, whichever is more. It starts at zero because, where many routers see few requests each, all their
// first requests must not come at once.
func (b *Balancer) withinWarmUpBudget(e *endpoint, r *request) bool {
	if !b.isWarmingUp(e) {
		return true
	}
	usual := b.usualLoad(e)
	if r.leaseLoad > 0 {
		return r.leaseLoad <= b.warmUpRate(e, usual, b.now)
	}
	window := b.slowStart[e.role].OverloadWindow.Seconds()
	maxBudget := max(b.warmUpRate(e, usual, b.now)*window*warmUpBurstFactor, b.classes.largestServiceTime())
	meanRate := b.warmUpRate(e, usual, (e.warmUp.budgetAt+b.now)/2) // since budgetAt, as the rate rises linearly
	e.warmUp.budget = min(e.warmUp.budget+meanRate*(b.now-e.warmUp.budgetAt).Seconds(), maxBudget)
	e.warmUp.budgetAt = b.now
	return e.warmUp.budget >= min(r.class.serviceTime, maxBudget) && b.settings.ClusterState.AdmitWarmingUp(b.now, e.id)
}

// usualLoad returns the usual load of an endpoint's role, in seconds of service time per second. For a router younger
// than usualLoadWindow it is at least a part of the load that clients request, but of that at most what the endpoints'
// links carry.
func (b *Balancer) usualLoad(e *endpoint) float64 {
	usual := b.classes.serviceTime(b.load[e.role].peak)
	if b.now-b.requests.firstAt < usualLoadWindow {
		peak := b.endpoints.peakCapacity[e.role]
		maxLoad := cmp.Or(e.concurrencyLimit/cacheLimitFactor*peak/b.capacityOf(e), math.Inf(1))
		usual = max(usual, initialLoadFactor*min(b.classes.serviceTime(b.load[roleClient].peak), maxLoad))
	}
	return usual
}

// warmUpRate returns the load that an endpoint in slow start may be sent at a time, in seconds of service time per
// second, according to how far it has warmed up by then, less the load of the clients of resolvers with a lease.
func (b *Balancer) warmUpRate(e *endpoint, usual float64, at time.Duration) float64 {
	rule, capacity := &b.slowStart[e.role], b.capacityOf(e)
	warmFraction := rule.InitialCapacity + (1-rule.InitialCapacity)*float64(max(at-e.startedAt, 0))/float64(rule.WarmUpTime)
	rate := warmUpBudgetFactor * rule.OverloadFactor * warmFraction * usual * capacity /
		max(b.endpoints.peakCapacity[e.role], capacity)
	e.warmUp.leases = slices.DeleteFunc(e.warmUp.leases, func(l resolverLease) bool { return b.now >= l.until })
	for _, l := range e.warmUp.leases {
		rate -= l.load
	}
	return max(rate, 0)
}

// capacityOf returns the capacity of an endpoint relative to its peers: its listed weight where weights are capacities,
// else 1.
func (b *Balancer) capacityOf(e *endpoint) float64 {
	if b.settings.StaticWeights && e.weight > 0 {
		return e.weight
	}
	return 1
}
