// Package placement is the choices of many routers that have to add up: which page caches each holds to, when each takes
// its turn, and which of them use a new page cache first. All follow from names alone, the same for all who know the same
// names; nothing here does I/O, reads a clock or draws chance.
package placement

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"time"
)

// How many routers may choose one page cache, over the mean: at most, and mostly.
const (
	fair  = 1.25
	usual = 1.15
)

// score is a number between 0 and 1 for a pair of names. Salt keeps unlike choices apart.
func score(a, b, salt string) float64 {
	h := fnv.New64a()
	for _, s := range []string{salt, a, b} {
		_, _ = h.Write([]byte(s)) // it never fails
		_, _ = h.Write([]byte{0})
	}
	x := h.Sum64() // its last bytes move only the low bits: mix them up
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	x ^= x >> 31
	return (float64(x>>11) + 0.5) / (1 << 53)
}

// SubsetSize is how many page caches each router should choose, at least want, so that the bound of routers for each page cache
// is over the mean by half a one: without such room a page cache that is full pushes others aside in a long chain. It
// is to be kept as routers come and go: another figure moves all.
func SubsetSize(routers, caches, want int) int {
	for k := max(want, 1); k < caches; k++ {
		if mean := float64(k*routers) / float64(caches); math.Floor(fair*mean) >= mean+0.5 {
			return k
		}
	}
	return caches
}

// most is how many routers may choose a page cache, of so many that choose k each: some 15% over the mean, and never over
// the fair share. What is left of a whole number counts for some page caches and not for others, by their names: so the
// bound of few changes as routers come and go, not that of all at once.
func most(routers, caches, k int, cache string) int {
	mean := float64(k*routers) / float64(max(caches, 1))
	return int(min(math.Floor(usual*mean+score(cache, "", "bound")), max(math.Ceil(mean), math.Floor(fair*mean))))
}

// pair is a router that may choose a page cache.
type pair struct {
	router, cache int
	score         float64
}

// Subsets returns the page caches that each router holds to, k for each, or all where there are no more, by their places in
// caches, in order. Names must not stand twice; their order does not matter to who gets whom.
//
// It is the highest-score hash with a bound: pairs are taken from the highest score down, as long as the router has fewer
// than k and the page cache is under its bound. Both sides hold the same score for a pair, so there is one result that no
// pair would rather leave, whoever computes it, and a name that comes or goes moves few others. A router that all bounds
// leave short takes the page caches that fewest have chosen.
func Subsets(routers, caches []string, k int) [][]int {
	k = min(k, len(caches))
	out, load, bound := make([][]int, len(routers)), make([]int, len(caches)), make([]int, len(caches))
	for c, cache := range caches {
		bound[c] = most(len(routers), len(caches), k, cache)
	}
	pairs := make([]pair, 0, len(routers)*len(caches))
	for r, router := range routers {
		for c, cache := range caches {
			pairs = append(pairs, pair{r, c, score(router, cache, "subset")})
		}
	}
	slices.SortFunc(pairs, func(a, b pair) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(routers[a.router], routers[b.router]), cmp.Compare(caches[a.cache], caches[b.cache]))
	})
	for _, p := range pairs {
		if len(out[p.router]) < k && load[p.cache] < bound[p.cache] {
			out[p.router] = append(out[p.router], p.cache)
			load[p.cache]++
		}
	}
	for r := range out {
		for len(out[r]) < k {
			least := -1
			for c := range caches {
				if !slices.Contains(out[r], c) && (least < 0 || load[c] < load[least] || load[c] == load[least] &&
					score(routers[r], caches[c], "subset") > score(routers[r], caches[least], "subset")) {
					least = c
				}
			}
			out[r] = append(out[r], least)
			load[least]++
		}
		slices.Sort(out[r])
	}
	return out
}

// SubsetOf returns the names of the page caches that one of the routers holds to; nothing where it is not among them.
func SubsetOf(self string, routers, caches []string, k int) (names []string) {
	if i := slices.Index(routers, self); i >= 0 {
		for _, c := range Subsets(routers, caches, k)[i] {
			names = append(names, caches[c])
		}
	}
	return names
}

