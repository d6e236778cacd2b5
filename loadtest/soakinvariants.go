package loadtest

import (
	"fmt"
	"time"
)

// Tolerances of the invariants: what the operators' rules allow, and by how much later this program may read what a router
// wrote.
const (
	soakAnswerTolerance    = 500 * time.Millisecond  // an answer may come so long after the request's timeout
	soakReadTolerance      = 200 * time.Millisecond  // what was written is read within this
	soakTimeoutExcess      = 150 * time.Millisecond  // the timeout of an attempt may be so much longer than the client waits
	soakAbandonedTolerance = 100 * time.Millisecond  // an attempt may start so long after its client has abandoned the request
	soakDrainTolerance     = 300 * time.Millisecond  // and at a draining endpoint so long after the event
	soakPurgeTolerance     = 1050 * time.Millisecond // so long after a purge an attempt may still accept any copy
	soakEventDelay         = 100 * time.Millisecond  // a router has received an event by then, unless the discovery service was down
	soakReconnectDelay     = 400 * time.Millisecond  // and after an outage or its own start by then
	soakStampPrecision     = 2 * time.Millisecond    // stamps are truncated to milliseconds
	soakPurgeDuration      = 6 * time.Second         // page caches have dropped what was purged
	soakIdleCloseRace      = 50 * time.Millisecond   // a request may cross the end of an idle connection
	soakSlowReadTolerance  = 6 * time.Second         // a client that reads slowly has read what was written within this
)

// reportViolation reports that an invariant was violated at a time.
type reportViolation func(at time.Time, format string, args ...any)

// judge returns the invariants that were violated.
func (s *soakRun) checkInvariants() (violations []string) {
	h := s.history
	h.mu.Lock()
	defer h.mu.Unlock()
	report := func(at time.Time, format string, args ...any) {
		violations = append(violations, fmt.Sprintf("%6.3f ", at.Sub(s.start).Seconds())+fmt.Sprintf(format, args...))
	}
	for _, r := range h.requests {
		h.checkAnswer(r, report)
	}
	attempts := map[uint64][]*soakAttempt{}
	for _, a := range h.attempts {
		attempts[a.txn] = append(attempts[a.txn], a)
		h.checkAttempt(a, report)
	}
	for txn, requestAttempts := range attempts {
		checkConcurrency(requestAttempts, report)
		if r := h.requests[txn]; r != nil && r.class == classOrder {
			checkOrderRuns(requestAttempts, report)
		}
	}
	h.checkSlowStart(report)
	s.mu.Lock()
	defer s.mu.Unlock()
	return append(violations, s.processErrors...)
}

// checkAnswer checks that a request has one answer, in time.
func (h *soakHistory) checkAnswer(r *soakRequest, report reportViolation) {
	end := r.sent.Add(r.timeout + soakAnswerTolerance + soakReadTolerance)
	if r.readSlowly {
		end = end.Add(soakSlowReadTolerance)
	}
	switch {
	case len(r.answers) > 1:
		report(r.answers[1].received, "%016x: %d answers", r.txn, len(r.answers))
	case len(r.answers) == 1:
		received := r.answers[0].received
		if late := received.Sub(end) - h.stoppedWithin(r.router, r.sent, received); late > 0 {
			report(received, "%016x: answered %v too late", r.txn, late)
		}
	case !r.abandoned.IsZero(): // no answer is due
	case h.killedWithin(r.router, r.sent.Add(-soakIdleCloseRace), end.Add(time.Second)): // lost with its router
	case !r.disconnected.IsZero() && r.disconnected.Sub(r.sent) < soakIdleCloseRace+soakReadTolerance:
		// It crossed the end of the connection.
	case !r.disconnected.IsZero():
		report(r.disconnected, "%016x (%s) at %s: the connection ended %v after it was sent, with no answer", r.txn, r.class,
			r.router, r.disconnected.Sub(r.sent))
	default:
		report(end, "%016x (%s) at %s: no answer", r.txn, r.class, r.router)
	}
}

