package placement

import "time"

// PhaseOffset returns when in each period a router does a duty: the known routers share the period evenly, in an order
// that depends on the duty, so that not the same router is always first. A router that knows no others, or is not among
// those it knows, takes an offset from its own name: over many routers, these are spread evenly too.
func PhaseOffset(self, duty string, routers []string, period time.Duration) time.Duration {
	if r := rank(self, duty, routers); r != unknownRank {
		return period * time.Duration(r) / time.Duration(len(routers))
	}
	return time.Duration(float64(period) * score(self, duty, saltDuty))
}

// NextRun returns the first time after now that is offset after the begin of a period. The routers may share a clock or
// have one each.
func NextRun(now, offset, period time.Duration) time.Duration {
	if period <= 0 {
		return now
	}
	next := now - now%period + offset%period
	if next <= now {
		next += period
	}
	return next
}

// maxBackoffSteps bounds the failures that Backoff takes into account: the wait has long reached its maximum by then.
const maxBackoffSteps = 64

// Backoff returns how long a router waits before it retries something that has failed so often: between the shortest
// wait and three times the previous one, up to the longest (decorrelated jitter). The jitter follows from names, so
// that routers that restart in the middle of an overload do not get in step.
func Backoff(self, duty string, failures int, shortest, longest time.Duration) time.Duration {
	wait := shortest
	for i := range min(failures, maxBackoffSteps) {
		ceiling := min(3*wait, longest)
		step := duty + string(rune('0'+i))
		wait = shortest + time.Duration(float64(max(ceiling-shortest, 0))*score(self, step, saltBackoff))
	}
	return min(wait, longest)
}
