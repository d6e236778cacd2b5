package placement

import "time"

// PhaseOffset returns when a router performs a duty, as the time since the start of each period. The offsets of the known
// routers divide the period evenly, in an order that depends on the duty, so that the first router differs between
// duties. If a router knows no others, or is not among the known ones, its offset depends only on its own name and the
// duty: the offsets of many such routers are distributed evenly too.
func PhaseOffset(self, duty string, routers []string, period time.Duration) time.Duration {
	if r := rank(self, duty, routers); r != unknownRank {
		return period * time.Duration(r) / time.Duration(len(routers))
	}
	return time.Duration(float64(period) * score(self, duty, saltDuty))
}

// NextRun returns the first time after now that lies offset after the start of a period. If the period is 0 or less, it
// returns now. The routers may share a clock or have one each.
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

// maxBackoffSteps bounds the failures that Backoff takes into account. The wait reaches its maximum long before that.
const maxBackoffSteps = 64

// Backoff returns how long a router waits before it retries a duty after the given number of failures: between the
// shortest wait and three times the previous wait, but at most the longest (decorrelated jitter). The jitter depends on
// the names, so that routers that restart during an overload do not retry in step.
func Backoff(self, duty string, failures int, shortest, longest time.Duration) time.Duration {
	wait := shortest
	for i := range min(failures, maxBackoffSteps) {
		ceiling := min(3*wait, longest)
		step := duty + string(rune('0'+i))
		wait = shortest + time.Duration(float64(max(ceiling-shortest, 0))*score(self, step, saltBackoff))
	}
	return min(wait, longest)
}
