package balancer

// This file updates what is known of an attempt's endpoint, source and object from the attempt's outcome.

// learnOutcome updates endpoints, classes and objects from the outcome of an attempt that has just ended.
func (b *Balancer) learnOutcome(r *request, a *attempt, ev Outcome) {
	switch ev.Status {
	case OK:
		b.learnSuccess(r, a, ev)
	case ConnectFailed, Reset:
		b.learnConnectionFailure(a.endpoint)
	case Error:
		b.learnError(a, ev.Detail)
	case TimedOut:
		if source := a.fillSource(); source != nil && !b.likelyCached(r) {
			b.updateHealthScore(source, false)
		}
	case Rejected, Miss:
		b.attributeRejection(a, ev)
	}
}

func (b *Balancer) learnSuccess(r *request, a *attempt, ev Outcome) {
	b.recordSuccess(a.endpoint)
	hit := ev.Detail.isHit()
	if a.endpoint.role == roleCache {
		b.recordLoad(roleCache, r.class, 1)
		a.endpoint.observeHit(hit)
	}
	b.scoreLatency(r, a, ev)
	if hit && r.SizeKB == 0 {
		r.object.learnServiceTime(ev.Elapsed.Seconds())
		r.class.observe(ev.Elapsed.Seconds())
	}
	if source := a.fillSource(); source != nil && ev.Detail.isFill() {
		b.learnFill(r, a, ev.Detail)
	}
}

// scoreLatency updates the health scores of the endpoints that a response's latency depends on: the cache itself for a
// hit, else the source. If the origin's part of the latency is known, the origin and the source are scored separately.
func (b *Balancer) scoreLatency(r *request, a *attempt, ev Outcome) {
	source, origin, maxQuickDelay := a.fillSource(), b.endpoints.origin, slowThreshold*r.slack()
	switch {
	case ev.Detail.isHit():
		b.updateHealthScore(a.endpoint, !b.isSlow(r, a))
	case source != nil && ev.Detail == FilledByOrigin && origin != nil:
		b.updateHealthScore(origin, ev.SourceWait.Seconds() <= maxQuickDelay)
		b.updateHealthScore(source, (ev.Elapsed-ev.SourceWait).Seconds()-r.serviceTime <= maxQuickDelay)
	case source != nil && !a.late:
		b.updateHealthScore(source, !b.isSlow(r, a))
	}
}

// learnFill records a fill that the attempt's source has served.
func (b *Balancer) learnFill(r *request, a *attempt, detail Detail) {
	b.recordSuccess(a.source)
	r.object.cachedAtHome = detail == Filled
	if a.toSecondHome || r.object.replicatedAt == 0 {
		r.object.replicatedAt = b.now
	}
	b.recordLoad(a.source.role, r.class, 1)
}

// learnConnectionFailure counts a failed connection once, although it ends all attempts on the connection at the same
// time.
func (b *Balancer) learnConnectionFailure(e *endpoint) {
	if e.health.connectionFailedAt != b.now {
		b.recordFailure(e)
	}
	e.health.connectionFailedAt = b.now
}

func (b *Balancer) learnError(a *attempt, detail Detail) {
	source := a.fillSource()
	if detail == SourceUnreachable && source != nil {
		b.recordFailure(source)
		a.avoidOnRetry = source
		return
	}
	b.recordFailure(a.endpoint)
	if source != nil { // the source may have caused an error whose cause is not reported
		b.updateHealthScore(source, false)
	}
}

// attributeRejection finds the endpoint that caused a rejection, and records a failure of the source or the origin if it
// was one of them. Where the cache reports no cause, a rejection after more than cacheRejectionTime came from the
// source, as a cache's own rejection comes at once.
func (b *Balancer) attributeRejection(a *attempt, ev Outcome) {
	a.endpoint.health.lastResponse = b.now
	source := a.fillSource()
	if ev.Detail == OriginFailed && b.endpoints.origin != nil {
		b.recordFailure(b.endpoints.origin)
		a.avoidOnRetry = source
		return
	}
	bySource := ev.Detail == SourceRejected || ev.Detail == SourceUnreachable ||
		ev.Detail == NoDetail && ev.Status == Rejected && ev.Elapsed > cacheRejectionTime
	if source != nil && source.role != roleCache && bySource {
		b.recordFailure(source)
		a.avoidOnRetry = source
	}
}
