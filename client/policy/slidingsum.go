package policy

import "time"

// slidingSum adds up values over a window of time that slides in steps of a twentieth of it.
type slidingSum struct {
	step     time.Duration
	slots    [20]float64 // a ring, by number of the step
	total    float64
	lastStep int64 // number of the latest step that was seen
}

func newSlidingSum(window time.Duration) slidingSum {
	return slidingSum{step: window / time.Duration(len(slidingSum{}.slots))}
}

// advance drops what has left the window.
func (s *slidingSum) advance(now time.Duration) {
	slots := int64(len(s.slots))
	current := int64(now / s.step)
	if current-s.lastStep >= slots { // nothing of it is left
		*s = slidingSum{step: s.step, lastStep: current}
		return
	}
	for s.lastStep < current {
		s.lastStep++
		slot := &s.slots[s.lastStep%slots]
		s.total -= *slot
		*slot = 0
	}
}

func (s *slidingSum) add(now time.Duration, value float64) {
	s.advance(now)
	s.slots[s.lastStep%int64(len(s.slots))] += value
	s.total += value
}

// sum returns the total of the window that ends now.
func (s *slidingSum) sum(now time.Duration) float64 {
	s.advance(now)
	return s.total
}
