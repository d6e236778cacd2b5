package placement

import (
	"math"
	"time"
)

const warmUpDutyPrefix = "ramp " // the id of the endpoint follows

// JoinedWarmUp returns whether a router may use an endpoint that started age ago and warms up warmUp a time. The
// routers join one after the other, in an order that depends on the endpoint: the first ones send it enough each to
// warm it, where a tiny part from each router would come all at once. Of known routers exactly the fraction of the
// time that has passed has joined. A router that knows no others goes by its own score, so that the fraction is right
// on average.
func JoinedWarmUp(self, endpoint string, routers []string, age, warmUp time.Duration) bool {
	duty := warmUpDutyPrefix + endpoint
	if r := rank(self, duty, routers); r != unknownRank {
		return r < joinedRouters(len(routers), age, warmUp)
	}
	return age >= warmUp || score(self, duty, saltDuty) <= elapsedFraction(age, warmUp)
}

// joinedRouters is how many of so many known routers have joined.
func joinedRouters(n int, age, warmUp time.Duration) int {
	if age >= warmUp {
		return n
	}
	return min(n, int(float64(n)*float64(max(age, 0))/float64(warmUp))+1)
}

// elapsedFraction is the part of a warm-up that has passed. Its caller has seen that it has not ended.
func elapsedFraction(age, warmUp time.Duration) float64 {
	return float64(max(age, 0)) / float64(warmUp)
}

// joinedMarginDeviations is how many standard deviations more routers than on average may have joined, where they don't know
// each other.
const joinedMarginDeviations = 4

// WarmUpQuota returns the fraction of an endpoint's capacity that a router which has joined may use. The routers that
// have joined share it. Where they are not known but for an estimate of their number, so many share it as have joined
// with near certainty at most.
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
