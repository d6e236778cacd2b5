package balancer

import (
	"slices"
	"time"
)

// Attempts, from their sending to their end.

func (b *Balancer) sendAttempt(r *request, a attempt) {
	a.sentAt, a.state = b.now, attemptInFlight
	send := SendAttempt{ID: r.ID, Attempt: len(r.attempts), Endpoint: a.endpoint.id, Source: a.source.id,
		CachedOnly: a.cachedOnly, MayHaveRun: r.mayHaveRun()}
	if !b.isWrite(r) {
		// An object seen again ranks above one seen once, so that a scan doesn't evict the popular ones.
		send.CachePriority = min(r.object.requestCount, 2)
		send.MaxAge = b.maxAge(r)
		send.Coalesce = b.settings.Capabilities.CoalesceFills
		send.Revalidate = r.class.FreshnessLifetime > 0
	}
	b.chargeAttempt(r, &a)
	r.attempts = append(r.attempts, a)
	b.settings.ClusterState.AttemptSent(b.now, send)
	b.emit(send)
}

// chargeAttempt counts an attempt where it takes capacity: at its endpoint, at its source, on the zone's link, and
// in the budgets of slow start and of probes.
func (b *Balancer) chargeAttempt(r *request, a *attempt) {
	a.endpoint.inFlight++
	a.linkInFlight = b.link.inFlight + a.fillProbability
	b.link.inFlight += a.fillProbability
	a.endpoint.warmUp.budget -= r.class.serviceTime
	if source := a.fillSource(); source != nil {
		source.inFlight++
		source.warmUp.budget -= r.class.serviceTime * a.endpoint.missRate
	}
	for _, e := range [...]*endpoint{a.endpoint, a.source} {
		if e.health.ejected {
			e.health.nextProbe = b.now + probeInterval
		}
	}
}

func (b *Balancer) handleOutcome(ev Outcome) {
	r := b.requests.byID[ev.ID]
	if r == nil || ev.Attempt < 0 || ev.Attempt >= len(r.attempts) || !r.attempts[ev.Attempt].open() {
		return
	}
	a := &r.attempts[ev.Attempt]
	b.endAttempt(r, a, ev.Status)
	b.learnOutcome(r, a, ev)
	b.learnLinkLimit(r, a, ev)
	if ev.Answered {
		b.closeRequest(r)
	}
	b.requests.retryQueuedAfterEvents = true
	if r.phase != requestClosed {
		b.continueRequest(r, a, ev.Status)
	}
}

// endAttempt gives the capacity of an attempt back, and notes what its status says of the request.
func (b *Balancer) endAttempt(r *request, a *attempt, status Status) {
	a.state = attemptMayHaveRun
	if status.NeverRan() {
		a.state = attemptNeverRan
	}
	a.endpoint.inFlight--
	b.link.inFlight -= a.fillProbability
	if source := a.fillSource(); source != nil {
		source.inFlight--
	}
	if status == OK && a.endpoint.role == roleCache {
		r.object.servedAt = b.now
	}
	lookup := a.source == a.endpoint && a.endpoint.role == roleCache // only asked for what it has
	if status == Miss && lookup {
		r.cacheMissed = true
	} else if status != OK {
		a.avoidOnRetry = a.endpoint
	}
	if status == Miss && a.cachedOnly {
		a.avoidOnRetry = a.source
		r.sourceMisses++
	}
}

// continueRequest decides what follows an attempt that has not answered its request.
func (b *Balancer) continueRequest(r *request, a *attempt, status Status) {
	timeIsUp := status == TimedOut && b.now >= r.deadline-time.Millisecond
	switch {
	case timeIsUp || status == NotSent:
		b.finish(r)
	case status == Rejected && a.avoidOnRetry == a.endpoint && len(r.attempts) < b.maxAttempts() && b.mayQueue(r):
		r.phase = requestQueued // retryQueued chooses among all queued requests: the other caches are likely as full
	default:
		b.route(r)
	}
}

func (b *Balancer) cancelAttempt(r *request, i int) {
	r.attempts[i].state = attemptCancelling
	b.emit(CancelAttempt{ID: r.ID, Attempt: i})
}

// scheduleScan keeps one timer running while there are requests.
func (b *Balancer) scheduleScan() {
	if !b.requests.scanScheduled && len(b.requests.inOrder) > 0 {
		b.requests.scanScheduled = true
		b.emit(SetTimer{Token: scanToken, Delay: scanInterval})
	}
}

// scanRequests forgets the requests that are over, finds attempts that take too long, and tries queued requests
// again.
func (b *Balancer) scanRequests() {
	b.requests.scanScheduled = false
	b.requests.inOrder = slices.DeleteFunc(b.requests.inOrder, func(r *request) bool {
		open := b.scanAttempts(r)
		over := r.phase == requestClosed && open == 0
		if over {
			delete(b.requests.byID, r.ID)
		}
		return over
	})
	b.retryQueued()
	b.scheduleScan()
}

// scanAttempts looks at the open attempts of a request and returns how many they are.
func (b *Balancer) scanAttempts(r *request) int {
	open := 0
	for i := range r.attempts {
		a := &r.attempts[i]
		if !a.open() {
			continue
		}
		open++
		if a.state == attemptInFlight && !r.streaming && b.isSlow(r, a) {
			b.handleOverdue(r, i)
		}
		b.expectFill(r, a)
	}
	return open
}

// expectFill counts an attempt as a whole transfer on the zone's link once a hit would be over.
func (b *Balancer) expectFill(r *request, a *attempt) {
	if a.fillSource() != nil && a.fillProbability < 1 && b.now-a.sentAt > seconds(r.serviceTime) {
		b.link.inFlight += 1 - a.fillProbability
		a.fillProbability = 1
	}
}

// handleOverdue meets a response that takes too long, well before any time-out: the endpoint may be slow, hung or
// cut off. A cache that has answered something since is not silent; then its source is in question. An attempt at
// an ejected endpoint is cancelled, so that another can be sent elsewhere; not one at the origin, which has no
// peer.
func (b *Balancer) handleOverdue(r *request, i int) {
	a := &r.attempts[i]
	if !a.late {
		a.late = true
		suspect := a.endpoint
		respondsSince := a.endpoint.health.lastResponse > a.sentAt
		if source := a.fillSource(); source != nil && (respondsSince || !b.likelyCached(r)) {
			suspect = source
		}
		b.updateHealthScore(suspect, false)
	}
	for _, e := range [...]*endpoint{a.endpoint, a.source} {
		if !a.silent && e.health.lastResponse <= a.sentAt && b.now-a.sentAt >= silenceTimeout {
			a.silent = true
			b.recordFailure(e)
		}
	}
	elsewhere := (a.endpoint.health.ejected || a.source.health.ejected) && a.source.role != roleOrigin
	cancellable := r.class.Idempotency == Idempotent && b.settings.Capabilities.Cancellation
	if elsewhere && cancellable && r.phase != requestClosed {
		b.cancelAttempt(r, i)
	}
}
