// Package placement is the choices that the routers of a cluster must make alike, or that must add up over all of
// them: which endpoints each router uses, when each does a periodic duty, and which routers first use an endpoint
// that is warming up. All choices follow from names alone, the same for all routers that know the same names. The
// package is pure: no I/O, no clock, no randomness. docs/design/fleet-choices.md has the reasons and what was
// measured.
package placement

import (
	"hash/fnv"
	"slices"
)

// Salts keep unlike choices apart. Routers of other releases use the same.
const (
	saltSubset  = "subset"
	saltBound   = "bound"
	saltDuty    = "turn"
	saltStart   = "start"
	saltBackoff = "backoff"
)

// score is a number between 0 and 1 for a pair of names, evenly spread over all pairs.
func score(a, b, salt string) float64 {
	h := fnv.New64a()
	for _, s := range []string{salt, a, b} {
		_, _ = h.Write([]byte(s)) // it never fails
		_, _ = h.Write([]byte{0})
	}
	// The last bytes that FNV takes in change only the low bits of the sum: mix them (the finalizer of SplitMix64).
	x := h.Sum64()
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	x ^= x >> 31
	return (float64(x>>11) + 0.5) / (1 << 53)
}

// before returns whether router a precedes router b in the order for a duty. Scores that are equal leave it to the
// names.
func precedes(a, b string, scoreA, scoreB float64) bool {
	return scoreA < scoreB || scoreA == scoreB && a < b
}

// unknownRank is the rank of a router that is not among the known ones, or knows no others.
const unknownRank = -1

// rank is how many of the known routers precede one in the order for a duty, or unknownRank.
func rank(self, duty string, routers []string) int {
	if len(routers) < 2 || !slices.Contains(routers, self) {
		return unknownRank
	}
	own := score(self, duty, saltDuty)
	preceding := 0
	for _, router := range routers {
		if precedes(router, self, score(router, duty, saltDuty), own) {
			preceding++
		}
	}
	return preceding
}

// Assign returns the router that a duty is assigned to, the same for all who know the same names (rendezvous
// hashing). It returns "" where there are no routers.
func Assign(duty string, routers []string) string {
	assigned, lowest := "", 2.0 // above every score
	for _, router := range routers {
		if s := score(router, duty, saltDuty); precedes(router, assigned, s, lowest) {
			assigned, lowest = router, s
		}
	}
	return assigned
}

// StartIndex returns the index, from 0 to n-1, at which a router begins to go round n others, so that not all routers
// begin with the same one.
func StartIndex(self, duty string, n int) int { return int(score(self, duty, saltStart) * float64(n)) }
