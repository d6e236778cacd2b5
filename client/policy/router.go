package policy

import (
	"math"
	"time"
)

const (
	// loadDecayTime is the time constant with which what was seen of a router fades.
	loadDecayTime = 2 * time.Second

	// Weights of the latest sample in moving averages. A slower response counts sooner than a quicker one.
	slowerWeight        = 0.3
	quickerWeight       = 0.1
	successRateWeight   = 0.1
	routerLatencyWeight = 0.05

	// Bounds of a router's expected cost, so that no router's is zero or infinite.
	minLatency     = 1e-4 // seconds
	minSuccessRate = 0.02
)

// router is what is known of one router.
type router struct {
	index        int
	conns        []*Conn
	inFlight     int // calls on its connections
	load         loadEstimate
	rejectsUntil time.Duration // from its Retry-After: it gets no call before
	outlier      outlierState
	dial         dialState
	timer        timer
}

// loadEstimate is what a router's responses tell of its load.
type loadEstimate struct {
	latency      float64 // moving average of the responses that served, in seconds; 0: not known
	successRate  float64 // share of its responses that served, a moving average from 0 to 1
	lastResponse time.Duration
}

// usable says whether the router may get calls now.
func (r *router) usable(now time.Duration) bool {
	return now >= r.outlier.ejectedUntil && now >= r.rejectsUntil
}

// leastLoaded returns the connection with the fewest calls in flight that has capacity, or nil.
func (r *router) leastLoaded(capacity int) *Conn {
	var best *Conn
	for _, conn := range r.conns {
		if conn.state == connReady && conn.inFlight < capacity && (best == nil || conn.inFlight < best.inFlight) {
			best = conn
		}
	}
	return best
}

// recordResponse takes the time and the kind of a response.
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

// expectedCost is the lower the sooner a call is expected to be served there. A router that rejects does so
// quickly: its responses count as slower the fewer of them serve. What was seen of a router fades, so that it is
// tried again; where nothing is known the average over all routers is expected.
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
