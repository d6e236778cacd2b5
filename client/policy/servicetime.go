package policy

import "time"

const serviceTimePeriod = 10 * time.Second

// serviceTime holds the shortest times in which a request of a class was served, in the current period and in the one
// before it. An attempt with less time left can't succeed and is not made.
type serviceTime struct {
	current, previous time.Duration // 0: no request was served
	periodEnd         time.Duration
}

// advance begins a new period if the current one is over.
func (s *serviceTime) advance(now time.Duration) {
	if now < s.periodEnd {
		return
	}
	s.previous, s.current = s.current, 0
	if now >= s.periodEnd+serviceTimePeriod {
		s.previous = 0
	}
	s.periodEnd = now + serviceTimePeriod
}

func (s *serviceTime) record(now, took time.Duration) {
	s.advance(now)
	if s.current == 0 || took < s.current {
		s.current = took
	}
}

// minimum returns the shortest time in which a request was served recently, but at least the given floor.
func (s *serviceTime) minimum(now, floor time.Duration) time.Duration {
	s.advance(now)
	shortest := s.current
	if shortest == 0 || s.previous > 0 && s.previous < shortest {
		shortest = s.previous
	}
	return max(shortest, floor)
}

// minServiceTime returns the least time that an attempt of the call needs.
func (p *Policy) minServiceTime(call *Call) time.Duration {
	return p.classes[call.class].minimum(p.now, p.settings.LeastTime)
}