// checkAttempt checks that an attempt belongs to a request, and was right to make when it was made.
func (h *soakHistory) checkAttempt(a *soakAttempt, report reportViolation) {
	r := h.requests[a.txn]
	if r == nil {
		report(a.arrived, "%016x at %s: no client sent it", a.txn, a.cache)
		return
	}
	sent := r.sent
	if running := h.runningFrom(r.router, sent); !a.arrived.Before(running) { // a stopped router can't have read it before
		sent = running
	}
	if left := r.timeout - sent.Sub(r.sent); a.timeout > left+soakTimeoutExcess {
		report(a.arrived, "%016x at %s: told to wait %v where the client has at most %v", a.txn, a.cache, a.timeout, left)
	}
	h.checkAbandoned(r, a, report)
	h.checkDraining(r, a, report)
	h.checkPurged(r, a, report)
}

// checkAbandoned checks that an attempt did not start after its client had abandoned the request. The time that the router was
// stopped is added: what it wrote before a stop, or before it could read its sockets after one, may be read late.
func (h *soakHistory) checkAbandoned(r *soakRequest, a *soakAttempt, report reportViolation) {
	if r.abandoned.IsZero() {
		return
	}
	late := a.arrived.Sub(r.abandoned)
	if late > soakAbandonedTolerance+soakReadTolerance+h.stoppedWithin(r.router, r.abandoned, a.arrived) {
		report(a.arrived, "%016x at %s: begun %v after its client left", a.txn, a.cache, late)
	}
}

// checkDraining checks that an attempt used no endpoint that drains, neither directly nor as the source.
func (h *soakHistory) checkDraining(r *soakRequest, a *soakAttempt, report reportViolation) {
	for _, endpoint := range []string{a.cache, a.source} {
		for _, drain := range h.drains[endpoint] {
			known := h.receiptTime(r.router, drain.start, a.arrived)
			if drain.contains(a.arrived) && a.arrived.Sub(known) > soakDrainTolerance+soakReadTolerance {
				report(a.arrived, "%016x at %s, filled from %q: %s drains since %v", a.txn, a.cache, a.source, endpoint,
					a.arrived.Sub(drain.start))
			}
		}
	}
}

// checkPurged checks that an attempt accepted no copy from before a purge.
func (h *soakHistory) checkPurged(r *soakRequest, a *soakAttempt, report reportViolation) {
	if a.class == classOrder {
		return
	}
	for _, purge := range h.purges[a.object] {
		age := a.arrived.Sub(purge)
		known := a.arrived.Sub(h.receiptTime(r.router, purge, a.arrived)) > soakPurgeTolerance+soakReadTolerance
		acceptsOld := a.maxAge == 0 || a.maxAge > age+soakStampPrecision
		if known && age < soakPurgeDuration && acceptsOld {
			report(a.arrived, "%016x at %s: a copy of %v will do, %v after a purge", a.txn, a.cache, a.maxAge, age)
		}
	}
}

// checkConcurrency checks that no two attempts of a request were in flight at the same time.
func checkConcurrency(attempts []*soakAttempt, report reportViolation) {
	for i, a := range attempts {
		for _, before := range attempts[:i] {
			overlap := a.arrived.Sub(before.arrived)
			if !before.ended.IsZero() {
				overlap = before.ended.Sub(a.arrived)
			}
			if overlap > soakReadTolerance {
				report(a.arrived, "%016x: out at %s and at %s for %v", a.txn, before.cache, a.cache, overlap)
			}
		}
	}
}

// checkOrderRuns checks that an order may have run once at most.
func checkOrderRuns(attempts []*soakAttempt, report reportViolation) {
	ran := 0
	for _, a := range attempts {
		ran += countIf(a.ran)
	}
	if ran > 1 {
		last := attempts[len(attempts)-1]
		report(last.arrived, "%016x: an order may have run %d times", last.txn, ran)
	}
}
