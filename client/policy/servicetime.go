package policy

import "time"

const serviceTimePeriod = 10 * time.Second

// serviceTime is the quickest that requests of a class were served in the current period and the one before it. An
// attempt with less time left than that can't succeed, and is not made.
type serviceTime struct {
	current, previous time.Duration // 0: none was served
	periodEnd         time.Duration
}

// advance begins a new period where the current one is over.
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

// minimum returns the least time in which a request may be served, and at least the given floor.
func (s *serviceTime) minimum(now, floor time.Duration) time.Duration {
	s.advance(now)
	shortest := s.current
	if shortest == 0 || s.previous > 0 && s.previous < shortest {
		shortest = s.previous
	}
	return max(shortest, floor)
}

// minServiceTime is the least time that an attempt of the call needs.
func (p *Policy) minServiceTime(call *Call) time.Duration {
	return p.classes[call.class].minimum(p.now, p.settings.LeastTime)
}
