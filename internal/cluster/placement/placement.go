// Package placement makes the choices on which the routers of a cluster must agree, or which must add up over all of
// them: which endpoints each router uses, when each performs a periodic duty, and which routers use an endpoint first
// while it warms up. A choice depends on names only and is the same for all routers that know the same names. The
// package is pure: no I/O, no clock, no randomness. docs/design/fleet-choices.md has the reasons and the measurements.
package placement

import (
	"hash/fnv"
	"slices"
)

// Salts make the scores of different kinds of choices independent. Routers of other releases use the same salts.
const (
	saltSubset  = "subset"
	saltBound   = "bound"
	saltDuty    = "turn"
	saltStart   = "start"
	saltBackoff = "backoff"
)

// score returns a number between 0 and 1 for a pair of names. The scores of all pairs are distributed evenly.
func score(a, b, salt string) float64 {
	h := fnv.New64a()
	for _, s := range []string{salt, a, b} {
		_, _ = h.Write([]byte(s)) // the hash never returns an error
		_, _ = h.Write([]byte{0})
	}
	// The last bytes written change only the low bits of an FNV sum, so mix them with the finalizer of SplitMix64.
	x := h.Sum64()
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	x ^= x >> 31
	return (float64(x>>11) + 0.5) / (1 << 53)
}

// precedes reports whether router a precedes router b in the order for a duty. Routers with equal scores are ordered by
// name.
func precedes(a, b string, scoreA, scoreB float64) bool {
	return scoreA < scoreB || scoreA == scoreB && a < b
}

// unknownRank is the rank of a router that is not among the known routers, or that knows no others.
const unknownRank = -1

// rank returns how many of the known routers precede self in the order for a duty, or unknownRank.
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

// Assign returns the router that a duty is assigned to by rendezvous hashing. It is the same for all routers that know
// the same names, and "" if there are no routers.
func Assign(duty string, routers []string) string {
	assigned, lowest := "", 2.0 // above every score
	for _, router := range routers {
		if s := score(router, duty, saltDuty); precedes(router, assigned, s, lowest) {
			assigned, lowest = router, s
		}
	}
	return assigned
}

// StartIndex returns the index, from 0 to count-1, at which a router starts to iterate over count others, so that not all
// routers start with the same one.
func StartIndex(self, duty string, count int) int {
	return int(score(self, duty, saltStart) * float64(count))
}