// place is how many of the known routers come before one in the order that a duty's name draws; -1 where it is not among
// them, or knows no others.
func place(self, duty string, routers []string) (before int) {
	if len(routers) < 2 || !slices.Contains(routers, self) {
		return -1
	}
	own := score(self, duty, "turn")
	for _, r := range routers {
		if s := score(r, duty, "turn"); s < own || s == own && r < self {
			before++
		}
	}
	return before
}

// Assign names the router that comes first at a duty, the same for all who know the same names; empty where there are none.
func Assign(duty string, routers []string) (first string) {
	best := 2.0
	for _, r := range routers {
		if s := score(r, duty, "turn"); s < best || s == best && r < first {
			best, first = s, r
		}
	}
	return first
}

// StartIndex is the place at which a router begins to go round n others, so that not all begin with the same one.
func StartIndex(self, duty string, n int) int { return int(score(self, duty, "start") * float64(n)) }

// PhaseOffset is when in each period a router takes its turn at a duty: the routers that are known share the period evenly, in
// an order that the duty's name draws, so that not the same one is always first. A router that knows no others, or is not
// among those it knows, draws its place from its own name: then the turns are spread by chance.
func PhaseOffset(self, duty string, routers []string, period time.Duration) time.Duration {
	if before := place(self, duty, routers); before >= 0 {
		return period * time.Duration(before) / time.Duration(len(routers))
	}
	return time.Duration(float64(period) * score(self, duty, "turn"))
}

// NextRun is the first turn after a time that is not over yet, counted on any clock that routers share, or each on its own.
func NextRun(now, turn, period time.Duration) time.Duration {
	if period <= 0 {
		return now
	}
	at := now - now%period + turn%period
	if at <= now {
		at += period
	}
	return at
}

// JoinedWarmUp tells whether a router may use a page cache so long after that has started. The routers come in one after the
// other over a time, in an order that the page cache's name draws: the first ones send it enough each to warm it, where a
// tiny part from each of all would come in step. Of those who are known, exactly their share has come in; a router that
// knows no others goes by its own draw, and the share is right on average.
func JoinedWarmUp(self, cache string, routers []string, age, over time.Duration) bool {
	if before := place(self, "ramp "+cache, routers); before >= 0 {
		return before < in(len(routers), age, over)
	}
	return age >= over || score(self, "ramp "+cache, "turn") <= float64(max(age, 0))/float64(over)
}

// in is how many of so many known routers have come in.
func in(n int, age, over time.Duration) int {
	if age >= over {
		return n
	}
	return min(n, int(float64(n)*float64(max(age, 0))/float64(over))+1)
}

// WarmUpShare is what a router may spend of what a page cache bears from all routers, as it ramps up: those who have come in share
// it. Where only a guess of all routers is known, up to four deviations more than on average may have come in.
func WarmUpShare(routers []string, guess int, age, over time.Duration) float64 {
	if n := len(routers); n > 1 {
		return 1 / float64(in(n, age, over))
	}
	n, part := float64(max(guess, 1)), 1.0
	if age < over {
		part = float64(max(age, 0)) / float64(over)
	}
	return 1 / max(1, min(n, part*n+4*math.Sqrt(max(part*n*(1-part), 1))))
}

// Backoff is how long a router waits before its next try of something that has failed so often: drawn between the least
// wait and three times the last one, up to a bound (decorrelated jitter). The draw follows from names, so a router that
// restarts in the middle of a storm does not fall in step with others that do.
func Backoff(self, duty string, failures int, least, most time.Duration) time.Duration {
	wait := least
	for i := range min(failures, 64) {
		high := min(3*wait, most)
		wait = least + time.Duration(float64(max(high-least, 0))*score(self, duty+string(rune('0'+i)), "backoff"))
	}
	return min(wait, most)
}
