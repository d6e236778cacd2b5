package balancer

import (
	"cmp"
	"math"
)

// This file implements rendezvous hashing: each endpoint has a score for a key, and the eligible endpoint with the
// highest score is chosen. All routers compute the same scores.

// preference is how well an endpoint suits a request; a lower value is better.
type preference uint8

const (
	preferred       preference   = iota // usable, and the key is in the fraction of its range that it serves now
	spillOver                           // usable, but overloaded, or the key is outside that fraction
	failedOnce                          // usable, but it has failed this request already
	ejected                             // not usable: ejected as an outlier, or probed by a peer
	ineligible                          // it must not be chosen
	preferenceCount = ineligible        // number of preferences by which an endpoint may be chosen
)

// topCandidates is the number of endpoints that pick tries in the order of their scores before it looks at all
// candidates. In most cases the first one is preferred.
const topCandidates = 4

// pick returns the preferred endpoint with the highest score, else the usable one with the highest score, else the one
// with the highest score among those that have failed the request before. It returns an ejected endpoint only where
// all are ejected; otherwise requests would go to a dead endpoint while the others are full. The endpoint excluded,
// which may be nil, is left out. The result is nil if no endpoint is eligible.
func (b *Balancer) pick(r *request, key uint64, candidates []*endpoint, salt uint64, excluded *endpoint) *endpoint {
	c := choice{balancer: b, request: r, key: key, salt: salt, candidates: candidates, excluded: excluded}
	return c.best()
}

// pickSource is pick for the parent that fills a miss. It is not sent the request, so the idempotency rule does not apply.
func (b *Balancer) pickSource(r *request, salt uint64, excluded *endpoint) *endpoint {
	c := choice{balancer: b, request: r, key: r.Object, salt: salt, candidates: b.endpoints.parents, excluded: excluded,
		asSource: true}
	return c.best()
}

// best returns the endpoint that pick describes, or nil.
func (c *choice) best() *endpoint {
	bound := math.Inf(1)
	for range topCandidates {
		e, score := c.highestBelow(bound)
		if e == nil {
			break
		}
		if c.preference(e) == preferred {
			return e
		}
		bound = score
	}
	return c.bestOfAll()
}

// choice holds the inputs of the choice of one endpoint for a request.
type choice struct {
	balancer   *Balancer
	request    *request
	key, salt  uint64
	candidates []*endpoint
	excluded   *endpoint
	asSource   bool // the endpoint is to fill a miss, and is not sent the request

	overloadedFrom float64 // result of overloadThreshold for the candidates; 0: not computed yet
}

// highestBelow returns the endpoint with the highest score below a bound and that score, or nil if there is none.
func (c *choice) highestBelow(bound float64) (best *endpoint, topScore float64) {
	mixed := mix(c.key ^ c.salt)
	for _, e := range c.candidates {
		u := mixedFraction(mixed, uint64(e.id))
		capacity := c.balancer.capacityOf(e)
		if best != nil && capacity <= topScore*(1-u) { // as -ln u >= 1-u, its score is at most capacity/(1-u)
			continue
		}
		if score := -capacity / math.Log(u); score < bound && (best == nil || score > topScore) {
			best, topScore = e, score
		}
	}
	return best, topScore
}

// preference returns how well an endpoint suits the request. As a side effect it updates the slow-start budget of an
// endpoint that is warming up.
func (c *choice) preference(e *endpoint) preference {
	b, r := c.balancer, c.request
	full := e.role == roleCache && float64(e.inFlight) >= e.concurrencyLimit*b.costAllowance(r)
	switch {
	case e == c.excluded || full || !c.repeatAllowed(e) || !e.inService() || !b.withinWarmUpBudget(e, r):
		return ineligible
	case !b.usable(e):
		return ejected
	case r.failedAt(e):
		return failedOnce
	case b.servesKey(c.key, e) && (e.role != roleCache || !c.overloaded(e)):
		return preferred
	}
	return spillOver
}

// repeatAllowed reports whether the idempotency rule allows the choice of an endpoint.
func (c *choice) repeatAllowed(e *endpoint) bool {
	return c.asSource || c.balancer.checkRepeat(c.request, e).Allowed()
}

// bestOfAll returns the best of all candidates, in the order that pick describes, or nil.
func (c *choice) bestOfAll() *endpoint {
	var best [preferenceCount]*endpoint
	var topScores [preferenceCount]float64
	allEjected := true
	for _, e := range c.candidates {
		allEjected = allEjected && (e == c.excluded || !c.balancer.usable(e))
		p := c.preference(e)
		if p == ineligible {
			continue
		}
		score := c.balancer.score(c.key, e, c.salt)
		for ; p < preferenceCount; p++ { // an endpoint also counts for each worse preference
			if best[p] == nil || score > topScores[p] {
				best[p], topScores[p] = e, score
			}
		}
	}
	if allEjected {
		return best[ejected]
	}
	return cmp.Or(best[preferred], best[spillOver], best[failedOnce])
}

// overloaded reports whether an endpoint has many more of this router's attempts in flight than its peers. Its keys
// then spill over to the endpoint with the next score. This guards against a hot object that needs more than one
// cache's link.
func (c *choice) overloaded(e *endpoint) bool {
	inFlight := float64(e.inFlight)
	if inFlight < overloadMargin { // the threshold is never lower
		return false
	}
	if c.overloadedFrom == 0 {
		c.overloadedFrom = c.balancer.overloadThreshold(c.candidates)
	}
	return inFlight >= c.overloadedFrom
}

// overloadThreshold returns the number of this router's attempts in flight from which one of the peers counts as
// overloaded.
func (b *Balancer) overloadThreshold(peers []*endpoint) float64 {
	n, inFlight := 0.0, 0.0
	for _, e := range peers {
		if b.usable(e) {
			n, inFlight = n+1, inFlight+float64(e.inFlight)
		}
	}
	return overloadRatio*inFlight/max(n, 1) + overloadMargin
}

// score returns the rendezvous hash score of an endpoint for a key, weighted by the endpoint's capacity.
func (b *Balancer) score(key uint64, e *endpoint, salt uint64) float64 {
	return -b.capacityOf(e) / math.Log(hashFraction(key, uint64(e.id), salt))
}

// hashFraction returns a hash of its arguments as a number above 0 and below 1.
func hashFraction(key, id, salt uint64) float64 { return mixedFraction(mix(key^salt), id) }

// mixedFraction returns hashFraction for a key that is already mixed with the salt.
func mixedFraction(mixed, id uint64) float64 {
	h := mix(mixed + id*0x9e3779b97f4a7c15)
	return (float64(h>>11) + 0.5) / (1 << 53)
}

// mix is a bijective hash: each bit of the result depends on all bits of x.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
