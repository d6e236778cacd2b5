package balancer

import (
	"slices"
	"time"
)

// Attempts as they are sent and end.

func (b *Balancer) send(r *request, a attempt) {
	a.sent, a.out = b.now, true
	g := SendAttempt{ID: r.ID, Attempt: len(r.attempts), Endpoint: a.node.id, Source: a.source.id, CachedOnly: a.held}
	g.MayHaveRun = r.ran()
	if !r.class.Write && !r.Write {
		// An object seen again ranks above one seen once, so that a scan washes nothing out.
		g.CachePriority, g.MaxAge, g.Coalesce = min(r.object.seen, 2), b.maxAge(r), b.s.Capabilities.CoalesceFills
		g.Revalidate = r.class.FreshnessLifetime > 0
	}
	a.node.out++
	a.besideLink = b.link + a.fills
	r.attempts = append(r.attempts, a)
	b.link += a.fills
	a.node.saved -= r.class.work
	if a.source != a.node {
		a.source.out++
		a.source.saved -= r.class.work * a.node.misses
	}
	for _, m := range []*member{a.node, a.source} {
		if m.bad {
			m.trial = b.now + trialEvery
		}
	}
	b.s.Coordinator.AttemptSent(b.now, g)
	b.do(g)
}

func (b *Balancer) outcome(ev Outcome) {
	r := b.open[ev.ID]
	if r == nil || ev.Attempt < 0 || ev.Attempt >= len(r.attempts) || !r.attempts[ev.Attempt].out {
		return
	}
	a := &r.attempts[ev.Attempt]
	a.out, a.neverRan = false, ev.Status.NeverRan()
	look := a.source == a.node && a.node.role == cache
	if ev.Status != OK && !(look && ev.Status == Miss) {
		a.blame = a.node
	}
	if a.held && ev.Status == Miss {
		a.blame = a.source
		r.lacked++
	}
	r.missed = r.missed || look && ev.Status == Miss
	a.node.out--
	b.link -= a.fills
	if ev.Status == OK && a.node.role == cache {
		r.object.okAt = b.now
	}
	if a.source != a.node {
		a.source.out--
	}
	b.learnOutcome(r, a, ev)
	b.learnLinkLimit(r, a, ev)
	if ev.Answered {
		b.close(r)
	}
	b.freed = true
	if r.done {
		return
	}
	if ev.Status == TimedOut && b.now >= r.end-time.Millisecond || ev.Status == NotSent {
		b.answer(r)
		return
	}
	if ev.Status == Rejected && a.blame == a.node && len(r.attempts) < max(b.s.MaxAttempts, 1) && b.mayQueue(r) {
		r.waiting = true // not at once: the others are likely as full
		return
	}
	b.route(r)
}

// tick keeps one timer running while requests are open.
func (b *Balancer) tick() {
	if !b.ticking && len(b.order) > 0 {
		b.ticking = true
		b.do(SetTimer{Token: scanToken, Delay: scanEvery})
	}
}

// scan looks over the open attempts: it forgets what is over and finds who is silent.
func (b *Balancer) scan() {
	b.ticking = false
	b.order = slices.DeleteFunc(b.order, func(r *request) bool {
		out := 0
		for i := range r.attempts {
			if a := &r.attempts[i]; a.out {
				out++
				if !a.cancelled && !r.streamed && b.slow(r, a) {
					b.handleOverdue(r, i)
				}
				if a.source != a.node && a.fills < 1 && b.now-a.sent > seconds(r.work) {
					b.link += 1 - a.fills // a hit would be over by now
					a.fills = 1
				}
			}
		}
		if r.done && out == 0 {
			delete(b.open, r.ID)
		}
		return r.done && out == 0
	})
	b.retryQueued()
	b.tick()
}
