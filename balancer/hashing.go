package balancer

import (
	"cmp"
	"math"
)

// Rendezvous hashing: each endpoint has a score for a key, and the highest that suits wins. All routers compute the
// same.

// preference is how well an endpoint suits a request; less is better.
type preference uint8

const (
	preferred   preference   = iota // usable, and the key is in the part of its range that it serves now
	spillOver                       // usable
	failedOnce                      // usable, but it has failed this request already
	ejected                         // an outlier
	ineligible                      // it must not be chosen
	preferences = ineligible        // number of preferences by which an endpoint may be chosen
)

// topCandidates is how many endpoints are looked at in the order of their scores before all are: mostly the first
// one suits.
const topCandidates = 4

// pick returns the endpoint with the highest score that is preferred; failing that, the highest that is usable,
// then one that has failed the request before. An ejected one is chosen only where all are ejected: while the
// others are full, requests would else run into a dead endpoint. Excluded, which may be nil, is left out.
func (b *Balancer) pick(r *request, key uint64, candidates []*endpoint, salt uint64, excluded *endpoint) *endpoint {
	c := choice{balancer: b, request: r, key: key, salt: salt, candidates: candidates, excluded: excluded}
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

// choice is the choice of one endpoint for a request.
type choice struct {
	balancer   *Balancer
	request    *request
	key, salt  uint64
	candidates []*endpoint
	excluded   *endpoint

	overloadedFrom float64 // own attempts in flight that make an endpoint overloaded; 0: not computed yet
}

// highestBelow returns the endpoint with the highest score under a bound.
func (c *choice) highestBelow(bound float64) (best *endpoint, top float64) {
	mixed := mix(c.key ^ c.salt)
	for _, e := range c.candidates {
		u := mixedFraction(mixed, uint64(e.id))
		capacity := c.balancer.capacityOf(e)
		if best != nil && capacity <= top*(1-u) { // as -ln u >= 1-u, its score is at most capacity/(1-u)
			continue
		}
		if score := -capacity / math.Log(u); score < bound && (best == nil || score > top) {
			best, top = e, score
		}
	}
	return best, top
}

// preference tells how well an endpoint suits. For one in slow start it brings the budget up to date.
func (c *choice) preference(e *endpoint) preference {
	b, r := c.balancer, c.request
	full := e.role == roleCache &&
		(float64(e.inFlight) >= e.concurrencyLimit*b.costAllowance(r) || !r.dedupAllows(e))
	switch {
	case e == c.excluded || full || !e.inService() || !b.withinWarmUpBudget(e, r):
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

// bestOfAll looks at all candidates.
func (c *choice) bestOfAll() *endpoint {
	var best [preferences]*endpoint
	var top [preferences]float64
	allEjected := true
	for _, e := range c.candidates {
		allEjected = allEjected && (e == c.excluded || !c.balancer.usable(e))
		p := c.preference(e)
		if p == ineligible {
			continue
		}
		score := c.balancer.score(c.key, e, c.salt)
		for ; p < preferences; p++ { // an endpoint also does where one that suits less well would
			if best[p] == nil || score > top[p] {
				best[p], top[p] = e, score
			}
		}
	}
	if allEjected {
		return best[ejected]
	}
	return cmp.Or(best[preferred], best[spillOver], best[failedOnce])
}

// overloaded tells whether an endpoint has many more own attempts in flight than its peers: its range then spills
// over to the next score. It guards against a hot object that outgrows one cache's link.
func (c *choice) overloaded(e *endpoint) bool {
	inFlight := float64(e.inFlight)
	if inFlight < overloadMargin { // whatever its peers have
		return false
	}
	if c.overloadedFrom == 0 {
		c.overloadedFrom = c.balancer.overloadThreshold(c.candidates)
	}
	return inFlight >= c.overloadedFrom
}

// overloadThreshold is how many own attempts in flight make one of some endpoints overloaded.
func (b *Balancer) overloadThreshold(peers []*endpoint) float64 {
	n, inFlight := 0.0, 0.0
	for _, e := range peers {
		if b.usable(e) {
			n, inFlight = n+1, inFlight+float64(e.inFlight)
		}
	}
	return overloadRatio*inFlight/max(n, 1) + overloadMargin
}

// score is the rendezvous hash of an endpoint, weighted by its capacity.
func (b *Balancer) score(key uint64, e *endpoint, salt uint64) float64 {
	return -b.capacityOf(e) / math.Log(hashFraction(key, uint64(e.id), salt))
}

// hashFraction hashes to a number above 0 and below 1.
func hashFraction(key, id, salt uint64) float64 { return mixedFraction(mix(key^salt), id) }

// mixedFraction is hashFraction for a key that is mixed with the salt already.
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
