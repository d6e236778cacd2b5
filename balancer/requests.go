package balancer

import (
	"cmp"
	"slices"
	"time"
)

// The path of a request, from its arrival to its final answer.

func (b *Balancer) request(ev Request) {
	c := b.classes[ev.Class]
	if c == nil { // unknown: served as carefully as possible
		c = newClass(Class{Name: ev.Class})
	}
	r := &request{Request: ev, class: c, end: b.now + ev.Remaining, object: b.remember(part{ev.Object, ev.Part})}
	r.object.seen++
	r.work = b.workOf(r)
	r.aim = b.now + c.LatencyObjective + seconds(c.ObjectiveStretch*r.work)
	if r.cost = r.work; c.Weight > 0 {
		r.cost /= c.Weight
	}
	b.cost += (r.cost - b.cost) / recent
	b.open[ev.ID] = r
	b.order = append(b.order, r)
	b.recordLoad(other, c, 1)
	if b.born == 0 {
		b.born = b.now
	}
	b.route(r)
	b.tick()
}

func newClass(c Class) *class { return &class{Class: c, work: seedWork.Seconds()} }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// workOf is the sending time of a request in seconds, as far as it is known.
func (b *Balancer) workOf(r *request) float64 {
	if r.SizeKB > 0 && b.s.PaceKBps > 0 {
		w := r.SizeKB / b.s.PaceKBps
		r.class.learn(w)
		return w
	}
	return cmp.Or(r.object.work, r.class.work)
}

// remember finds or makes the table's entry of a part. Two generations bound it and let it age.
func (b *Balancer) remember(k part) *object {
	if len(b.objects[0]) >= tableSize || b.now-b.turned > 4*copyInterval {
		b.objects[0], b.objects[1], b.turned = map[part]*object{}, b.objects[0], b.now
	}
	o := cmp.Or(b.objects[0][k], b.objects[1][k], &object{})
	b.objects[0][k] = o
	return o
}

// route sends the next attempt of a request, or ends it.
func (b *Balancer) route(r *request) {
	if len(r.attempts) >= max(b.s.MaxAttempts, 1) || b.now >= r.end || !b.mayResend(r) {
		b.answer(r)
		return
	}
	var a attempt
	if r.class.Write || r.Write {
		a = b.writePath(r)
	} else {
		a = b.readPath(r)
	}
	switch {
	case a.node != nil:
		r.waiting = false
		b.send(r, a)
	case len(b.caches) > 0 && b.mayQueue(r):
		r.waiting = true
	default:
		b.answer(r)
	}
}

// mayQueue tells whether a request can still be answered in time. If not, it is ended: failing late is
// worse than refusing early, and its work would make others late. It also ends in time for its client.
func (b *Balancer) mayQueue(r *request) bool {
	return b.now+seconds(giveUpFactor*r.work) < r.aim && b.now+2*scanEvery < r.end
}

// retryQueued tries the waiting requests again, those with the least work for their worth first.
func (b *Balancer) retryQueued() {
	var rs []*request
	for _, r := range b.order {
		if r.waiting && !r.done {
			rs = append(rs, r)
		}
	}
	slices.SortStableFunc(rs, func(x, y *request) int { return cmp.Compare(x.cost, y.cost) })
	for _, r := range rs {
		b.route(r)
	}
}

// sizeAllowance widens the bounds for requests that cost little for their worth: under overload, serving many
// small ones is worth more than few large ones, and they delay those little.
func (b *Balancer) sizeAllowance(r *request) float64 {
	if r.cost < b.cost {
		return smallAllowance
	}
	return 1
}

// known tells whether the edge cache likely holds the part: it was served lately and not purged since.
func (b *Balancer) known(r *request) bool {
	return r.object.okAt > 0 && b.now-r.object.okAt < knownFor && r.object.okAt > b.purgedAt(r)
}

// mayResend keeps the rule on effects: a further attempt is sent only where no earlier one can have
// run, or where the class drops the repeat. Routers that talk also bound such repeats, all together.
func (b *Balancer) mayResend(r *request) bool {
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.out && !(b.s.Capabilities.Hedging && r.class.Idempotency == Idempotent) {
			return false
		}
		if a.neverRan || r.class.Idempotency == Idempotent {
			continue
		}
		if r.class.Idempotency == NotIdempotent || b.now-a.sent >= r.class.DedupWindow {
			return false
		}
	}
	return !r.ran() || b.s.Coordinator.AdmitRetry(b.now)
}

// answer gives the final answer that the router itself owes: a refusal where trying again is harmless. It
// waits for the outcome of an attempt that is still out.
func (b *Balancer) answer(r *request) {
	harmless := true
	for i := range r.attempts {
		if r.attempts[i].out {
			return
		}
		if !r.attempts[i].neverRan {
			harmless = r.class.Idempotency == Idempotent ||
				r.class.Idempotency == IdempotentByKey && r.class.DedupScope == DedupEverywhere
		}
	}
	if harmless {
		b.do(Reject{ID: r.ID, RetryAfter: b.s.MaxRetryAfter})
	} else {
		b.do(Fail{ID: r.ID})
	}
	b.close(r)
}

func (b *Balancer) close(r *request) {
	if r != nil {
		r.waiting = false
		r.done = true
		for i := range r.attempts { // nobody waits for these any more
			if a := &r.attempts[i]; a.out && !a.cancelled && b.s.Capabilities.Cancellation && !r.streamed {
				a.cancelled = true
				b.do(CancelAttempt{ID: r.ID, Attempt: i})
			}
		}
	}
}
