package loadtest

import (
	"math"
	"slices"
	"time"
)

// checkSlowStart checks that all routers together sent no page cache that warmed up more than it bears. What it bears is a
// multiple of what it can do by then, which is a part of what the warm ones are sent.
func (h *soakHistory) checkSlowStart(report reportViolation) {
	arrivals := map[string][]*soakAttempt{} // by page cache, in order
	for _, a := range h.attempts {
		arrivals[a.cache] = append(arrivals[a.cache], a)
	}
	for _, attempts := range arrivals {
		slices.SortFunc(attempts, func(a, b *soakAttempt) int { return a.arrived.Compare(b.arrived) })
	}
	warmPeak := h.maxWhileWarm(arrivals)
	for cache, starts := range h.returns {
		for _, started := range starts {
			h.checkWarmUp(cache, started, warmPeak, arrivals[cache], report)
		}
	}
}

// maxWhileWarm returns the most attempts that a page cache that was warm got within overloadWindow.
func (h *soakHistory) maxWhileWarm(arrivals map[string][]*soakAttempt) (most int) {
	for cache, attempts := range arrivals {
		for first := range attempts {
			if !h.warmingUp(cache, attempts[first].arrived) {
				most = max(most, countWithin(attempts[first:], overloadWindow))
			}
		}
	}
	return most
}

// warmingUp reports whether a page cache had started anew shortly before a time.
func (h *soakHistory) warmingUp(cache string, at time.Time) bool {
	return slices.ContainsFunc(h.returns[cache], func(started time.Time) bool {
		return !at.Before(started) && at.Sub(started) < slowStart
	})
}

// countWithin returns how many attempts arrived within a time from the first one on.
func countWithin(attempts []*soakAttempt, length time.Duration) int {
	end := attempts[0].arrived.Add(length)
	count := slices.IndexFunc(attempts, func(a *soakAttempt) bool { return a.arrived.After(end) })
	if count < 0 {
		return len(attempts)
	}
	return count
}

// checkWarmUp checks one start of a page cache: each window in which it got too much is a violation if more than two thirds of
// that came from routers that had been notified of the start. Only the first is reported.
func (h *soakHistory) checkWarmUp(
	cache string, started time.Time, warmPeak int, attempts []*soakAttempt, report reportViolation,
) {
	for first, a := range attempts {
		age := a.arrived.Sub(started)
		if age < 0 || age >= slowStart {
			continue
		}
		window := attempts[first:][:countWithin(attempts[first:], overloadWindow)]
		allowed := warmUpAllowance(age, warmPeak)
		if notified := h.countNotified(window, started); float64(len(window)) > allowed && 3*notified > 2*len(window) {
			report(a.arrived, "%s, %v after its start: %d attempts in %v, %d of routers that knew; it bears %.0f", cache, age,
				len(window), overloadWindow, notified, allowed)
			return
		}
	}
}

// warmUpAllowance returns how many attempts a page cache of an age bears within overloadWindow, with room for chance, where a warm
// one gets so many.
func warmUpAllowance(age time.Duration, warmPeak int) float64 {
	midpoint := min((age+overloadWindow/2).Seconds()/slowStart.Seconds(), 1)
	overloadLimit := soakOverloadFactor * (warmUpFrom + (1-warmUpFrom)*midpoint) * float64(warmPeak)
	const small, smallFactor, largeFactor = 30, 3, 2
	if overloadLimit < small {
		return overloadLimit + smallFactor*math.Sqrt(overloadLimit) + smallFactor
	}
	return overloadLimit + largeFactor*math.Sqrt(overloadLimit) + largeFactor
}

// countNotified returns how many attempts came from routers that should have been notified of a start by then.
func (h *soakHistory) countNotified(attempts []*soakAttempt, started time.Time) (count int) {
	for _, a := range attempts {
		r := h.requests[a.txn]
		count += countIf(r != nil && !a.arrived.Before(h.receiptTime(r.router, started, a.arrived)))
	}
	return count
}
