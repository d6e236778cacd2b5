package upstream

import "sync"

// awaitedResponses holds the requests of one connection whose response has not been read yet. Responses to other requests are
// dropped as they are read, so that an endpoint can't fill the core's queue with responses that nobody awaits. Its methods may be
// called from any goroutine. The zero value is ready to use.
type awaitedResponses struct {
	mu            sync.Mutex
	txns          map[string]bool
	reportPending bool // a report of dropped responses is on its way to the core
}

// add records that a request is about to be written.
func (a *awaitedResponses) add(txn string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.txns == nil {
		a.txns = map[string]bool{}
	}
	a.txns[txn] = true
}

// remove records that a response is no longer awaited or has been read. It reports whether it was awaited.
func (a *awaitedResponses) remove(txn string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	awaited := a.txns[txn]
	delete(a.txns, txn)
	return awaited
}

// beginReport reports whether a report of dropped responses has to be sent to the core: none is on its way.
func (a *awaitedResponses) beginReport() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	begun := !a.reportPending
	a.reportPending = true
	return begun
}

// endReport records that the core got the report.
func (a *awaitedResponses) endReport() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reportPending = false
}
