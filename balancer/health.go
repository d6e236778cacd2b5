package balancer

import "math"

// Health of endpoints: outlier detection from the outcomes of attempts alone. A health score lowers the part of its
// range that a slow endpoint serves; failures in a row eject it.

// inService tells whether the list allows attempts at an endpoint.
func (e *endpoint) inService() bool { return e.state == InService }

// usable tells whether an endpoint may get ordinary attempts: it is not ejected, or a probe is due, and the fleet
// has not left its probes to another router.
func (b *Balancer) usable(e *endpoint) bool {
	return e.inService() && (!e.health.ejected || b.now >= e.health.nextProbe) &&
		!b.settings.ClusterState.ProbedByPeer(b.now, e.id)
}

func (b *Balancer) recordSuccess(e *endpoint) {
	e.health.consecutiveFailures, e.health.lastResponse = 0, b.now
	b.setEjected(e, false)
}

func (b *Balancer) recordFailure(e *endpoint) {
	b.updateHealthScore(e, false)
	e.health.consecutiveFailures++
	if e.health.consecutiveFailures >= ejectAfterFailures && !e.health.ejected {
		b.setEjected(e, true)
		e.health.nextProbe = b.now + probeInterval
	}
}

func (b *Balancer) setEjected(e *endpoint, ejected bool) {
	if e.health.ejected == ejected {
		return
	}
	listed := e.state != Removed
	if listed {
		b.endpoints.countCache(e, -1)
	}
	e.health.ejected = ejected
	if listed {
		b.endpoints.countCache(e, 1)
	}
}

// healthScore is how well an endpoint has answered lately, up to 1. It recovers with time.
func (b *Balancer) healthScore(e *endpoint) float64 {
	return min(1, 1-e.health.penalty+float64(b.now-e.health.penalizedAt)/float64(scoreRecoveryTime))
}

// updateHealthScore moves an endpoint's score by a response that was quick or slow. It guards against endpoints
// that grow slow while they still answer, and against sources that are asked for more than they can serve: what
// they lose of their range goes to the next in the hash's order, which all routers find by themselves.
func (b *Balancer) updateHealthScore(e *endpoint, quick bool) {
	score := b.healthScore(e)
	if quick {
		score = min(1, score+quickScoreGain)
	} else {
		score = max(minHealthScore, score*b.slowResponseFactor(e))
	}
	e.health.penalty, e.health.penalizedAt = 1-score, b.now
	b.updateBestScore(e.role)
}

// updateBestScore finds the highest score of a role. The origin is measured against nothing but the parents.
func (b *Balancer) updateBestScore(of role) {
	peers := b.endpoints.parents
	if of == roleCache {
		peers = b.endpoints.caches
	}
	best := minHealthScore
	for _, p := range peers {
		if score := b.healthScore(p); score > best && b.usable(p) {
			best = score
			if score >= 1 { // the highest that there is
				break
			}
		}
	}
	b.bestScore[of] = best
}

// slowResponseFactor is what a slow response leaves of a score. The more routers share the origin, the fewer of its
// responses each of them sees, and the longer all ask too much of it. The root leaves room for chance.
func (b *Balancer) slowResponseFactor(e *endpoint) float64 {
	if e.role != roleOrigin {
		return slowScoreFactor
	}
	return slowScoreFactor / math.Sqrt(max(1, b.routerCount()/fullViewRouters))
}

// slack is what the latency objective of a request leaves beside its service time, in seconds.
func (r *request) slack() float64 {
	return max(r.class.LatencyObjective.Seconds()+(r.class.ObjectiveStretch-1)*r.serviceTime, minSlack.Seconds())
}

// isSlow tells whether a response that comes now, or has yet to come, uses up most of the slack.
func (b *Balancer) isSlow(r *request, a *attempt) bool {
	return (b.now-a.sentAt).Seconds()-r.serviceTime > slowThreshold*r.slack()
}
