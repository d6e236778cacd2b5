package policy

import "time"

// retryBudget bounds the retries of all calls in a sliding window to a ratio of the first attempts in the window plus
// a small floor. Without it, the retries of all calls would multiply the load on routers that are already overloaded.
type retryBudget struct {
	ratio, floor           float64
	firstAttempts, retries slidingSum
}

func (b *retryBudget) recordFirstAttempt(now time.Duration) { b.firstAttempts.add(now, 1) }

// take uses one retry of the budget. It returns false if none is left.
func (b *retryBudget) take(now time.Duration) bool {
	if b.retries.sum(now)+1 > b.floor+b.ratio*b.firstAttempts.sum(now) {
		return false
	}
	b.retries.add(now, 1)
	return true
}
