package loadtest

import (
	"fmt"
	"time"
)

// The invariants, with the slack that the operators' rules give and what this program itself may be late by: it reads what
// a router wrote some time after it was written.
const (
	soakLate       = 500 * time.Millisecond  // an answer may come so long after its time
	soakReadLate   = 200 * time.Millisecond  // what was written is read within this
	soakToldMore   = 150 * time.Millisecond  // a page cache may be told to wait so much longer than the client does
	soakAfterLeft  = 100 * time.Millisecond  // an attempt may begin so long after its client left
	soakAfterDrain = 300 * time.Millisecond  // and at a page cache after it was told to drain
	soakAfterPurge = 1050 * time.Millisecond // from then on what is asked for is bound by a purge
	soakTold       = 100 * time.Millisecond  // by then a router has heard what the journal tells, unless that was down
	soakRecall     = 400 * time.Millisecond  // and after the journal was down or cut, or the router started
	soakStamp      = 2 * time.Millisecond    // stamps are cut to milliseconds
	soakPurgeDone  = 6 * time.Second         // page caches have dropped what was purged
	soakCrossed    = 50 * time.Millisecond   // a request may cross the end of a resting connection
)

// judge returns what was broken.
func (s *soak) judge() (violations []string) {
	h := s.history
	h.mu.Lock()
	defer h.mu.Unlock()
	broken := func(at time.Time, format string, args ...any) {
		violations = append(violations, fmt.Sprintf("%6.3f ", at.Sub(s.start).Seconds())+fmt.Sprintf(format, args...))
	}
	for _, r := range h.requests {
		h.judgeAnswer(r, broken)
	}
	attempts := map[uint64][]*soakAsk{}
	for _, a := range h.asks {
		attempts[a.txn] = append(attempts[a.txn], a)
		h.judgeAttempt(a, broken)
	}
	for txn, all := range attempts {
		h.judgeAttempts(h.requests[txn], all, broken)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return append(violations, s.faults...)
}

type breakFunc func(at time.Time, format string, args ...any)

// judgeAnswer holds a request to its one answer in time.
func (h *soakHistory) judgeAnswer(r *soakRequest, broken breakFunc) {
	end := r.sent.Add(r.limit + soakLate + soakReadLate)
	switch {
	case len(r.answers) > 1:
		broken(r.answers[1].at, "%016x: %d answers", r.txn, len(r.answers))
	case len(r.answers) == 1:
		late := r.answers[0].at.Sub(end) - h.stoppedWithin(r.router, r.sent, r.answers[0].at)
		if late > 0 {
			broken(r.answers[0].at, "%016x: answered %v too late", r.txn, late)
		}
	case !r.left.IsZero(): // nothing is owed
	case h.deadWithin(r.router, r.sent.Add(-soakCrossed), end.Add(time.Second)): // lost with its router
	case !r.cut.IsZero() && r.cut.Sub(r.sent) < soakCrossed+soakReadLate: // it crossed the end of the connection
	case !r.cut.IsZero():
		broken(r.cut, "%016x (%s): the connection ended %v after it was sent, with no answer", r.txn, r.class, r.cut.Sub(r.sent))
	default:
		broken(end, "%016x (%s): no answer", r.txn, r.class)
	}
}

// judgeAttempt holds one attempt to what holds at its start.
func (h *soakHistory) judgeAttempt(a *soakAsk, broken breakFunc) {
	r := h.requests[a.txn]
	if r == nil {
		broken(a.at, "%016x at %s: no client sent it", a.txn, a.cache)
		return
	}
	begun := h.runningSince(r.router, r.sent) // it can't have been written before
	if left := r.limit - begun.Sub(r.sent); a.wait > left+soakToldMore {
		broken(a.at, "%016x at %s: told to wait %v where the client has at most %v", a.txn, a.cache, a.wait, left)
	}
	if !r.left.IsZero() && a.at.Sub(r.left) > soakAfterLeft+soakReadLate+h.stoppedAround(r.router, r.left, a.at) {
		broken(a.at, "%016x at %s: begun %v after its client left", a.txn, a.cache, a.at.Sub(r.left))
	}
	for _, node := range []string{a.cache, a.source} {
		for _, d := range h.drains[node] {
			if d.covers(a.at) && a.at.Sub(h.heard(r.router, d.from, a.at)) > soakAfterDrain+soakReadLate {
				broken(a.at, "%016x at %s, filled from %q: %s drains since %v", a.txn, a.cache, a.source, node, a.at.Sub(d.from))
			}
		}
	}
	for _, p := range h.purges[a.object] {
		age := a.at.Sub(p)
		if a.class != "new-arrange" && a.at.Sub(h.heard(r.router, p, a.at)) > soakAfterPurge+soakReadLate && age < soakPurgeDone && (a.newer == 0 || a.newer > age+soakStamp) {
			broken(a.at, "%016x at %s: a copy of %v will do, %v after a purge", a.txn, a.cache, a.newer, age)
		}
	}
}

// stoppedAround is for how long a router stood still at the end of a stretch of time: what is read right after a stop was
// written before it, or by a process that has not read its sockets yet.
func (h *soakHistory) stoppedAround(router string, from, to time.Time) time.Duration {
	return h.stoppedWithin(router, from, to)
}

// judgeAttempts holds the attempts of one request against each other.
func (h *soakHistory) judgeAttempts(r *soakRequest, all []*soakAsk, broken breakFunc) {
	ran := 0
	for i, a := range all {
		if a.ran {
			ran++
		}
		for _, earlier := range all[:i] {
			overlap := a.at.Sub(earlier.at)
			if !earlier.ended.IsZero() {
				overlap = earlier.ended.Sub(a.at)
			}
			if overlap > soakReadLate && (earlier.ended.IsZero() || earlier.ended.After(a.at)) {
				broken(a.at, "%016x: out at %s and at %s for %v", a.txn, earlier.cache, a.cache, overlap)
			}
		}
	}
	if r != nil && r.class == "new-arrange" && ran > 1 {
		broken(all[len(all)-1].at, "%016x: an order may have run %d times", r.txn, ran)
	}
}
