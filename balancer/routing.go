package balancer

import "slices"

// This file chooses the endpoint of an attempt and the source that a miss is filled from. An attempt without an
// endpoint means that there is no capacity now.

// chooseAttempt chooses the next attempt of a request. It is the only way to an endpoint.
func (b *Balancer) chooseAttempt(r *request) attempt {
	if b.isWrite(r) {
		return b.permitted(r, b.routeWrite(r))
	}
	return b.permitted(r, b.routeRead(r))
}

// permitted returns an attempt with the verdict of the idempotency rule, or an empty one if the rule forbids its endpoint. The
// rule has the last word here, whichever way has proposed the endpoint; the ways also ask it, to find one that is allowed.
func (b *Balancer) permitted(r *request, a attempt) attempt {
	if a.endpoint == nil {
		return attempt{}
	}
	a.placement = a.endpoint.placement
	a.repeat = b.checkRepeat(r, a.endpoint)
	if !a.repeat.Allowed() {
		return attempt{}
	}
	return a
}

// routeWrite routes a write. Where direct attempts are allowed, it goes straight to the origin or the home parent, else
// through an edge cache with a parent or the origin as its source. A retry takes another path.
func (b *Balancer) routeWrite(r *request) attempt {
	home, secondHome := b.homeParents(r)
	origin := b.originInService()
	if target := b.directWriteTarget(r, home, origin); target != nil {
		return attempt{endpoint: target, source: target}
	}
	for _, source := range [...]*endpoint{home, secondHome, origin} {
		if source != nil && source.inService() && !r.failedAt(source) {
			if c := b.edgeCache(r); c != nil {
				return attempt{endpoint: c, source: source}
			}
		}
	}
	return attempt{}
}

// directWriteTarget alternates between the origin and the home parent, starting with the origin. It returns nil where direct
// attempts are not allowed or the origin is not in service.
func (b *Balancer) directWriteTarget(r *request, home, origin *endpoint) *endpoint {
	if !b.settings.Capabilities.DirectAttempts || origin == nil {
		return nil
	}
	if home != nil && len(r.attempts)%2 == 1 && b.usable(home) {
		return b.directTarget(r, home, origin)
	}
	return b.directTarget(r, origin, home)
}

// directTarget returns the first of the preferred endpoints, which may be nil, that the idempotency rule allows, else a
// parent that it allows, or nil.
func (b *Balancer) directTarget(r *request, preferred ...*endpoint) *endpoint {
	for _, e := range preferred {
		if e != nil && b.checkRepeat(r, e).Allowed() {
			return e
		}
	}
	return b.pick(r, r.Object, b.endpoints.parents, saltHome, nil)
}

