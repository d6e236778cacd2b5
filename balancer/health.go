package balancer

import (
	"math"
)

// Health of members, learned from the outcomes of attempts alone.

// inService tells whether rules let us name a member at all.
func (b *Balancer) inService(m *member) bool { return m.state == InService }

// usable tells whether a member may get ordinary work: it is not bad, or a trial is due, and routers that
// talk have not agreed to leave its trials to another.
func (b *Balancer) usable(m *member) bool {
	return b.inService(m) && (!m.bad || b.now >= m.trial) && !b.s.Coordinator.ProbedByPeer(b.now, m.id)
}

// learnOutcome learns from an outcome who is well and who is not.
func (b *Balancer) learnOutcome(r *request, a *attempt, ev Outcome) {
	src := a.source
	if src == a.node {
		src = nil
	}
	switch ev.Status {
	case OK:
		b.recordSuccess(a.node)
		hit := ev.Detail == Hit || ev.Detail == Stale
		if a.node.role == cache {
			b.recordLoad(cache, r.class, 1)
			if a.node.misses -= a.node.misses / recent; !hit {
				a.node.misses += 1 / recent
			}
		}
		if hit {
			b.adjustTrust(a.node, !b.slow(r, a))
		} else if src != nil && ev.Detail == FilledByOrigin && b.origin != nil {
			b.adjustTrust(b.origin, ev.SourceWait.Seconds() <= slowFrom*r.slack())
			b.adjustTrust(src, (ev.Elapsed-ev.SourceWait).Seconds()-r.work <= slowFrom*r.slack())
		} else if src != nil && !a.late {
			b.adjustTrust(src, !b.slow(r, a))
		}
		if hit && r.SizeKB == 0 {
			w := ev.Elapsed.Seconds()
			if r.object.work == 0 || w < r.object.work {
				r.object.work = w
			}
			r.class.learn(w)
		}
		if src != nil && (ev.Detail == Filled || ev.Detail == FilledByOrigin) {
			b.recordSuccess(src)
			r.object.held = ev.Detail == Filled
			if a.warming || r.object.copied == 0 {
				r.object.copied = b.now
			}
			b.recordLoad(src.role, r.class, 1)
		}
	case ConnectFailed, Reset:
		if a.node.broke != b.now { // one connection that fails ends all attempts on it, and counts once
			b.recordFailure(a.node)
		}
		a.node.broke = b.now
	case Error:
		if ev.Detail == SourceUnreachable && src != nil {
			b.recordFailure(src)
			a.blame = src
		} else if b.recordFailure(a.node); src != nil { // an error that names no cause may be the source's
			b.adjustTrust(src, false)
		}
	case TimedOut:
		if src != nil && !b.known(r) {
			b.adjustTrust(src, false)
		}
	case Rejected, Miss:
		a.node.sign = b.now
		switch {
		case ev.Detail == OriginFailed && b.origin != nil:
			b.recordFailure(b.origin)
			a.blame = src
		case src != nil && src.role != cache && (ev.Detail == SourceRejected || ev.Detail == SourceUnreachable ||
			ev.Detail == NoDetail && ev.Status == Rejected && ev.Elapsed > turnedAway):
			b.recordFailure(src) // where nothing is told: a cache's own refusal comes at once, a source's from afar
			a.blame = src
		}
	}
}

func (b *Balancer) recordSuccess(m *member) {
	m.fails, m.sign = 0, b.now
	b.setBad(m, false)
}

// setBad holds a member to be bad, or no longer.
func (b *Balancer) setBad(m *member, bad bool) {
	if m.bad == bad {
		return
	}
	listed := m.state != Removed
	if listed {
		b.tally(m, -1)
	}
	m.bad = bad
	if listed {
		b.tally(m, 1)
	}
}

func (b *Balancer) recordFailure(m *member) {
	b.adjustTrust(m, false)
	if m.fails++; m.fails >= failsInRow && !m.bad {
		b.setBad(m, true)
		m.trial = b.now + trialEvery
	}
}

// adjustTrust moves the trust in a member by an answer that was quick or slow. It guards against members that grow
// slow while they still answer, and against sources that more rely on than they can serve: their range goes
// to the next score, where all directors find the same way by themselves.
func (b *Balancer) adjustTrust(m *member, quick bool) {
	t := min(1, b.trust(m)+trustBack)
	if !quick {
		t = max(leastTrust, b.trust(m)*b.trustPenalty(m))
	}
	m.doubt, m.doubted, b.best[m.role] = 1-t, b.now, leastTrust
	peers := b.parents
	if m.role == cache {
		peers = b.caches
	}
	for _, p := range peers {
		if t := b.trust(p); t > b.best[m.role] && b.usable(p) {
			if b.best[m.role] = t; t >= 1 { // nobody is trusted more
				break
			}
		}
	}
}

// trustPenalty is what a slow answer leaves of the trust in a member. The more directors share the origin, the fewer
// of its answers each sees, and the longer all ask too much of it; the root leaves room for chance.
func (b *Balancer) trustPenalty(m *member) float64 {
	if m.role != origin {
		return trustCut
	}
	return trustCut / math.Sqrt(max(1, b.directors()/thinOver))
}

// trust is how well a member has answered lately, up to 1.
func (b *Balancer) trust(m *member) float64 {
	return min(1, 1-m.doubt+float64(b.now-m.doubted)/float64(forgiveTime))
}

// slack is the time that the aim of a request leaves beside its sending time, in seconds.
func (r *request) slack() float64 {
	return max(r.class.LatencyObjective.Seconds()+(r.class.ObjectiveStretch-1)*r.work, leastSlack.Seconds())
}

// slow tells whether an answer that comes now, or has yet to come, takes up most of the time to spare.
func (b *Balancer) slow(r *request, a *attempt) bool {
	return (b.now-a.sent).Seconds()-r.work > slowFrom*r.slack()
}

// handleOverdue meets an answer that does not come, long before any time-out: from a slow, hung, vanished or cut
// off member. A cache that has answered since is not silent; then its source is in question. What a bad
// member owes is called off, so that it can be sent elsewhere; not what the origin owes, which has no peer.
func (b *Balancer) handleOverdue(r *request, i int) {
	a := &r.attempts[i]
	if !a.late {
		a.late = true
		if m := a.source; m != a.node && (a.node.sign > a.sent || !b.known(r)) {
			b.adjustTrust(m, false)
		} else {
			b.adjustTrust(a.node, false)
		}
	}
	for _, m := range []*member{a.node, a.source} {
		if !a.silent && m.sign <= a.sent && b.now-a.sent >= silentAfter {
			a.silent = true
			b.recordFailure(m)
		}
	}
	elsewhere := (a.node.bad || a.source.bad) && a.source.role != origin
	if elsewhere && !r.done && r.class.Idempotency == Idempotent && b.s.Capabilities.Cancellation {
		a.cancelled = true
		b.do(CancelAttempt{ID: r.ID, Attempt: i})
	}
}
