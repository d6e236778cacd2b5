package policy

import (
	"math/rand/v2"
	"time"
)

// sums counts two things over a window that slides by a twentieth of it.
type sums struct {
	slots [20]struct{ a, b float64 }
	a, b  float64
	turn  int64 // number of the latest slot's period
}

func (s *sums) slide(now, window time.Duration) int {
	n := int64(len(s.slots))
	turn := int64(now / (window / time.Duration(n)))
	for range min(max(turn-s.turn, 0), n) {
		s.turn++
		old := &s.slots[s.turn%n]
		s.a, s.b = s.a-old.a, s.b-old.b
		old.a, old.b = 0, 0
	}
	if turn > s.turn { // all is out of the window
		s.turn = turn
		s.slots[turn%n].a, s.slots[turn%n].b, s.a, s.b = 0, 0, 0, 0
	}
	return int(s.turn % n)
}

func (s *sums) add(now, window time.Duration, a, b float64) {
	i := s.slide(now, window)
	s.slots[i].a, s.slots[i].b = s.slots[i].a+a, s.slots[i].b+b
	s.a, s.b = s.a+a, s.b+b
}

// budget bounds the retries of all calls together, to a share of the first tries of a window and a small floor.
type budget struct {
	share, floor float64
	window       time.Duration
	seen         sums // first tries, retries
}

func (b *budget) first(now time.Duration) { b.seen.add(now, b.window, 1, 0) }

func (b *budget) take(now time.Duration) bool {
	b.seen.slide(now, b.window)
	if b.seen.b+1 > b.floor+b.share*b.seen.a {
		return false
	}
	b.seen.add(now, b.window, 0, 1)
	return true
}

// throttle refuses calls here while routers refuse nearly all they get. It guards the routers against work for
// refusals, and the callers' link against what comes to nothing. One call at a time is let through all the same, so
// that the end of the storm is seen.
type throttle struct {
	set    *Settings
	rnd    *rand.Rand
	seen   sums          // ended calls and those refused here, those accepted by routers
	streak int           // accepted one after the other
	probed time.Duration // when a call was last let through for that alone
	from   time.Duration // when the ramp began; 0: there is none
}

// excess is the share of calls that is to be refused here.
func (t *throttle) excess(now time.Duration) float64 {
	t.seen.slide(now, t.set.ThrottleWindow)
	if t.from > 0 {
		if now < t.from+t.set.Ramp {
			return 0.8 * (1 - float64(now-t.from)/float64(t.set.Ramp))
		}
		t.from = 0
	}
	if t.seen.a < float64(t.set.ThrottleLeast) {
		return 0
	}
	return max(0, (t.seen.a-t.set.ThrottleOver*t.seen.b)/(t.seen.a+1))
}

// admit tells whether a new call may go on.
func (t *throttle) admit(now time.Duration) bool {
	over := t.excess(now)
	if over <= 0 || t.rnd.Float64() >= over {
		return true
	}
	if now >= t.probed+t.set.ProbeEvery {
		t.probed = now
		return true
	}
	t.seen.add(now, t.set.ThrottleWindow, 1, 0)
	return false
}

// steady tells whether nothing is refused here now.
func (t *throttle) steady(now time.Duration) bool { return t.excess(now) <= 0 }

// answered takes a router's answer to a call.
func (t *throttle) answered(now time.Duration, accepted bool) {
	if !accepted {
		t.streak, t.from = 0, 0
		t.seen.add(now, t.set.ThrottleWindow, 1, 0)
		return
	}
	t.streak++
	storm := t.from == 0 && t.excess(now) > 0
	enough := 2
	if t.seen.b > 2 { // routers accept a part all the time: two in a row say little
		enough = 8
	}
	if storm && t.streak >= enough { // it is over: what was before says nothing any more
		t.seen = sums{}
		t.from = now
	}
	t.seen.add(now, t.set.ThrottleWindow, 1, 1)
}