// routeRead routes a read to the edge cache that the hash names, and limits the fills on the zone's link. Over the
// limit, the cache only serves what it has.
func (b *Balancer) routeRead(r *request) attempt {
	a := attempt{endpoint: b.edgeCache(r)}
	home, secondHome := b.homeParents(r)
	origin := b.originInService()
	originHealthy := origin != nil && b.inRange(r.Object, origin, b.healthScore(origin)/originScoreRatio)
	candidates := sourceCandidates{home, secondHome, origin, originHealthy}
	a.source, a.toSecondHome = b.sourceOf(r, candidates)
	a.cachedOnly = candidates.servesCachedOnly(a.source)
	if a.endpoint == nil {
		b.bypassCaches(r, &a, candidates)
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

// withoutFill returns an attempt that only asks a cache for a cached copy. The attempt is empty where the cache has
// already missed for this request, or where the endpoint is no edge cache.
func withoutFill(r *request, e *endpoint) attempt {
	if r.cacheMissed || e.role != roleCache {
		return attempt{}
	}
	return attempt{endpoint: e, source: e}
}

// sourceCandidates are the endpoints that may be the source of a fill; each may be nil.
type sourceCandidates struct {
	home, secondHome *endpoint // parents
	origin           *endpoint
	originHealthy    bool // the origin's health score allows fills of this object
}

// servesCachedOnly reports whether a source, which may be nil, may serve an object from its cache only. While the origin is
// slow, that is so for most objects: a fill that waits for the origin would keep quick fills off the link, and its load
// would keep the origin slow.
func (c *sourceCandidates) servesCachedOnly(source *endpoint) bool {
	return c.origin != nil && !c.originHealthy && source != nil && source.role == roleParent
}

// sourceOf chooses the source of a fill. That is normally the home parent. It is the second home once per
// replicationInterval, which toSecondHome reports, or where the home fails. It is the origin where no parent can fill,
// or where the origin's health score is good and the home's is not. A nil source means that there is none.
func (b *Balancer) sourceOf(r *request, c sourceCandidates) (source *endpoint, toSecondHome bool) {
	if r.sourceMisses > 0 {
		return b.sourceAfterMiss(r, c), false
	}
	if !b.canFill(r, c.home) {
		if b.canFill(r, c.secondHome) {
			return c.secondHome, false
		}
		return c.origin, false
	}
	switch {
	case c.originHealthy && !b.inRange(r.Object, c.home, b.healthScore(c.home)/originScoreRatio):
		return c.origin, false
	case b.replicationDue(r.object) && c.secondHome != nil && b.usable(c.secondHome):
		return c.secondHome, true
	}
	return c.home, false
}

// sourceAfterMiss chooses a source after a source that was asked for a cached copy only had none: first the second
// home, then the origin if its health score allows it, else nil.
func (b *Balancer) sourceAfterMiss(r *request, c sourceCandidates) *endpoint {
	if r.sourceMisses == 1 && c.secondHome != nil && b.usable(c.secondHome) {
		return c.secondHome
	}
	if c.originHealthy {
		return c.origin
	}
	return nil
}

// canFill reports whether an endpoint, which may be nil, can be the source of a request's fill.
func (b *Balancer) canFill(r *request, e *endpoint) bool {
	return e != nil && b.usable(e) && !r.failedAt(e)
}

// replicationDue reports whether the next fill should go to the second home, which then keeps a copy as well.
func (b *Balancer) replicationDue(o *object) bool {
	return o.cachedAtHome && b.now-o.replicatedAt > replicationInterval
}

// bypassCaches sends an attempt straight to its source, where no edge cache has capacity, or to another parent or the origin
// where the idempotency rule forbids that one. It has no effect unless direct attempts are allowed, the origin is in
// service and the zone's link has capacity.
func (b *Balancer) bypassCaches(r *request, a *attempt, c sourceCandidates) {
	allowed := b.settings.Capabilities.DirectAttempts && c.origin != nil && b.link.inFlight < b.link.limit
	if !allowed || a.source == nil {
		return
	}
	a.endpoint = b.directTarget(r, a.source, c.origin)
	if a.endpoint == nil {
		return
	}
	a.toSecondHome = a.toSecondHome && a.endpoint == a.source
	a.cachedOnly = c.servesCachedOnly(a.endpoint)
	a.source = c.origin
	if a.cachedOnly {
		a.source = a.endpoint
	}
}

// originInService returns the origin, or nil where there is none in service.
func (b *Balancer) originInService() *endpoint {
	if o := b.endpoints.origin; o != nil && o.inService() {
		return o
	}
	return nil
}

// edgeCache picks the edge cache of a request, or nil. The hash key covers the object and the part: otherwise all parts
// of a long object would go over one cache's link.
func (b *Balancer) edgeCache(r *request) *endpoint {
	return b.pick(r, mix(r.Object)+r.Part, b.endpoints.caches, saltCache, nil)
}

// homeParents returns the home and the second home of a request's object; each may be nil.
func (b *Balancer) homeParents(r *request) (home, secondHome *endpoint) {
	home = b.pickSource(r, saltHome, nil)
	secondHome = b.pickSource(r, saltSecondHome, home)
	return home, secondHome
}

// failedAt reports whether an earlier attempt of this request failed because of the endpoint, as its server or as its
// source.
func (r *request) failedAt(e *endpoint) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.avoidOnRetry == e })
}

// servesKey reports whether an endpoint serves a key now. The fraction of its range that it serves rises linearly after
// a start and shrinks while the endpoint is slower than its peers. The key's hash decides, so that all routers agree.
func (b *Balancer) servesKey(key uint64, e *endpoint) bool {
	fraction := min(1, b.healthScore(e)/(peerScoreRatio*b.bestScore[e.role]))
	if e.startedAt > 0 && e.role != roleOrigin {
		fraction *= min(1, float64(b.now-e.startedAt)/float64(rangeRampTime))
	}
	return b.inRange(key, e, fraction)
}

// inRange reports whether a key is in the given fraction, up to 1, of an endpoint's range.
func (b *Balancer) inRange(key uint64, e *endpoint, fraction float64) bool {
	return fraction >= 1 || hashFraction(key, uint64(e.id), saltRange) < fraction
}
