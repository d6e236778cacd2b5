package placement

import (
	"cmp"
	"math"
	"slices"
)

// Bounds of the number of routers that use one endpoint, as multiples of the mean.
const (
	maxLoadFactor     = 1.25 // bound for every endpoint
	typicalLoadFactor = 1.15 // usual bound of an endpoint
)

// SubsetSize returns how many endpoints each router should use: at least the minimum, enough that the bound of routers per
// endpoint exceeds the mean by half a router or more, and at most all endpoints. With a tighter bound, an endpoint that is
// full would displace other pairs in a long chain. The caller must keep the size while routers join and leave, as a
// different size moves nearly all pairs.
func SubsetSize(routers, endpoints, minimum int) int {
	for size := max(minimum, 1); size < endpoints; size++ {
		mean := float64(size*routers) / float64(endpoints)
		if math.Floor(maxLoadFactor*mean) >= mean+0.5 {
			return size
		}
	}
	return endpoints
}

// Subsets returns the endpoints that each router uses, as sorted indices of endpoints: size for each router, or all if
// there are fewer. Names must be unique; their order does not change which router uses which endpoints.
//
// This is rendezvous hashing with bounded loads. Pairs are chosen from the highest score down, if the router has fewer
// endpoints than size and the endpoint fewer routers than its bound. The score of a pair is the same for its router and
// its endpoint, so there is one stable result for all routers that compute it, and a name that is added or removed moves
// few other pairs. A router that the bounds leave with too few endpoints gets those with the fewest routers.
func Subsets(routers, endpoints []string, size int) [][]int {
	a := newAssignment(routers, endpoints, size)
	for _, p := range rankedPairs(routers, endpoints) {
		if len(a.subsets[p.router]) < a.size && a.load[p.endpoint] < a.bound[p.endpoint] {
			a.add(p.router, p.endpoint)
		}
	}
	for router := range routers {
		for len(a.subsets[router]) < a.size {
			a.add(router, a.leastLoaded(router))
		}
		slices.Sort(a.subsets[router])
	}
	return a.subsets
}

// SubsetOf returns the names of the endpoints that the router self uses, or nil if self is not among the routers.
func SubsetOf(self string, routers, endpoints []string, size int) []string {
	i := slices.Index(routers, self)
	if i < 0 {
		return nil
	}
	var names []string
	for _, endpoint := range Subsets(routers, endpoints, size)[i] {
		names = append(names, endpoints[endpoint])
	}
	return names
}

// pair is a router that may use an endpoint, both as indices.
type pair struct {
	router, endpoint int
	score            float64
}

// rankedPairs returns all pairs, sorted by descending score and then by names.
func rankedPairs(routers, endpoints []string) []pair {
	pairs := make([]pair, 0, len(routers)*len(endpoints))
	for r, router := range routers {
		for e, endpoint := range endpoints {
			pairs = append(pairs, pair{r, e, score(router, endpoint, saltSubset)})
		}
	}
	slices.SortFunc(pairs, func(a, b pair) int {
		return cmp.Or(
			cmp.Compare(b.score, a.score),
			cmp.Compare(routers[a.router], routers[b.router]),
			cmp.Compare(endpoints[a.endpoint], endpoints[b.endpoint]),
		)
	})
	return pairs
}

// assignment holds the subsets while they are computed.
type assignment struct {
	routers, endpoints []string
	size               int     // of each subset
	subsets            [][]int // of each router
	load               []int   // routers of each endpoint
	bound              []int   // of load
}

func newAssignment(routers, endpoints []string, size int) *assignment {
	a := &assignment{
		routers:   routers,
		endpoints: endpoints,
		size:      min(size, len(endpoints)),
		subsets:   make([][]int, len(routers)),
		load:      make([]int, len(endpoints)),
		bound:     make([]int, len(endpoints)),
	}
	for e, endpoint := range endpoints {
		a.bound[e] = loadBound(len(routers), len(endpoints), a.size, endpoint)
	}
	return a
}

// loadBound returns how many routers may use an endpoint: typicalLoadFactor times the mean, but at most the larger of
// maxLoadFactor times the mean, rounded down, and the mean, rounded up. The first product is rounded up for some endpoints
// and down for others, depending on their names, so that the bounds of few endpoints change at a time while routers join
// and leave.
func loadBound(routers, endpoints, size int, endpoint string) int {
	mean := float64(size*routers) / float64(max(endpoints, 1))
	typical := math.Floor(typicalLoadFactor*mean + score(endpoint, "", saltBound))
	largest := max(math.Ceil(mean), math.Floor(maxLoadFactor*mean))
	return int(min(typical, largest))
}

func (a *assignment) add(router, endpoint int) {
	a.subsets[router] = append(a.subsets[router], endpoint)
	a.load[endpoint]++
}

// leastLoaded returns the endpoint with the fewest routers among those that a router does not use yet. If there are
// several, it returns the one with the highest score.
func (a *assignment) leastLoaded(router int) int {
	best := -1
	for endpoint := range a.endpoints {
		if slices.Contains(a.subsets[router], endpoint) {
			continue
		}
		if best < 0 || a.load[endpoint] < a.load[best] ||
			a.load[endpoint] == a.load[best] && a.score(router, endpoint) > a.score(router, best) {
			best = endpoint
		}
	}
	return best
}

func (a *assignment) score(router, endpoint int) float64 {
	return score(a.routers[router], a.endpoints[endpoint], saltSubset)
}
