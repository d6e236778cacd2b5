package balancer

// What the outcome of an attempt tells of its endpoint, its source and the object.

// learnOutcome learns from the outcome of an attempt that has just ended.
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
		b.blameSourceOfRejection(a, ev)
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

// scoreLatency moves the health scores of those that a response's latency depends on: the cache itself for a hit,
// else the source, and the origin for its own part where that is known.
func (b *Balancer) scoreLatency(r *request, a *attempt, ev Outcome) {
	source, origin, inTime := a.fillSource(), b.endpoints.origin, slowThreshold*r.slack()
	switch {
	case ev.Detail.isHit():
		b.updateHealthScore(a.endpoint, !b.isSlow(r, a))
	case source != nil && ev.Detail == FilledByOrigin && origin != nil:
		b.updateHealthScore(origin, ev.SourceWait.Seconds() <= inTime)
		b.updateHealthScore(source, (ev.Elapsed-ev.SourceWait).Seconds()-r.serviceTime <= inTime)
	case source != nil && !a.late:
		b.updateHealthScore(source, !b.isSlow(r, a))
	}
}

// learnFill learns from a fill that its source has served.
func (b *Balancer) learnFill(r *request, a *attempt, detail Detail) {
	b.recordSuccess(a.source)
	r.object.cachedAtHome = detail == Filled
	if a.toSecondHome || r.object.replicatedAt == 0 {
		r.object.replicatedAt = b.now
	}
	b.recordLoad(a.source.role, r.class, 1)
}

// learnConnectionFailure counts a failed connection once, though it ends all attempts on it at the same time.
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
	if source != nil { // an error without a cause may be the source's
		b.updateHealthScore(source, false)
	}
}

// blameSourceOfRejection finds out whose a rejection was. Where the cache names no cause, its own rejection comes at once
// and one of its source later.
func (b *Balancer) blameSourceOfRejection(a *attempt, ev Outcome) {
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
