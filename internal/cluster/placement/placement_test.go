package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

func names(prefix string, from, n int) (out []string) {
	for i := range n {
		out = append(out, fmt.Sprintf("%s%d", prefix, from+i))
	}
	return out
}

// stats are how even a choice is, and the pairs that it holds.
func stats(routers, caches []string, k int) (maxMean float64, held map[[2]string]bool) {
	load, held := map[int]int{}, map[[2]string]bool{}
	top := 0
	for r, cs := range Subsets(routers, caches, k) {
		for _, c := range cs {
			load[c]++
			top = max(top, load[c])
			held[[2]string{routers[r], caches[c]}] = true
		}
	}
	return float64(top) * float64(len(caches)) / float64(len(held)), held
}

// moved is the share of pairs that both sides of a change could have kept and that one of them has not.
func moved(a, b map[[2]string]bool, gone string) float64 {
	n, all := 0, 0
	for p := range a {
		if p[0] != gone && p[1] != gone {
			all++
			if !b[p] {
				n++
			}
		}
	}
	return float64(n) / float64(all)
}

// Each page cache is chosen by at most a quarter more routers than the mean, each router has as many as it should, and a
// name that comes or goes moves no more than twice its share. The sizes are those of the smallest and largest fleets.
func TestSubsets(t *testing.T) {
	for _, c := range []struct{ routers, caches, want int }{{9, 12, 4}, {9, 20, 6}, {5, 8, 3}, {20, 14, 5}, {60, 40, 8}, {300, 200, 20}, {300, 200, 8}} {
		k := SubsetSize(c.routers, c.caches, c.want)
		rs, cs := names("r", 0, c.routers), names("s", 0, c.caches)
		even, held := stats(rs, cs, k)
		if even > fair || len(held) != c.routers*min(k, c.caches) {
			t.Errorf("%+v: %.2f of the mean, %d pairs with %d each", c, even, len(held), k)
		}
		worst := [4]float64{}
		for i := range 5 {
			router, cache := fmt.Sprintf("new%d", i), fmt.Sprintf("fresh%d", i)
			_, join := stats(append(slices.Clone(rs), router), cs, k)
			_, leave := stats(slices.Delete(slices.Clone(rs), i, i+1), cs, k)
			_, start := stats(rs, append(slices.Clone(cs), cache), k)
			_, end := stats(rs, slices.Delete(slices.Clone(cs), i, i+1), k)
			for j, m := range []float64{moved(held, join, ""), moved(held, leave, rs[i]), moved(held, start, ""), moved(held, end, cs[i])} {
				worst[j] = max(worst[j], m)
			}
		}
		t.Logf("%+v: %d each, max/mean %.2f, moved as a router joins %.4f, leaves %.4f (2/N %.4f), as a cache starts %.4f, ends %.4f (2/M %.4f)",
			c, k, even, worst[0], worst[1], 2/float64(c.routers), worst[2], worst[3], 2/float64(c.caches))
		if worst[0] > 2/float64(c.routers) || worst[1] > 2/float64(c.routers) || worst[2] > 3/float64(c.caches) || worst[3] > 3/float64(c.caches) {
			t.Errorf("%+v: moved %v", c, worst)
		}
	}
}

// Who computes it, in whatever order the names came, finds the same.
func TestSubsetsAgree(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	rs, cs := names("r", 0, 9), names("s", 0, 14)
	want := map[string][]string{}
	for _, r := range rs {
		want[r] = SubsetOf(r, rs, cs, 5)
		slices.Sort(want[r])
	}
	for range 50 {
		rnd.Shuffle(len(rs), func(i, j int) { rs[i], rs[j] = rs[j], rs[i] })
		rnd.Shuffle(len(cs), func(i, j int) { cs[i], cs[j] = cs[j], cs[i] })
		for _, r := range rs {
			got := SubsetOf(r, rs, cs, 5)
			if slices.Sort(got); !slices.Equal(got, want[r]) {
				t.Fatalf("%s finds %v, and %v in another order", r, want[r], got)
			}
		}
	}
}

// Odd sizes neither fail nor leave a router short.
func TestOddSizes(t *testing.T) {
	for n := range 7 {
		for m := range 7 {
			for k := range 9 {
				for _, own := range Subsets(names("r", 0, n), names("s", 0, m), k) {
					if len(own) != min(k, m) {
						t.Errorf("%d routers, %d caches, %d each: one has %v", n, m, k, own)
					}
				}
			}
		}
	}
	if SubsetOf("stranger", names("r", 0, 3), names("s", 0, 3), 2) != nil {
		t.Error("a router that is not among them has a subset")
	}
}

// Known routers share a period evenly; unknown ones are spread by chance; each duty has an order of its own.
func TestTurns(t *testing.T) {
	rs, first := names("r", 0, 9), map[string]bool{}
	for d := range 20 {
		duty, seen := fmt.Sprint("duty", d), map[time.Duration]bool{}
		for _, r := range rs {
			at := PhaseOffset(r, duty, rs, 9*time.Second)
			if seen[at] || at%time.Second != 0 {
				t.Errorf("%s at %v of nine", r, at)
			}
			if seen[at] = true; at == 0 {
				first[r] = true
			}
		}
	}
	if len(first) < 5 {
		t.Errorf("the same are always first: %v", first)
	}
	tenth := [10]int{}
	for _, r := range names("r", 0, 300) {
		tenth[int(PhaseOffset(r, "x", nil, time.Second)*10/time.Second)]++
	}
	if top := slices.Max(tenth[:]); top > 50 {
		t.Errorf("of 300 routers that know no others, %d come in one tenth: %v", top, tenth)
	}
	if at := NextRun(2500*time.Millisecond, 200*time.Millisecond, time.Second); at != 3200*time.Millisecond {
		t.Errorf("next turn at %v", at)
	}
}

// What routers that ramp up may send a new page cache adds up to no more than it bears, whether they know each other or go
// by a guess, and is never nothing once the ramp has begun.
func TestRampAddsUp(t *testing.T) {
	for _, known := range []bool{true, false} {
		for i := range 200 {
			cache, rs := fmt.Sprint("s", i), names("r", 0, 9+i%292)
			list := rs
			if !known {
				list = nil
			}
			for age := time.Duration(0); age <= 10*time.Second; age += 500 * time.Millisecond {
				sum := 0.0
				for _, r := range rs {
					if JoinedWarmUp(r, cache, list, age, 10*time.Second) {
						sum += WarmUpShare(list, len(rs), age, 10*time.Second)
					}
				}
				if sum > 1.0001 || known && sum < 0.9 {
					t.Errorf("%d routers, known %v, %v after the start of %s: %.3f of what it bears", len(rs), known, age, cache, sum)
				}
			}
		}
	}
}

// Waits stay within their bounds, grow, and are not in step.
func TestBackoff(t *testing.T) {
	seen := map[time.Duration]int{}
	for _, r := range names("r", 0, 300) {
		for failures := range 12 {
			w := Backoff(r, "journal", failures, 25*time.Millisecond, 2*time.Second)
			if w < 25*time.Millisecond || w > 2*time.Second {
				t.Fatalf("%s waits %v after %d failures", r, w, failures)
			}
			if failures == 8 {
				seen[w/(20*time.Millisecond)]++
			}
		}
	}
	for at, n := range seen {
		if n > 60 {
			t.Errorf("%d of 300 wait about %v", n, at*20*time.Millisecond)
		}
	}
}
