package balancer

import (
	"math"
	"slices"
)

// Admission control: how many own attempts may be in flight at a cache and on the zone's link for fills.

// newLinkUse bounds the own transfers on the zone's link. Without a bound, fills jam after a mass purge, a cold
// return or in a burst: they share the link until all are late. Over the bound, hits are still served. Where the
// link's capacity is known it sets the bound, else the bound is learned. Routers that share the link get a part
// each, with a margin for the variance of small numbers: while one has more to fill than its part, others have
// less.
func (b *Balancer) newLinkUse() linkUse {
	limit, maxFactor, utilization := defaultLimit, maxLearnedFactor, learnedLinkUtilization
	if transfers := b.linkTransfers(); transfers > 0 {
		limit, maxFactor, utilization = linkLimitFactor*transfers, 1, knownLinkUtilization
	}
	own := limit / b.routersInZone()
	own += varianceFactor * math.Sqrt(own*(1-1/b.routersInZone()))
	return linkUse{limit: max(minLimit, own), maxLimit: max(minLimit, maxFactor*own), utilization: utilization}
}

// linkTransfers is how many transfers the zone's link carries at full speed; 0 where that is unknown.
func (b *Balancer) linkTransfers() float64 {
	i := slices.Index(b.settings.Topology.Zones, b.settings.Topology.Zone)
	if i < 0 || i >= len(b.settings.LinkKBps) || b.settings.LinkKBps[i] <= 0 || b.settings.PaceKBps <= 0 {
		return 0
	}
	return b.settings.LinkKBps[i] / b.settings.PaceKBps
}

// linkLimitOf is the bound that a request finds on the zone's link. A client that retries finds less: it is late
// already.
func (b *Balancer) linkLimitOf(r *request) float64 {
	if r.Retry {
		return b.link.limit * clientRetryFactor
	}
	return b.link.limit * b.costAllowance(r)
}

// costAllowance widens the bounds for requests that cost little for their weight: under overload, serving many
// small ones is worth more than few large ones, and they delay those little.
func (b *Balancer) costAllowance(r *request) float64 {
	if r.cost < b.requests.meanCost {
		return cheapAllowance
	}
	return 1
}

// cacheLimit bounds the own attempts in flight at a cache: our part of what its own link carries in time for all
// routers of the zone, by its listed capacity where that is known, else by its part of the zone's link, which is
// built for the misses of all caches. A part of less than minLimit would be used up by chance while the cache is
// free, and push requests to caches that lack their objects.
func (b *Balancer) cacheLimit(e *endpoint) float64 {
	all, caches := defaultLimit, max(b.endpoints.peakCapacity[roleCache], 1)
	if b.settings.StaticWeights && e.weight > 0 && b.settings.PaceKBps > 0 {
		all = cacheLimitFactor * e.weight
	} else if transfers := b.linkTransfers(); transfers > 0 && !b.settings.StaticWeights {
		all = cacheLimitByLinkPart * transfers / caches / math.Sqrt(max(fewCaches/caches, 1))
	}
	return max(minLimit, all/b.routersInZone())
}

// updateCacheLimits recomputes the limits of all caches.
func (b *Balancer) updateCacheLimits() {
	for _, e := range b.endpoints.caches {
		e.concurrencyLimit = b.cacheLimit(e)
	}
}

// learnLinkLimit moves the bound of the zone's link towards what the link can have in flight and still be in time:
// as many more as would have made this fill late. It guards against a jam of fills that outlasts its cause. The
// transfers of other routers show only in these times. A response of unknown size counts as its class's mean, the
// more so the more routers share the link.
func (b *Balancer) learnLinkLimit(r *request, a *attempt, ev Outcome) {
	if !ev.Detail.isFill() || a.endpoint.role != roleCache || a.source.role != roleParent {
		return
	}
	s := r.serviceTime
	inTime := b.link.utilization * a.linkInFlight * (s + r.slack()) / max(ev.Elapsed.Seconds(), s)
	if ev.Elapsed > seconds(congestionThreshold*s) || inTime > b.link.limit {
		gain := s / (s + r.class.serviceTime) * linkLearningRate
		if r.SizeKB == 0 && r.object.serviceTime == 0 {
			gain *= 1 - 1/b.routersInZone()
		}
		b.link.limit = min(max(minLimit, b.link.limit+(inTime-b.link.limit)*gain), b.link.maxLimit)
	}
}
