package chores

import (
	"fmt"
	"testing"
	"time"
)

// duty is what the simulated network saw of one chore.
type duty struct {
	last  time.Duration         // run under a lease
	alone map[int]time.Duration // last run of each instance that was alone
	runs  int
}

// perform runs what is due at an instance, and tells the others.
func (s *sim) perform(i int) {
	n, seen := s.nodes[i], s.duties
	now := n.clock(s.now)
	for _, r := range n.sched.Due(now) {
		d := seen[r.Key]
		if d == nil {
			d = &duty{alone: map[int]time.Duration{}}
			seen[r.Key] = d
		}
		least := time.Duration(0.9 * float64(r.Every) / (1 + n.set.Drift))
		if d.runs++; r.Alone {
			if last, ok := d.alone[i]; ok && s.now-last < least*time.Duration(len(s.nodes)) {
				s.t.Fatalf("seed %d, %v: %s run alone after %v", s.seed, s.now, r.Key, s.now-last)
			}
			d.alone[i] = s.now
			continue
		}
		if d.last > 0 && s.now-d.last < least {
			s.t.Fatalf("seed %d, %v: %s run after %v", s.seed, s.now, r.Key, s.now-d.last)
		}
		d.last = s.now
		res, tell := n.sched.Done(now, r, "fit")
		if !tell {
			s.t.Fatalf("seed %d: a result is not told", s.seed)
		}
		for j, to := range s.nodes {
			if j == i || s.cut[[2]int{i, j}] || s.rnd.Float64() < s.loss {
				continue
			}
			life := to.life
			s.after(time.Duration(s.rnd.Int64N(int64(s.most))), func() {
				if to.life == life && !to.dead && !to.paused {
					to.sched.Heard(to.clock(s.now), res)
				}
			})
		}
	}
}

// No chore is run more often than intended, whatever the network does; and in the end all are run again.
func TestSchedule(t *testing.T) {
	for seed := *first; seed < *first+uint64(*seeds); seed++ {
		s := newSim(t, seed, 3+int(seed%3), 4)
		seen := map[string]*duty{}
		s.duties = seen
		s.rough(9 * time.Second)
		most := 2*int(s.now/(800*ms)) + 2*len(s.nodes)
		for i := range 6 {
			if d := seen[fmt.Sprint("c", i)]; d == nil || s.now-d.last > 3*time.Second || d.runs > most {
				t.Fatalf("seed %d: chore %d: %+v at %v", seed, i, d, s.now)
			}
		}
	}
}

// Results of older epochs are dropped, and so are those of what is no chore; chores are bounded.
func TestResults(t *testing.T) {
	l, err := New(Defaults("a", 1, 1))
	if err != nil {
		t.Fatal(err)
	}
	s, now := NewSchedule(l, 1), time.Hour
	if over := s.Set("probe", []Chore{{Key: "x", Every: time.Second}}); over != 0 {
		t.Error(over)
	}
	for i, c := range []struct {
		r    Result
		news bool
	}{
		{Result{Kind: "probe", Key: "x", Epoch: 5, Age: 2 * time.Second, Verdict: "fit"}, true},
		{Result{Kind: "probe", Key: "x", Epoch: 4, Verdict: "old"}, false},
		{Result{Kind: "probe", Key: "x", Epoch: 5, Age: 3 * time.Second, Verdict: "old"}, false},
		{Result{Kind: "probe", Key: "x", Epoch: 5, Age: time.Second, Verdict: "unfit"}, true},
		{Result{Kind: "probe", Key: "y", Epoch: 9}, false},
		{Result{Kind: "probe", Key: "x", Epoch: 9, Age: -1}, false},
	} {
		if got := s.Heard(now, c.r); got != c.news {
			t.Errorf("result %d is news: %v", i, got)
		}
	}
	if v, age, ok := s.Verdict(now, "probe", "x"); !ok || v != "unfit" || age != time.Second {
		t.Errorf("%q, %v, %v", v, age, ok)
	}
	many := make([]Chore, choresMost+5)
	for i := range many {
		many[i] = Chore{Key: fmt.Sprint(i), Every: time.Second}
	}
	if over := s.Set("many", many); over != 6 || len(s.order) != choresMost {
		t.Errorf("%d too many, %d kept", over, len(s.order))
	}
	if s.Set("many", nil); len(s.order) != 1 {
		t.Errorf("%d left", len(s.order))
	}
}
