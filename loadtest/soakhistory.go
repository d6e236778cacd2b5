package loadtest

import (
	"sync"
	"time"
)

// soakHistory records what happened, as clients, page caches and the discovery service saw it.
type soakHistory struct {
	mu       sync.Mutex
	requests map[uint64]*soakRequest // by txn
	attempts []*soakAttempt
	drains   map[string][]interval  // by endpoint: from the event that it drains to the event that it is back
	returns  map[string][]time.Time // by endpoint: starts of new processes, each of which is published at once
	purges   map[string][]time.Time // by object
	outages  []interval             // of the discovery service, in the order of their starts

	keyedRepeats int // attempts of keyed requests after one that may have run, as far as they were checked

	stops  map[string][]interval  // by router address: times for which its process was stopped
	kills  map[string][]time.Time // by router address
	starts map[string][]time.Time // by router address, without the first start
}

// interval is a period of time. If its end is zero, it has not ended yet.
type interval struct{ start, end time.Time }

// contains reports whether a time lies in the interval.
func (i interval) contains(at time.Time) bool {
	return !at.Before(i.start) && (i.end.IsZero() || at.Before(i.end))
}

// soakRequest is a request of a client.
type soakRequest struct {
	txn          uint64
	router       string // its address
	class        string
	timeout      time.Duration
	sent         time.Time
	abandoned    time.Time // when the client cancelled it or closed its connection; zero: it did neither
	disconnected time.Time // when the router ended the connection; zero: it did not
	answers      []soakAnswer
	readSlowly   bool // the client reads answers slowly
}

// soakAnswer is an answer to a request.
type soakAnswer struct {
	received time.Time
	code     string // of an error; empty: the request was served
}

// soakAttempt is an attempt as a page cache received it.
type soakAttempt struct {
	txn     uint64
	class   string
	object  string
	cache   string
	cell    int    // of the page cache
	source  string // endpoint from which the page cache is to fill
	timeout time.Duration
	maxAge  time.Duration // of a copy that the router accepts; 0: any
	arrived time.Time
	ended   time.Time // when it was answered or cancelled, or its connection ended; zero: it is in flight
	ran     bool      // it may have run
}

func newSoakHistory() *soakHistory {
	return &soakHistory{
		requests: map[uint64]*soakRequest{},
		drains:   map[string][]interval{},
		returns:  map[string][]time.Time{},
		purges:   map[string][]time.Time{},
		stops:    map[string][]interval{},
		kills:    map[string][]time.Time{},
		starts:   map[string][]time.Time{},
	}
}

// update runs a function that reads or changes the history while no other does.
func (h *soakHistory) update(change func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	change()
}

// runningFrom returns the earliest time, not before the given one, at which a router's process was not stopped.
func (h *soakHistory) runningFrom(router string, at time.Time) time.Time {
	for _, stop := range h.stops[router] {
		if stop.contains(at) && !stop.end.IsZero() {
			return stop.end
		}
	}
	return at
}

// lastStart returns when a router was last restarted before a time; zero: it was not restarted before it.
func (h *soakHistory) lastStart(router string, before time.Time) (last time.Time) {
	for _, start := range h.starts[router] {
		if start.Before(before) {
			last = later(last, start)
		}
	}
	return last
}

// receiptTime returns the time by which a router should have received the event that was published at published. It allows
// for the last restart of the router before now, and for outages of the discovery service.
func (h *soakHistory) receiptTime(router string, published, now time.Time) time.Time {
	at := published.Add(soakEventDelay)
	if start := h.lastStart(router, now); !start.IsZero() {
		at = later(at, start.Add(soakReconnectDelay))
	}
	for _, outage := range h.outages {
		if outage.start.Before(at) && at.Before(outage.end.Add(soakReconnectDelay)) {
			at = outage.end.Add(soakReconnectDelay)
		}
	}
	return at
}

// killedWithin reports whether a router was killed within a period of time.
func (h *soakHistory) killedWithin(router string, from, to time.Time) bool {
	for _, at := range h.kills[router] {
		if !at.Before(from) && !at.After(to) {
			return true
		}
	}
	return false
}

// stoppedWithin returns for how long a router's process was stopped within a period of time.
func (h *soakHistory) stoppedWithin(router string, from, to time.Time) (total time.Duration) {
	for _, stop := range h.stops[router] {
		end := to
		if !stop.end.IsZero() {
			end = earlier(stop.end, to)
		}
		total += max(end.Sub(later(stop.start, from)), 0)
	}
	return total
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
