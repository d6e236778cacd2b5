package loadtest

import (
	"math"
	"slices"
	"time"
)

// checkSlowStart checks that all routers together sent no page cache more attempts than it can bear while it warmed up. The
// limit is a multiple of its capacity at that time, which is a fraction of the attempts that warm page caches receive.
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

// maxWhileWarm returns the maximum number of attempts that a warm page cache received within overloadWindow.
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

// warmingUp reports whether a page cache had restarted less than slowStart before a time.
func (h *soakHistory) warmingUp(cache string, at time.Time) bool {
	return slices.ContainsFunc(h.returns[cache], func(started time.Time) bool {
		return !at.Before(started) && at.Sub(started) < slowStart
	})
}

// countWithin returns how many attempts arrived within a length of time that begins with the first one.
func countWithin(attempts []*soakAttempt, length time.Duration) int {
	end := attempts[0].arrived.Add(length)
	count := slices.IndexFunc(attempts, func(a *soakAttempt) bool { return a.arrived.After(end) })
	if count < 0 {
		return len(attempts)
	}
	return count
}

// checkWarmUp checks one start of a page cache. A window in which it received too many attempts is a violation if more than
// two thirds of them came from routers that had been notified of the start. Only the first violation is reported.
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
			report(a.arrived, "%s, %v after its start: %d attempts in %v, %d of them from notified routers; the limit is %.0f",
				cache, age, len(window), overloadWindow, notified, allowed)
			return
		}
	}
}

// warmUpAllowance returns how many attempts a page cache may receive within overloadWindow at an age since its start, with a
// margin for chance, if a warm one receives warmPeak.
func warmUpAllowance(age time.Duration, warmPeak int) float64 {
	midpoint := min((age+overloadWindow/2).Seconds()/slowStart.Seconds(), 1)
	overloadLimit := soakOverloadFactor * (warmUpFrom + (1-warmUpFrom)*midpoint) * float64(warmPeak)
	const small, smallFactor, largeFactor = 30, 3, 2
	if overloadLimit < small {
		return overloadLimit + smallFactor*math.Sqrt(overloadLimit) + smallFactor
	}
	return overloadLimit + largeFactor*math.Sqrt(overloadLimit) + largeFactor
}

// countNotified returns how many attempts came from routers that should have been notified of a start when the attempt
// arrived.
func (h *soakHistory) countNotified(attempts []*soakAttempt, started time.Time) (count int) {
	for _, a := range attempts {
		r := h.requests[a.txn]
		count += countIf(r != nil && !a.arrived.Before(h.receiptTime(r.router, started, a.arrived)))
	}
	return count
}
