package balancer

import "slices"

// Where an attempt goes: to which endpoint, and from which source a miss is filled. An attempt without an endpoint
// means that there is no capacity now.

// routeWrite sends what runs at the origin straight there where that is allowed, else through an edge cache with a
// parent or the origin as its source. A retry takes another way.
func (b *Balancer) routeWrite(r *request) attempt {
	home, second := b.homeParents(r)
	origin := b.originInService()
	if b.settings.Capabilities.DirectAttempts && origin != nil {
		return b.routeDirectWrite(r, home, origin)
	}
	for _, source := range [...]*endpoint{home, second, origin} {
		if source != nil && source.inService() && !r.failedAt(source) {
			if c := b.edgeCache(r); c != nil {
				return attempt{endpoint: c, source: source}
			}
		}
	}
	return attempt{}
}

// routeDirectWrite takes turns between the origin and the home parent.
func (b *Balancer) routeDirectWrite(r *request, home, origin *endpoint) attempt {
	to := origin
	if home != nil && (!r.dedupAllows(to) || len(r.attempts)%2 == 1 && b.usable(home)) {
		to = home
	}
	if !r.dedupAllows(to) {
		return attempt{}
	}
	return attempt{endpoint: to, source: to}
}

// routeRead sends a read to the edge cache that the hash names, and bounds the fills on the zone's link: over the
// bound the cache only serves what it has.
func (b *Balancer) routeRead(r *request) attempt {
	a := attempt{endpoint: b.edgeCache(r)}
	home, second := b.homeParents(r)
	origin := b.originInService()
	originHealthy := origin != nil && b.inRange(r.Object, origin, b.healthScore(origin)/originScoreRatio)
	a.source, a.toSecondHome = b.sourceOf(r, sourceCandidates{home, second, origin, originHealthy})
	// While the origin is slow, parents serve only what they have for most objects: a fill that waits for the origin
	// would keep quick ones off the link, and its load would keep the origin slow.
	a.cachedOnly = origin != nil && !originHealthy && a.source != nil && a.source.role == roleParent
	if a.endpoint == nil {
		b.bypassCaches(&a, origin)
	}
	if a.endpoint == nil {
		return attempt{}
	}
	a.fillProbability = 1
	if a.endpoint.role == roleCache && !r.cacheMissed {
		a.fillProbability = a.endpoint.missRate
	}
	if a.source == nil || b.link.inFlight+a.fillProbability > b.linkLimitOf(r) {
		return withoutFill(r, a.endpoint)
	}
	return a
}

// withoutFill asks a cache only for what it has, where that may help.
func withoutFill(r *request, e *endpoint) attempt {
	if r.cacheMissed || e.role != roleCache {
		return attempt{}
	}
	return attempt{endpoint: e, source: e}
}

// sourceCandidates are the endpoints that may be the source of a fill; each may be nil.
type sourceCandidates struct {
	home, second  *endpoint // parents
	origin        *endpoint
	originHealthy bool // the origin's health score lets it take this object's fills
}

// sourceOf chooses the source of a fill: the home parent; the second home once in replicationInterval, or where the
// home fails; the origin where there are no parents or its score is good and the home's is not. Nil means that
// there is none.
func (b *Balancer) sourceOf(r *request, c sourceCandidates) (source *endpoint, toSecondHome bool) {
	if r.sourceMisses > 0 {
		return b.sourceAfterMiss(r, c), false
	}
	if !b.canFill(r, c.home) {
		if b.canFill(r, c.second) {
			return c.second, false
		}
		return c.origin, false
	}
	switch {
	case c.originHealthy && !b.inRange(r.Object, c.home, b.healthScore(c.home)/originScoreRatio):
		return c.origin, false
	case b.replicationDue(r.object) && c.second != nil && b.usable(c.second):
		return c.second, true
	}
	return c.home, false
}

// sourceAfterMiss chooses a source when one that was asked for cached copies only had none: once the second home, then
// the origin if its score allows it.
func (b *Balancer) sourceAfterMiss(r *request, c sourceCandidates) *endpoint {
	if r.sourceMisses == 1 && c.second != nil && b.usable(c.second) {
		return c.second
	}
	if c.originHealthy {
		return c.origin
	}
	return nil
}

// canFill tells whether an endpoint, which may be nil, can be the source of a request's fill.
func (b *Balancer) canFill(r *request, e *endpoint) bool {
	return e != nil && b.usable(e) && !r.failedAt(e)
}

// replicationDue tells whether a fill should go to the second home, which then keeps a copy, too.
func (b *Balancer) replicationDue(o *object) bool {
	return o.cachedAtHome && b.now-o.replicatedAt > replicationInterval
}

// bypassCaches sends an attempt straight to its source, where no edge cache has capacity and the link has.
func (b *Balancer) bypassCaches(a *attempt, origin *endpoint) {
	allowed := b.settings.Capabilities.DirectAttempts && origin != nil && b.link.inFlight < b.link.limit
	if !allowed || a.source == nil {
		return
	}
	a.endpoint = a.source
	if !a.cachedOnly {
		a.source = origin
	}
}

// originInService is the origin, or nil where it takes no attempts.
func (b *Balancer) originInService() *endpoint {
	if o := b.endpoints.origin; o != nil && o.inService() {
		return o
	}
	return nil
}

// edgeCache picks the edge cache of a request. What it hashes is one part of an object: the parts of a long object
// would else all go over one cache's link.
func (b *Balancer) edgeCache(r *request) *endpoint {
	return b.pick(r, mix(r.Object)+r.Part, b.endpoints.caches, saltCache, nil)
}

// homeParents names the home and the second home of an object.
func (b *Balancer) homeParents(r *request) (home, second *endpoint) {
	home = b.pick(r, r.Object, b.endpoints.parents, saltHome, nil)
	second = b.pick(r, r.Object, b.endpoints.parents, saltSecond, home)
	return home, second
}

// failedAt tells whether an endpoint has failed this request already, as server or as source.
func (r *request) failedAt(e *endpoint) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.avoidOnRetry == e })
}

// dedupAllows tells whether an attempt at an endpoint may follow the earlier ones: all that may have run must be in
// the scope that drops repeats.
func (r *request) dedupAllows(e *endpoint) bool {
	if r.class.Idempotency != IdempotentByKey || r.class.DedupScope == DedupEverywhere {
		return true
	}
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.state == attemptNeverRan {
			continue
		}
		if a.endpoint.zone != e.zone || r.class.DedupScope == DedupInCell && a.endpoint.cell != e.cell {
			return false
		}
	}
	return true
}

// servesKey tells whether an endpoint serves a key now. Its part of its range rises in a line after a start and
// shrinks while it is slower than its peers. The key's hash decides, so that all routers agree.
func (b *Balancer) servesKey(key uint64, e *endpoint) bool {
	part := min(1, b.healthScore(e)/(peerScoreRatio*b.bestScore[e.role]))
	if e.startedAt > 0 && e.role != roleOrigin {
		part *= min(1, float64(b.now-e.startedAt)/float64(rangeRampTime))
	}
	return b.inRange(key, e, part)
}

// inRange tells whether a key is in a part, up to 1, of an endpoint's range.
func (b *Balancer) inRange(key uint64, e *endpoint, part float64) bool {
	return part >= 1 || hashFraction(key, uint64(e.id), saltRange) < part
}
