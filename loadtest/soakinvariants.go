package loadtest

import (
	"fmt"
	"time"
)

// Tolerances of the invariants. They hold what the operators' rules allow, and the delay with which this program may read
// what a router wrote.
const (
	soakAnswerTolerance    = 500 * time.Millisecond  // an answer may arrive this long after the request's timeout
	soakReadTolerance      = 200 * time.Millisecond  // written data is read within this time
	soakTimeoutExcess      = 150 * time.Millisecond  // an attempt's timeout may exceed the remaining wait of its client by this
	soakAbandonedTolerance = 100 * time.Millisecond  // an attempt may start this long after its client abandoned the request
	soakDrainTolerance     = 300 * time.Millisecond  // an attempt may start at a draining endpoint this long after the event
	soakPurgeTolerance     = 1050 * time.Millisecond // an attempt may still accept any copy this long after a purge
	soakEventDelay         = 100 * time.Millisecond  // a router receives an event within this time, unless discovery is down
	soakReconnectDelay     = 400 * time.Millisecond  // a router receives events within this time after an outage or its own start
	soakStampPrecision     = 2 * time.Millisecond    // stamps are truncated to milliseconds
	soakPurgeDuration      = 6 * time.Second         // page caches drop purged copies within this time
	soakIdleCloseRace      = 50 * time.Millisecond   // a request may cross the end of an idle connection within this time
	soakSlowReadTolerance  = 6 * time.Second         // a client that reads slowly reads written data within this time
)

// reportViolation reports that an invariant was violated at a time.
type reportViolation func(at time.Time, format string, args ...any)

// checkInvariants returns the violations of invariants, each with its time in seconds since the start of the seed, and then
// the process errors.
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
		h.checkRuns(h.requests[txn], requestAttempts, report)
	}
	h.checkSlowStart(report)
	s.mu.Lock()
	defer s.mu.Unlock()
	return append(violations, s.processErrors...)
}

// checkAnswer checks that a request got one answer, in time. No answer is due if the client abandoned the request, its router
// was killed, or the request crossed the end of the connection.
func (h *soakHistory) checkAnswer(r *soakRequest, report reportViolation) {
	end := r.sent.Add(r.timeout + soakAnswerTolerance + soakReadTolerance)
	if r.readSlowly {
		end = end.Add(soakSlowReadTolerance)
	}
	switch {
	case len(r.answers) > 1:
		report(r.answers[1].received, "%016x: got %d answers", r.txn, len(r.answers))
	case len(r.answers) == 1:
		received := r.answers[0].received
		if late := received.Sub(end) - h.stoppedWithin(r.router, r.sent, received); late > 0 {
			report(received, "%016x: the answer came %v too late", r.txn, late)
		}
	case !r.abandoned.IsZero(): // no answer is due
	case h.killedWithin(r.router, r.sent.Add(-soakIdleCloseRace), end.Add(time.Second)): // the request is lost with its router
	case !r.disconnected.IsZero() && r.disconnected.Sub(r.sent) < soakIdleCloseRace+soakReadTolerance:
		// The request crossed the end of the connection.
	case !r.disconnected.IsZero():
		report(r.disconnected, "%016x (%s) at %s: the connection ended %v after the request was sent, without an answer", r.txn,
			r.class, r.router, r.disconnected.Sub(r.sent))
	default:
		report(end, "%016x (%s) at %s: no answer", r.txn, r.class, r.router)
	}
}

// checkAttempt checks that an attempt belongs to a request, and that it was allowed at the time it was made.
func (h *soakHistory) checkAttempt(a *soakAttempt, report reportViolation) {
	r := h.requests[a.txn]
	if isFloodTxn(a.txn) {
		return
	}
	if r == nil {
		report(a.arrived, "%016x at %s: no client sent this request", a.txn, a.cache)
		return
	}
	sent := r.sent
	// A stopped router can't have read the request before its process continued.
	if running := h.runningFrom(r.router, sent); !a.arrived.Before(running) {
		sent = running
	}
	if left := r.timeout - sent.Sub(r.sent); a.timeout > left+soakTimeoutExcess {
		report(a.arrived, "%016x at %s: the timeout of the attempt is %v, but the client waits at most %v", a.txn, a.cache,
			a.timeout, left)
	}
	h.checkAbandoned(r, a, report)
	h.checkDraining(r, a, report)
	h.checkPurged(r, a, report)
}

// checkAbandoned checks that an attempt did not start after its client had abandoned the request. The time for which the
// router was stopped is added to the tolerance: it may have written the attempt before a stop, or after a stop but before it
// could read its sockets, and such an attempt may be read late.
func (h *soakHistory) checkAbandoned(r *soakRequest, a *soakAttempt, report reportViolation) {
	if r.abandoned.IsZero() {
		return
	}
	late := a.arrived.Sub(r.abandoned)
	if late > soakAbandonedTolerance+soakReadTolerance+h.stoppedWithin(r.router, r.abandoned, a.arrived) {
		report(a.arrived, "%016x at %s: the attempt started %v after its client abandoned the request", a.txn, a.cache, late)
	}
}

// checkDraining checks that an attempt used no endpoint that drains, neither directly nor as the source of a fill.
func (h *soakHistory) checkDraining(r *soakRequest, a *soakAttempt, report reportViolation) {
	for _, endpoint := range []string{a.cache, a.source} {
		for _, drain := range h.drains[endpoint] {
			known := h.receiptTime(r.router, drain.start, a.arrived)
			if drain.contains(a.arrived) && a.arrived.Sub(known) > soakDrainTolerance+soakReadTolerance {
				report(a.arrived, "%016x at %s, filled from %q: %s has been draining for %v", a.txn, a.cache, a.source, endpoint,
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
			report(a.arrived, "%016x at %s: the attempt accepts a copy of age %v (0: any), %v after a purge", a.txn, a.cache,
				a.maxAge, age)
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
				report(a.arrived, "%016x: in flight at both %s and %s for %v", a.txn, before.cache, a.cache, overlap)
			}
		}
	}
}

// checkRuns checks that a request ran again only as its class allows. The request is nil if no client sent it.
func (h *soakHistory) checkRuns(r *soakRequest, attempts []*soakAttempt, report reportViolation) {
	if r == nil {
		return
	}
	switch r.class {
	case classOrder:
		checkOrderRuns(attempts, report)
		checkRejection(r, attempts, report)
	case classKeyed:
		h.checkKeyedRuns(attempts, report)
		checkRejection(r, attempts, report)
	}
}

// checkOrderRuns checks that an order can't have run more than once.
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
