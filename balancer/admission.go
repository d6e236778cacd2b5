package balancer

import (
	"math"
	"slices"
)

// This file implements admission control: it limits this router's attempts in flight at a cache and its fills on the
// zone's link.

// newLinkUse returns the initial limit of this router's transfers on the zone's link. Without a limit, fills congest
// the link after a mass purge, after a cold restart of caches or in a burst: they share the link until all are late.
// Over the limit, hits are still served. The limit is set by the link's capacity where that is known, and learned
// otherwise. Each router that shares the link gets a part of it, with a margin for the variance of small numbers:
// while one router has more to fill than its part, others have less.
func (b *Balancer) newLinkUse() linkUse {
	limit, maxFactor, utilization := defaultLimit, maxLearnedFactor, learnedLinkUtilization
	if transfers := b.linkTransfers(); transfers > 0 {
		limit, maxFactor, utilization = linkLimitFactor*transfers, 1, knownLinkUtilization
	}
	own := limit / b.routersInZone()
	own += varianceFactor * math.Sqrt(own*(1-1/b.routersInZone()))
	return linkUse{limit: max(minLimit, own), maxLimit: max(minLimit, maxFactor*own), utilization: utilization}
}

// linkTransfers returns how many transfers the zone's link carries at full speed, or 0 where that is unknown.
func (b *Balancer) linkTransfers() float64 {
	i := slices.Index(b.settings.Topology.Zones, b.settings.Topology.Zone)
	if i < 0 || i >= len(b.settings.LinkKBps) || b.settings.LinkKBps[i] <= 0 || b.settings.PaceKBps <= 0 {
		return 0
	}
	return b.settings.LinkKBps[i] / b.settings.PaceKBps
}

// linkLimitOf returns the limit of transfers on the zone's link that applies to a request. It is lower for a client's
// retry, which is already late.
func (b *Balancer) linkLimitOf(r *request) float64 {
	if r.Retry {
		return b.link.limit * clientRetryFactor
	}
	return b.link.limit * b.costAllowance(r)
}

// costAllowance returns the factor by which limits are wider for a request. It is above 1 for requests that cost little
// for their weight: under overload, serving many small requests is worth more than serving few large ones, and the
// small ones delay the large ones little.
func (b *Balancer) costAllowance(r *request) float64 {
	if r.cost < b.requests.meanCost {
		return cheapAllowance
	}
	return 1
}

// cacheLimit returns the limit of this router's attempts in flight at a cache. It is this router's part of what the
// cache's own link carries in time for all routers of the zone. That is computed from the cache's listed capacity where
// it is known, else from the cache's part of the zone's link, which is built for the misses of all caches. The limit is
// at least minLimit: a smaller one would be used up by chance while the cache is free, and would push requests to
// caches that lack their objects.
func (b *Balancer) cacheLimit(e *endpoint) float64 {
	allRouters, caches := defaultLimit, max(b.endpoints.peakCapacity[roleCache], 1)
	if b.settings.StaticWeights && e.weight > 0 && b.settings.PaceKBps > 0 {
		allRouters = cacheLimitFactor * e.weight
	} else if transfers := b.linkTransfers(); transfers > 0 && !b.settings.StaticWeights {
		allRouters = cacheLimitByLinkPart * transfers / caches / math.Sqrt(max(fewCaches/caches, 1))
	}
	return max(minLimit, allRouters/b.routersInZone())
}

// updateCacheLimits recomputes the concurrency limits of all caches of the zone.
func (b *Balancer) updateCacheLimits() {
	for _, e := range b.endpoints.caches {
		e.concurrencyLimit = b.cacheLimit(e)
	}
}

// learnLinkLimit moves the limit of the zone's link towards the number of transfers that the link can have in flight
// without making this fill late. It guards against congestion by fills that outlasts its cause. The transfers of other
// routers are visible only through the elapsed times of fills. A response of unknown size counts as its class's mean,
// and has more influence the more routers share the link, but none where the link is this router's alone.
func (b *Balancer) learnLinkLimit(r *request, a *attempt, ev Outcome) {
	if !ev.Detail.isFill() || a.endpoint.role != roleCache || a.source.role != roleParent {
		return
	}
	s := r.serviceTime
	inTimeLimit := b.link.utilization * a.linkInFlight * (s + r.slack()) / max(ev.Elapsed.Seconds(), s)
	if ev.Elapsed > seconds(congestionThreshold*s) || inTimeLimit > b.link.limit {
		gain := s / (s + r.class.serviceTime) * linkLearningRate
		if r.SizeKB == 0 && r.object.serviceTime == 0 {
			gain *= 1 - 1/b.routersInZone()
		}
		b.link.limit = min(max(minLimit, b.link.limit+(inTimeLimit-b.link.limit)*gain), b.link.maxLimit)
	}
}
