package balancer

import (
	"cmp"
	"slices"
	"time"
)

// This file holds the life cycle of a request, from its arrival to its final answer.

func (b *Balancer) handleRequest(ev Request) {
	c := b.classes.byName[ev.Class]
	if c == nil { // an unknown class gets the zero Class, which is the most careful one
		c = newClass(Class{Name: ev.Class})
	}
	r := &request{
		Request: ev, class: c, deadline: b.now + ev.Remaining,
		object: b.objects.get(b.now, objectKey{ev.Object, ev.Part}),
	}
	r.object.requestCount++
	r.serviceTime = b.serviceTimeOf(r)
	r.objective = b.now + c.LatencyObjective + seconds(c.ObjectiveStretch*r.serviceTime)
	r.cost = r.serviceTime
	if c.Weight > 0 {
		r.cost /= c.Weight
	}
	b.addRequest(r)
	b.recordLoad(roleClient, c, 1)
	// firstAt is set after recordLoad, which must not treat a router without requests as a young one.
	if b.requests.firstAt == 0 {
		b.requests.firstAt = b.now
	}
	b.route(r)
	b.scheduleScan()
}

func (b *Balancer) addRequest(r *request) {
	t := &b.requests
	t.meanCost += (r.cost - t.meanCost) / averagingWindow
	t.byID[r.ID] = r
	t.inOrder = append(t.inOrder, r)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// serviceTimeOf returns the service time of a request in seconds: computed from its size where that is known, else
// learned from its object or its class.
func (b *Balancer) serviceTimeOf(r *request) float64 {
	if r.SizeKB > 0 && b.settings.PaceKBps > 0 {
		s := r.SizeKB / b.settings.PaceKBps
		r.class.observe(s)
		return s
	}
	return cmp.Or(r.object.serviceTime, r.class.serviceTime)
}

// route sends the next attempt of a request, queues the request, or ends it.
func (b *Balancer) route(r *request) {
	if len(r.attempts) >= b.maxAttempts() || b.now >= r.deadline || !b.mayRetry(r) {
		b.rejectOrFail(r)
		return
	}
	a := b.chooseAttempt(r)
	switch {
	case a.endpoint != nil:
		r.phase = requestActive
		b.sendAttempt(r, a)
	case b.hasCacheFor(r) && b.mayQueue(r):
		r.phase = requestQueued
	default:
		b.rejectOrFail(r)
	}
}

// hasCacheFor reports whether the zone has an edge cache at which the request was not abandoned.
func (b *Balancer) hasCacheFor(r *request) bool {
	return slices.ContainsFunc(b.endpoints.caches, func(e *endpoint) bool { return !r.abandonedAt(e) })
}

func (b *Balancer) maxAttempts() int { return max(b.settings.MaxAttempts, 1) }

// isWrite reports whether a request runs at the origin and leaves no copy in a cache.
func (b *Balancer) isWrite(r *request) bool { return r.class.Write || r.Write }

// mayQueue reports whether a queued request can still meet its latency objective and its client's deadline. A request
// that can't is ended at once: an early rejection is better than a late failure, and its work would delay other
// requests.
func (b *Balancer) mayQueue(r *request) bool {
	return b.now+seconds(giveUpFactor*r.serviceTime) < r.objective && b.now+2*scanInterval < r.deadline
}

// retryQueued routes the queued requests again, those with the lowest cost for their weight first.
func (b *Balancer) retryQueued() {
	var queued []*request
	for _, r := range b.requests.inOrder {
		if r.phase == requestQueued {
			queued = append(queued, r)
		}
	}
	slices.SortStableFunc(queued, func(x, y *request) int { return cmp.Compare(x.cost, y.cost) })
	for _, r := range queued {
		b.route(r)
	}
}

// likelyCached reports whether the edge cache likely holds the object's part: a cache served it within likelyCachedFor,
// and it was not purged since.
func (b *Balancer) likelyCached(r *request) bool {
	served := r.object.servedAt
	return served > 0 && b.now-served < likelyCachedFor && served > b.purgedAt(r)
}

// mayRetry reports whether another attempt is allowed at any endpoint. The cluster state also limits retries after an
// attempt that may have run, over all routers together.
func (b *Balancer) mayRetry(r *request) bool {
	if !b.checkRepeatAnywhere(r).Allowed() {
		return false
	}
	return !r.mayHaveRun() || b.settings.ClusterState.AdmitRetry(b.now)
}

// rejectOrFail gives the final answer of a request that the router answers itself: Reject where the client may safely
// retry, else Fail. It does nothing while an attempt is open, as that attempt's outcome then decides.
func (b *Balancer) rejectOrFail(r *request) {
	repeatable := r.class.Idempotency == Idempotent ||
		r.class.Idempotency == IdempotentByKey && r.class.DedupScope == DedupEverywhere
	safeToRetry := true
	for i := range r.attempts {
		if r.attempts[i].open() {
			return
		}
		if r.attempts[i].state == attemptMayHaveRun {
			safeToRetry = repeatable
		}
	}
	if safeToRetry {
		b.emit(Reject{ID: r.ID, RetryAfter: b.settings.MaxRetryAfter})
	} else {
		b.emit(Fail{ID: r.ID})
	}
	b.closeRequest(r)
}

// closeRequest ends a request. If attempts may be cancelled and the response is not streaming, it cancels the request's
// attempts in flight, whose responses have no receiver any more.
func (b *Balancer) closeRequest(r *request) {
	r.phase = requestClosed
	if r.streaming || !b.settings.Capabilities.Cancellation {
		return
	}
	for i := range r.attempts {
		if r.attempts[i].state == attemptInFlight {
			b.cancelAttempt(r, i)
		}
	}
}
