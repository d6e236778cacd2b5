package policy

import (
	"math"
	"time"
)

const (
	// loadDecayTime is the time constant with which a router's load estimate decays.
	loadDecayTime = 2 * time.Second

	// Weights of the latest sample in moving averages. A slower response has more weight than a quicker one.
	slowerWeight        = 0.3
	quickerWeight       = 0.1
	successRateWeight   = 0.1
	routerLatencyWeight = 0.05

	// Lower bounds that keep a router's expected cost above zero and finite.
	minLatency     = 1e-4 // seconds
	minSuccessRate = 0.02
)

// router holds the state of one router.
type router struct {
	index        int
	conns        []*Conn
	inFlight     int // calls on its connections
	load         loadEstimate
	rejectsUntil time.Duration // end of its Retry-After: the router gets no calls before
	outlier      outlierState
	dial         dialState
	timer        timer
}

// loadEstimate is the load of a router as estimated from its responses.
type loadEstimate struct {
	latency      float64 // moving average over served and invalid requests, in seconds; 0: unknown
	successRate  float64 // moving average of the share of served and invalid requests; timeouts count as failures; 0 to 1
	lastResponse time.Duration
}

// usable reports whether the router may get calls now.
func (r *router) usable(now time.Duration) bool {
	return now >= r.outlier.ejectedUntil && now >= r.rejectsUntil
}

// leastLoaded returns the ready connection with the fewest calls in flight among those below capacity, or nil.
func (r *router) leastLoaded(capacity int) *Conn {
	var best *Conn
	for _, conn := range r.conns {
		if conn.state == connReady && conn.inFlight < capacity && (best == nil || conn.inFlight < best.inFlight) {
			best = conn
		}
	}
	return best
}

// recordResponse updates the load estimate with the time that a response took and its result.
func (r *router) recordResponse(now, took time.Duration, result Result) {
	r.load.lastResponse = now
	if result != ResultServed && result != ResultInvalid {
		r.recordSuccessRate(0)
		return
	}
	switch sample := took.Seconds(); {
	case r.load.latency == 0:
		r.load.latency = sample
	case sample > r.load.latency:
		r.load.latency += slowerWeight * (sample - r.load.latency)
	default:
		r.load.latency += quickerWeight * (sample - r.load.latency)
	}
	r.recordSuccessRate(1)
}

func (r *router) recordSuccessRate(sample float64) {
	r.load.successRate += successRateWeight * (sample - r.load.successRate)
}

// expectedCost returns the expected cost of a call at a router, which is lower the sooner the call is likely to be
// served. A router that rejects responds quickly, so its responses count as slower the fewer calls it serves. The
// estimate decays so that the router is tried again; without an estimate the average over all routers is used.
func (p *Policy) expectedCost(r *router) float64 {
	confidence := math.Exp(-(p.now - r.load.lastResponse).Seconds() / loadDecayTime.Seconds())
	latency := p.latency
	if r.load.latency > 0 {
		latency += (r.load.latency - p.latency) * confidence
	}
	successRate := 1 - (1-r.load.successRate)*confidence
	return float64(r.inFlight+1) * max(latency, minLatency) / max(successRate, minSuccessRate)
}

// timerDue is called when a router may be dialed or used again.
func (r *router) timerDue(p *Policy) {
	if p.anyQueued() {
		p.openConns()
	}
	if at := max(r.dial.notBefore, r.outlier.ejectedUntil); at > p.now {
		p.setTimer(&r.timer, at)
	}
}
