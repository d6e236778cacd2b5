package balancer

import "math"

// This file implements outlier detection, from the outcomes of attempts alone. A low health score reduces the fraction
// of its range that a slow endpoint serves; consecutive failures eject an endpoint.

// inService reports whether the endpoint list allows attempts at an endpoint.
func (e *endpoint) inService() bool { return e.state == InService }

// usable reports whether an endpoint may get ordinary attempts: it is in service, it is not ejected or its probe is due,
// and no other router of the cluster probes it.
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

// healthScore returns an endpoint's health score, up to 1, which says how well the endpoint has responded lately. The
// score recovers with time.
func (b *Balancer) healthScore(e *endpoint) float64 {
	return min(1, 1-e.health.penalty+float64(b.now-e.health.penalizedAt)/float64(scoreRecoveryTime))
}

// updateHealthScore raises or lowers an endpoint's score after a quick or a slow response. It guards against endpoints
// that grow slow while they still respond, and against sources that get more fills than they can serve. The part of the
// range that such an endpoint loses goes to the next one in the hash's order, which all routers compute alike.
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

// updateBestScore recomputes the highest health score of a role's usable endpoints, at least minHealthScore. The
// origin's entry is computed from the parents.
func (b *Balancer) updateBestScore(peerRole role) {
	peers := b.endpoints.parents
	if peerRole == roleCache {
		peers = b.endpoints.caches
	}
	best := minHealthScore
	for _, p := range peers {
		if score := b.healthScore(p); score > best && b.usable(p) {
			best = score
			if score >= 1 { // the highest possible score
				break
			}
		}
	}
	b.bestScore[peerRole] = best
}

// slowResponseFactor returns the factor by which a slow response reduces an endpoint's score. The more routers share the
// origin, the fewer of its responses each router sees, and the longer all of them overload it; so the factor for the
// origin falls with their number. It falls only with the square root, which leaves a margin for chance.
func (b *Balancer) slowResponseFactor(e *endpoint) float64 {
	if e.role != roleOrigin {
		return slowScoreFactor
	}
	return slowScoreFactor / math.Sqrt(max(1, b.routerCount()/originScoreRouters))
}

// slack returns the seconds that the latency objective of a request leaves beyond its service time, at least minSlack.
func (r *request) slack() float64 {
	return max(r.class.LatencyObjective.Seconds()+(r.class.ObjectiveStretch-1)*r.serviceTime, minSlack.Seconds())
}

// isSlow reports whether a response that arrives now or later uses up more than slowThreshold of the slack.
func (b *Balancer) isSlow(r *request, a *attempt) bool {
	return (b.now-a.sentAt).Seconds()-r.serviceTime > slowThreshold*r.slack()
}
