package policy

import "time"

// slidingSum is a sum of values over a sliding time window, which advances in steps of a twentieth of its length.
type slidingSum struct {
	step     time.Duration
	slots    [20]float64 // ring buffer, indexed by step number modulo its length
	total    float64
	lastStep int64 // number of the step at the latest call
}

func newSlidingSum(window time.Duration) slidingSum {
	return slidingSum{step: window / time.Duration(len(slidingSum{}.slots))}
}

// advance drops the values that have left the window.
func (s *slidingSum) advance(now time.Duration) {
	slots := int64(len(s.slots))
	current := int64(now / s.step)
	if current-s.lastStep >= slots { // all values have left the window
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
