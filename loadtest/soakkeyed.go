package loadtest

import (
	"time"

	"hillknot/internal/rpc"
)

// The runs of some seeds have a keyed class: page caches of one cell drop repeats of its requests, for a time. Their routers
// may also send attempts straight to the origin, which belongs to no cell.
const (
	soakKeyedRunEvery = 4 // seeds; the first is 1
	soakKeyedCells    = 3
	soakKeyedWindow   = 800 * time.Millisecond // for which page caches drop repeats
	soakKeyedDraws    = 4                      // of eight draws of a request's class, so many are keyed
)

// hasKeyedClass reports whether clients send keyed requests in the run of a seed.
func hasKeyedClass(seed uint64) bool { return seed%soakKeyedRunEvery == 1 }

// soakCells returns the number of cells in the run of a seed; 0: there are none, and no keyed class.
func soakCells(seed uint64) int {
	if hasKeyedClass(seed) {
		return soakKeyedCells
	}
	return 0
}

// soakWindow returns the window of the keyed class in the run of a seed; 0: there is no keyed class.
func soakWindow(seed uint64) time.Duration {
	if hasKeyedClass(seed) {
		return soakKeyedWindow
	}
	return 0
}

// checkKeyedRuns checks that a keyed request that may have run got further attempts only in the cell where it ran, and only
// within the window. The attempts are in the order of their arrival.
func (h *soakHistory) checkKeyedRuns(attempts []*soakAttempt, report reportViolation) {
	for i, a := range attempts {
		for _, earlier := range attempts[:i] {
			if earlier.ran {
				h.checkKeyedRepeat(earlier, a, report)
			}
		}
	}
}

// checkKeyedRepeat checks an attempt that follows one that may have run.
func (h *soakHistory) checkKeyedRepeat(earlier, a *soakAttempt, report reportViolation) {
	h.keyedRepeats++
	if a.cell != earlier.cell {
		report(a.arrived, "%016x: may have run at %s (cell %d) and was sent to %s (cell %d) then", a.txn, earlier.cache, earlier.cell,
			a.cache, a.cell)
	}
	late := a.arrived.Sub(earlier.arrived) - soakKeyedWindow - h.stoppedWithin(h.requests[a.txn].router, earlier.arrived, a.arrived)
	if late > soakReadTolerance {
		report(a.arrived, "%016x: sent again %v after the end of the window in which page caches drop repeats", a.txn, late)
	}
}

// checkRejection checks that a request that may not be sent again freely was not rejected after it may have run: a rejection
// tells the client that trying again does no harm.
func checkRejection(r *soakRequest, attempts []*soakAttempt, report reportViolation) {
	for _, answer := range r.answers {
		if answer.code != rpc.CodeThrottled {
			continue
		}
		for _, a := range attempts {
			if a.ran && a.arrived.Before(answer.received) {
				report(answer.received, "%016x (%s): rejected, although it may have run at %s", r.txn, r.class, a.cache)
			}
		}
	}
}
