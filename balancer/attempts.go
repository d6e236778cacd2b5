package balancer

import (
	"slices"
	"time"
)

// This file holds the life cycle of an attempt, from sending to its outcome.

func (b *Balancer) sendAttempt(r *request, a attempt) {
	a.sentAt, a.state = b.now, attemptInFlight
	send := SendAttempt{ID: r.ID, Attempt: len(r.attempts), Endpoint: a.endpoint.id, Source: a.source.id,
		CachedOnly: a.cachedOnly, MayHaveRun: r.mayHaveRun(), Repeat: a.repeat}
	if !b.isWrite(r) {
		// An object requested again ranks above one requested once, so that a scan doesn't evict popular objects.
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

// chargeAttempt counts an attempt against the capacity that it uses: at its endpoint, at its source, on the zone's link
// and in the slow-start budgets. It schedules the next probe of an ejected endpoint.
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

// endAttempt releases the capacity of an attempt and records what its status means for the request.
func (b *Balancer) endAttempt(r *request, a *attempt, status Status) {
	a.state = attemptMayHaveRun
	if status.NeverRan() {
		a.state = attemptNeverRan
	}
	a.abandoned = status == Abandoned
	a.endpoint.inFlight--
	b.link.inFlight -= a.fillProbability
	if source := a.fillSource(); source != nil {
		source.inFlight--
	}
	if status == OK && a.endpoint.role == roleCache {
		r.object.servedAt = b.now
	}
	lookup := a.source == a.endpoint && a.endpoint.role == roleCache // the attempt asked for a cached copy only
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

// continueRequest decides what follows an attempt that has ended without answering its request.
func (b *Balancer) continueRequest(r *request, a *attempt, status Status) {
	deadlineReached := status == TimedOut && b.now >= r.deadline-time.Millisecond
	switch {
	case deadlineReached || status == NotSent:
		b.rejectOrFail(r)
	case status == Rejected && a.avoidOnRetry == a.endpoint && len(r.attempts) < b.maxAttempts() && b.mayQueue(r):
		r.phase = requestQueued // no retry at once, as the other caches are likely as full; retryQueued routes it again
	default:
		b.route(r)
	}
}

func (b *Balancer) cancelAttempt(r *request, i int) {
	r.attempts[i].state = attemptCancelling
	b.emit(CancelAttempt{ID: r.ID, Attempt: i})
}

// scheduleScan sets the timer of the next scan, unless one is set already or there are no requests.
func (b *Balancer) scheduleScan() {
	if !b.requests.scanScheduled && len(b.requests.inOrder) > 0 {
		b.requests.scanScheduled = true
		b.emit(SetTimer{Token: scanToken, Delay: scanInterval})
	}
}

// scanRequests removes the requests that are closed and have no open attempts, handles attempts that take too long, and
// routes queued requests again.
func (b *Balancer) scanRequests() {
	b.requests.scanScheduled = false
	b.requests.inOrder = slices.DeleteFunc(b.requests.inOrder, func(r *request) bool {
		open := b.scanAttempts(r)
		done := r.phase == requestClosed && open == 0
		if done {
			delete(b.requests.byID, r.ID)
		}
		return done
	})
	b.retryQueued()
	b.scheduleScan()
}

// scanAttempts checks the open attempts of a request and returns their number.
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
		b.assumeFill(r, a)
	}
	return open
}

// assumeFill counts an attempt as a whole transfer on the zone's link once a hit would have ended.
func (b *Balancer) assumeFill(r *request, a *attempt) {
	if a.fillSource() != nil && a.fillProbability < 1 && b.now-a.sentAt > seconds(r.serviceTime) {
		b.link.inFlight += 1 - a.fillProbability
		a.fillProbability = 1
	}
}

// handleOverdue handles an attempt whose response takes too long, well before any timeout: the endpoint may be slow,
// hung or unreachable. The source of the fill is the suspect if the cache likely lacks the object, or if the cache has
// responded to anything since the attempt was sent, and so is not silent. An attempt with an ejected endpoint or source
// is cancelled, so that another can be sent elsewhere, but not one whose source is the origin, which has no peer.
func (b *Balancer) handleOverdue(r *request, i int) {
	a := &r.attempts[i]
	if !a.late {
		a.late = true
		suspect := a.endpoint
		respondedSince := a.endpoint.health.lastResponse > a.sentAt
		if source := a.fillSource(); source != nil && (respondedSince || !b.likelyCached(r)) {
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
	retryElsewhere := (a.endpoint.health.ejected || a.source.health.ejected) && a.source.role != roleOrigin
	cancellable := r.class.Idempotency == Idempotent && b.settings.Capabilities.Cancellation
	if retryElsewhere && cancellable && r.phase != requestClosed {
		b.cancelAttempt(r, i)
	}
}
