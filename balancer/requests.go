package balancer

import (
	"cmp"
	"slices"
	"time"
)

// The life of a request, from its arrival to its final answer.

func (b *Balancer) handleRequest(ev Request) {
	c := b.classes.byName[ev.Class]
	if c == nil { // unknown: the zero Class is the most careful one
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
	if b.requests.firstAt == 0 { // after recordLoad, for which a router without requests is no young one
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

// serviceTimeOf is the service time of a request in seconds, as far as it is known.
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
		b.finish(r)
		return
	}
	var a attempt
	if b.isWrite(r) {
		a = b.routeWrite(r)
	} else {
		a = b.routeRead(r)
	}
	switch {
	case a.endpoint != nil:
		r.phase = requestActive
		b.sendAttempt(r, a)
	case len(b.endpoints.caches) > 0 && b.mayQueue(r):
		r.phase = requestQueued
	default:
		b.finish(r)
	}
}

func (b *Balancer) maxAttempts() int { return max(b.settings.MaxAttempts, 1) }

// isWrite tells whether a request runs at the origin and leaves no copy.
func (b *Balancer) isWrite(r *request) bool { return r.class.Write || r.Write }

// mayQueue tells whether a request can still be answered in time after a wait. If not, it is ended: failing
// late is worse than rejecting early, and its work would make others late. It must also end in time for its client.
func (b *Balancer) mayQueue(r *request) bool {
	return b.now+seconds(giveUpFactor*r.serviceTime) < r.objective && b.now+2*scanInterval < r.deadline
}

// retryQueued routes the queued requests again, the cheapest for their weight first.
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

// likelyCached tells whether the edge cache likely has the part: it was served lately and not purged since.
func (b *Balancer) likelyCached(r *request) bool {
	served := r.object.servedAt
	return served > 0 && b.now-served < likelyCachedFor && served > b.purgedAt(r)
}

// mayRetry keeps the rule on idempotency: an attempt may follow others only where none of them can have run, or
// where the class lets a repeat do no harm. Routers of a fleet also bound such retries together.
func (b *Balancer) mayRetry(r *request) bool {
	idempotency := r.class.Idempotency
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.open() && !(b.settings.Capabilities.Hedging && idempotency == Idempotent) {
			return false
		}
		if a.state == attemptNeverRan || idempotency == Idempotent {
			continue
		}
		if idempotency == NotIdempotent || b.now-a.sentAt >= r.class.DedupWindow {
			return false
		}
	}
	return !r.mayHaveRun() || b.settings.ClusterState.AdmitRetry(b.now)
}

// finish gives the final answer that the router itself owes: a rejection where the client may safely ask again,
// else a failure. While an attempt is in flight, its outcome decides instead.
func (b *Balancer) finish(r *request) {
	repeatable := r.class.Idempotency == Idempotent ||
		r.class.Idempotency == IdempotentByKey && r.class.DedupScope == DedupEverywhere
	safe := true
	for i := range r.attempts {
		if r.attempts[i].open() {
			return
		}
		if r.attempts[i].state == attemptMayHaveRun {
			safe = repeatable
		}
	}
	if safe {
		b.emit(Reject{ID: r.ID, RetryAfter: b.settings.MaxRetryAfter})
	} else {
		b.emit(Fail{ID: r.ID})
	}
	b.closeRequest(r)
}

// closeRequest ends a request and cancels what nobody waits for any more.
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
