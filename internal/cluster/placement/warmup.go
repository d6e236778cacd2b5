package placement

import (
	"math"
	"time"
)

const warmUpDutyPrefix = "ramp " // followed by the id of the endpoint

// JoinedWarmUp reports whether a router may use an endpoint that started age ago and warms up for the time warmUp. The
// routers join one after the other, in an order that depends on the endpoint. Each of the first ones then sends enough
// requests to warm it, whereas a tiny part from every router would arrive all at once. The fraction of the known routers
// that have joined is the fraction of the warm-up that has passed, plus at most one router. A router that knows no others
// compares the fraction that has passed with its own score, so that the right fraction of routers has joined on average.
func JoinedWarmUp(self, endpoint string, routers []string, age, warmUp time.Duration) bool {
	duty := warmUpDutyPrefix + endpoint
	if r := rank(self, duty, routers); r != unknownRank {
		return r < joinedRouters(len(routers), age, warmUp)
	}
	return age >= warmUp || score(self, duty, saltDuty) <= elapsedFraction(age, warmUp)
}

// joinedRouters returns how many of n known routers have joined.
func joinedRouters(n int, age, warmUp time.Duration) int {
	if age >= warmUp {
		return n
	}
	return min(n, int(float64(n)*float64(max(age, 0))/float64(warmUp))+1)
}

// elapsedFraction returns the fraction of a warm-up that has passed. The caller must check that the warm-up has not ended.
func elapsedFraction(age, warmUp time.Duration) float64 {
	return float64(max(age, 0)) / float64(warmUp)
}

// joinedMarginDeviations is how many standard deviations above the mean the number of joined routers may be, if the routers
// don't know each other.
const joinedMarginDeviations = 4

// WarmUpQuota returns the fraction of an endpoint's capacity that a router that has joined may use. The routers that have
// joined share the capacity. If only an estimate of the number of routers is known, the capacity is divided by
// the number that have joined on average plus joinedMarginDeviations standard deviations: with near certainty, no more
// routers have joined.
func WarmUpQuota(routers []string, estimate int, age, warmUp time.Duration) float64 {
	if n := len(routers); n > 1 {
		return 1 / float64(joinedRouters(n, age, warmUp))
	}
	fraction := 1.0
	if age < warmUp {
		fraction = elapsedFraction(age, warmUp)
	}
	n := float64(max(estimate, 1))
	deviation := math.Sqrt(max(fraction*n*(1-fraction), 1))
	return 1 / max(1, min(n, fraction*n+joinedMarginDeviations*deviation))
}
