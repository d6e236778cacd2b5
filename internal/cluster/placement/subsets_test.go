package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// names returns n names, each a prefix and a number, the first number being from.
func names(prefix string, from, n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprintf("%s%d", prefix, from+i))
	}
	return out
}

// namePair is a router and an endpoint that it uses.
type namePair [2]string

// usedPairs returns the pairs of all subsets, and the largest number of routers of an endpoint as a multiple of the mean.
func usedPairs(routers, endpoints []string, size int) (pairs map[namePair]bool, largestLoad float64) {
	load, pairs := map[int]int{}, map[namePair]bool{}
	largest := 0
	for r, subset := range Subsets(routers, endpoints, size) {
		for _, e := range subset {
			load[e]++
			largest = max(largest, load[e])
			pairs[namePair{routers[r], endpoints[e]}] = true
		}
	}
	return pairs, float64(largest) * float64(len(endpoints)) / float64(len(pairs))
}

// movedFraction returns the fraction of the pairs before a change that are missing after it. The pairs of the removed name
// gone, which is empty if none was removed, do not count.
func movedFraction(before, after map[namePair]bool, gone string) float64 {
	moved, all := 0, 0
	for p := range before {
		if p[0] != gone && p[1] != gone {
			all++
			if !after[p] {
				moved++
			}
		}
	}
	return float64(moved) / float64(all)
}

// movedByChange holds, for each kind of change, the largest fraction of pairs that moved.
type movedByChange struct {
	routerJoins, routerLeaves, endpointAdded, endpointRemoved float64
}

// worstMoves makes five changes of each kind, one at a time, and returns the largest fractions of pairs that moved.
func worstMoves(routers, endpoints []string, size int) movedByChange {
	used, _ := usedPairs(routers, endpoints, size)
	worst := movedByChange{}
	for i := range 5 {
		joined, _ := usedPairs(append(slices.Clone(routers), fmt.Sprintf("new%d", i)), endpoints, size)
		left, _ := usedPairs(slices.Delete(slices.Clone(routers), i, i+1), endpoints, size)
		added, _ := usedPairs(routers, append(slices.Clone(endpoints), fmt.Sprintf("fresh%d", i)), size)
		removed, _ := usedPairs(routers, slices.Delete(slices.Clone(endpoints), i, i+1), size)
		worst.routerJoins = max(worst.routerJoins, movedFraction(used, joined, ""))
		worst.routerLeaves = max(worst.routerLeaves, movedFraction(used, left, routers[i]))
		worst.endpointAdded = max(worst.endpointAdded, movedFraction(used, added, ""))
		worst.endpointRemoved = max(worst.endpointRemoved, movedFraction(used, removed, endpoints[i]))
	}
	return worst
}

// Each endpoint is used by at most a quarter more routers than the mean, each router uses as many endpoints as it should,
// and a router that is added or removed moves at most twice its share of the pairs (an endpoint three times its share). The
// sizes are those of the smallest and largest clusters.
func TestSubsetsAreBalancedAndStable(t *testing.T) {
	for _, c := range []struct{ routers, endpoints, want int }{
		{9, 12, 4}, {9, 20, 6}, {5, 8, 3}, {20, 14, 5}, {60, 40, 8}, {300, 200, 20}, {300, 200, 8},
	} {
		size := SubsetSize(c.routers, c.endpoints, c.want)
		routers, endpoints := names("r", 0, c.routers), names("s", 0, c.endpoints)
		used, largestLoad := usedPairs(routers, endpoints, size)
		if largestLoad > maxLoadFactor || len(used) != c.routers*min(size, c.endpoints) {
			t.Errorf("%+v: largest load %.2f of the mean, %d pairs with %d endpoints per router", c, largestLoad, len(used), size)
		}
		worst := worstMoves(routers, endpoints, size)
		perRouter, perEndpoint := 1/float64(c.routers), 1/float64(c.endpoints)
		t.Logf("%+v: %d endpoints per router, largest load %.2f, moved %+v (2/routers %.4f, 2/endpoints %.4f)",
			c, size, largestLoad, worst, 2*perRouter, 2*perEndpoint)
		if worst.routerJoins > 2*perRouter || worst.routerLeaves > 2*perRouter ||
			worst.endpointAdded > 3*perEndpoint || worst.endpointRemoved > 3*perEndpoint {
			t.Errorf("%+v: moved %+v", c, worst)
		}
	}
}

// The subsets do not depend on the order of the names.
func TestSubsetsIgnoreOrderOfNames(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	routers, endpoints := names("r", 0, 9), names("s", 0, 14)
	want := map[string][]string{}
	for _, r := range routers {
		want[r] = SubsetOf(r, routers, endpoints, 5)
		slices.Sort(want[r])
	}
	for range 50 {
		rnd.Shuffle(len(routers), func(i, j int) { routers[i], routers[j] = routers[j], routers[i] })
		rnd.Shuffle(len(endpoints), func(i, j int) { endpoints[i], endpoints[j] = endpoints[j], endpoints[i] })
		for _, r := range routers {
			got := SubsetOf(r, routers, endpoints, 5)
			if slices.Sort(got); !slices.Equal(got, want[r]) {
				t.Fatalf("%s uses %v, and %v with another order of names", r, want[r], got)
			}
		}
	}
}

// With any number of routers and endpoints, and any size, each router has as many endpoints as it should.
func TestSubsetsHaveTheirSizeForAnyInput(t *testing.T) {
	for n := range 7 {
		for m := range 7 {
			for size := range 9 {
				for _, subset := range Subsets(names("r", 0, n), names("s", 0, m), size) {
					if len(subset) != min(size, m) {
						t.Errorf("%d routers, %d endpoints, %d per router: one has %v", n, m, size, subset)
					}
				}
			}
		}
	}
	if SubsetOf("stranger", names("r", 0, 3), names("s", 0, 3), 2) != nil {
		t.Error("a router that is not among the routers has a subset")
	}
}
