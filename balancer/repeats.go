package balancer

import (
	"slices"
	"time"
)

// This file holds the idempotency rule: whether an attempt may follow earlier attempts of the same request, and at which
// endpoints. Every attempt is checked against it, as it is decided and again as it is written.

// RepeatRule is the part of a class that says when its requests may run again.
type RepeatRule struct {
	Idempotency Idempotency
	DedupScope  DedupScope    // for IdempotentByKey
	DedupWindow time.Duration // for IdempotentByKey
}

// RepeatRule returns the idempotency rule of a class.
func (c *Class) RepeatRule() RepeatRule {
	return RepeatRule{Idempotency: c.Idempotency, DedupScope: c.DedupScope, DedupWindow: c.DedupWindow}
}

// Placement is where an endpoint is listed. Endpoints with a common deduplication scope drop each other's repeats.
type Placement struct {
	Zone string
	Cell int
}

// Execution is an attempt that may have run, or that may still run.
type Execution struct {
	SentAt    time.Duration // when it was sent
	Placement Placement     // of its endpoint at that time
}

// RepeatVerdict says why an attempt is allowed or forbidden, given the earlier attempts of its request.
type RepeatVerdict uint8

// The verdicts. The first three allow an attempt, the others forbid it.
const (
	NothingRan          RepeatVerdict = iota // no earlier attempt can have run
	RepeatHarmless                           // the class is idempotent
	RepeatDeduplicated                       // the endpoint drops a repeat
	EffectNotRepeatable                      // the class is not idempotent
	DedupWindowOver                          // endpoints may have forgotten the idempotency key
	OutsideDedupScope                        // the endpoint does not know the idempotency key
	AttemptOpen                              // an attempt is in flight, and only one may be
	AbandonedAtEndpoint                      // the router never sends the request to this endpoint again
)

// repeatVerdictNames are the names of the verdicts in the log.
var repeatVerdictNames = [...]string{"nothing-ran", "repeat-harmless", "repeat-deduplicated", "effect-not-repeatable",
	"dedup-window-over", "outside-dedup-scope", "attempt-open", "abandoned-at-endpoint"}

// String returns the name of the verdict in the log.
func (v RepeatVerdict) String() string { return repeatVerdictNames[v] }

// Allowed reports whether the attempt may be sent.
func (v RepeatVerdict) Allowed() bool { return v <= RepeatDeduplicated }

// Check decides whether a request that may have run may be sent to an endpoint with the given placement now.
func (rule RepeatRule) Check(earlier Execution, placement Placement, now time.Duration) RepeatVerdict {
	switch {
	case rule.Idempotency == Idempotent:
		return RepeatHarmless
	case rule.Idempotency != IdempotentByKey:
		return EffectNotRepeatable
	case now-earlier.SentAt >= rule.DedupWindow:
		return DedupWindowOver
	case !rule.inSameScope(earlier.Placement, placement):
		return OutsideDedupScope
	}
	return RepeatDeduplicated
}

// inSameScope reports whether endpoints with two placements drop each other's repeats.
func (rule RepeatRule) inSameScope(x, y Placement) bool {
	switch rule.DedupScope {
	case DedupEverywhere:
		return true
	case DedupInZone:
		return x.Zone == y.Zone
	}
	return x == y
}

// checkRepeat decides whether a request may be sent to an endpoint now, given its earlier attempts.
func (b *Balancer) checkRepeat(r *request, e *endpoint) RepeatVerdict {
	if r.abandonedAt(e) {
		return AbandonedAtEndpoint
	}
	return b.checkEarlierAttempts(r, func(earlier Execution) RepeatVerdict {
		return r.class.RepeatRule().Check(earlier, e.placement, b.now)
	})
}

// checkRepeatAnywhere decides whether there can be an endpoint to which a request may be sent now.
func (b *Balancer) checkRepeatAnywhere(r *request) RepeatVerdict {
	return b.checkEarlierAttempts(r, func(earlier Execution) RepeatVerdict {
		return r.class.RepeatRule().Check(earlier, earlier.Placement, b.now)
	})
}

// checkEarlierAttempts returns the first verdict that forbids another attempt, or else the latest one.
func (b *Balancer) checkEarlierAttempts(r *request, check func(Execution) RepeatVerdict) RepeatVerdict {
	verdict := NothingRan
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.state == attemptNeverRan {
			continue
		}
		if a.open() && !b.mayHedge(r) {
			return AttemptOpen
		}
		verdict = check(Execution{Placement: a.placement, SentAt: a.sentAt})
		if !verdict.Allowed() {
			return verdict
		}
	}
	return verdict
}

// abandonedAt reports whether the router gave up the request at an endpoint, and so never sends it there again.
func (r *request) abandonedAt(e *endpoint) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.abandoned && a.endpoint == e })
}

// mayHedge reports whether two attempts of a request may be in flight at once.
func (b *Balancer) mayHedge(r *request) bool {
	return b.settings.Capabilities.Hedging && r.class.Idempotency == Idempotent
}
