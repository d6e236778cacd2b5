package msgpackrpc

import (
	"sync"
	"sync/atomic"

	"hillknot/internal/core"
	"hillknot/internal/netio"
)

// This file decides, as a request is read, whether it is passed on to the core. The core takes requests in its own time, so what
// waits for it has to be bounded here: by the number of requests and by their bytes.

const (
	// admissionFactor is the number of requests that may be on their way to or in the core, in multiples of the open requests
	// that the core takes. The excess leaves room for requests whose cancellation the core has not seen yet.
	admissionFactor = 2

	// Once sharedNumerator / sharedDenominator of the open requests that the core takes are in use, connections with
	// fewRequests requests or more get no further ones, so that those who send without pause leave room for the others.
	sharedNumerator   = 3
	sharedDenominator = 4
	fewRequests       = 4

	// requestOverheadBytes is the memory that a request takes in the core besides its body.
	requestOverheadBytes = 1 << 10
)

// serverAdmission bounds the requests of all connections that were passed on to the core and have no answer yet.
type serverAdmission struct {
	openRequests int64 // that the core takes
	requests     atomic.Int64
	budget       *netio.Budget
}

// admit counts a request of a size in bytes, or returns why it is refused. onConnection is the number of requests that are
// admitted on the same connection.
func (a *serverAdmission) admit(size, onConnection int) (refused core.RefusalReason, ok bool) {
	limit := admissionFactor * a.openRequests
	if onConnection >= fewRequests {
		limit = a.openRequests * sharedNumerator / sharedDenominator
	}
	if a.requests.Add(1) > limit {
		a.requests.Add(-1)
		return core.RefusedTooManyOpen, false
	}
	if a.budget.AboveHighWater() || !a.budget.Take(size) {
		a.requests.Add(-1)
		return core.RefusedMemory, false
	}
	return 0, true
}

// release stops counting a request.
func (a *serverAdmission) release(size int) {
	a.requests.Add(-1)
	a.budget.Release(size)
}

// admission holds the requests of one connection that were passed on to the core and have no answer yet. Its methods may be
// called from any goroutine.
type admission struct {
	server *serverAdmission
	max    int // requests at a time

	mu       sync.Mutex
	count    int               // requests that are admitted and not released
	tickets  map[uint64]ticket // by message id, without cancelled requests
	previous uint64            // number of the latest ticket
}

// ticket is an admitted request.
type ticket struct {
	messageID uint64
	number    uint64 // distinguishes requests of the connection that have the same message id, one after the other
	size      int
}

func newAdmission(server *serverAdmission, maxRequests int) *admission {
	return &admission{server: server, max: maxRequests, tickets: map[uint64]ticket{}}
}

// admit counts a request of a size in bytes, or returns why it is refused. The caller releases the ticket.
func (a *admission) admit(messageID uint64, size int) (t ticket, refused core.RefusalReason, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.count >= a.max {
		return t, core.RefusedTooManyOnConnection, false
	}
	if refused, ok := a.server.admit(size, a.count); !ok {
		return t, refused, false
	}
	a.count++
	a.previous++
	t = ticket{messageID: messageID, number: a.previous, size: size}
	a.tickets[messageID] = t
	return t, 0, true
}

// contains reports whether a request with a message id is admitted and not cancelled.
func (a *admission) contains(messageID uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	_, found := a.tickets[messageID]
	return found
}

// cancel returns which of the message ids belong to admitted requests. Each is returned once: a cancellation that comes again is
// of no use to the core.
func (a *admission) cancel(messageIDs []uint64) (cancelled []uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, messageID := range messageIDs {
		if _, found := a.tickets[messageID]; found {
			delete(a.tickets, messageID)
			cancelled = append(cancelled, messageID)
		}
	}
	return cancelled
}

// release stops counting a request, which is answered or cancelled. It must be called once for each ticket.
func (a *admission) release(t ticket) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.count--
	if a.tickets[t.messageID].number == t.number {
		delete(a.tickets, t.messageID)
	}
	a.server.release(t.size)
}

// isEmpty reports whether no request is admitted.
func (a *admission) isEmpty() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.count == 0
}
