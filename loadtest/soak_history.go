package loadtest

import (
	"sync"
	"time"
)

// soakHistory is all that happened, as clients, page caches and the journal saw it.
type soakHistory struct {
	mu       sync.Mutex
	requests map[uint64]*soakRequest // by txn
	asks     []*soakAsk
	drains   map[string][]span // by page cache: when it was told to drain, until it was told to be back
	purges   map[string][]time.Time
	stops    map[string][]span // by router address: when its process stood still
	deaths   map[string][]time.Time
	starts   map[string][]time.Time
	outages  []span // of the journal
}

// span is a stretch of time; an end of zero says that it goes on.
type span struct{ from, to time.Time }

// covers tells whether a moment lies in the span.
func (s span) covers(at time.Time) bool {
	return !at.Before(s.from) && (s.to.IsZero() || at.Before(s.to))
}

// soakRequest is a request of a client.
type soakRequest struct {
	txn     uint64
	router  string
	class   string
	limit   time.Duration
	sent    time.Time
	left    time.Time // the client cancelled it or closed its connection; zero: it did not
	cut     time.Time // the router ended the connection; zero: it did not
	answers []soakAnswer
}

type soakAnswer struct {
	at   time.Time
	word string // of an error; empty: it was served
}

// soakAsk is an attempt as a page cache read it.
type soakAsk struct {
	txn    uint64
	class  string
	object string
	cache  string
	source string
	at     time.Time
	ended  time.Time // its answer was written, it was given up, or its connection ended; zero: it is out
	wait   time.Duration
	newer  time.Duration
	ran    bool
}

func newSoakHistory() *soakHistory {
	return &soakHistory{requests: map[uint64]*soakRequest{}, drains: map[string][]span{}, purges: map[string][]time.Time{},
		stops: map[string][]span{}, deaths: map[string][]time.Time{}, starts: map[string][]time.Time{}}
}

func (h *soakHistory) change(f func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f()
}

// runningSince is the earliest moment, from a time on, at which a router's process ran.
func (h *soakHistory) runningSince(router string, at time.Time) time.Time {
	for _, s := range h.stops[router] {
		if s.covers(at) && !s.to.IsZero() {
			return s.to
		}
	}
	return at
}

// startedBefore is when a router was started last before a time; zero: with the test.
func (h *soakHistory) startedBefore(router string, at time.Time) (last time.Time) {
	for _, start := range h.starts[router] {
		if start.Before(at) {
			last = later(last, start)
		}
	}
	return last
}

// heard is when a router should have heard, by a time, what the journal was told at another.
func (h *soakHistory) heard(router string, told, by time.Time) time.Time {
	at := told.Add(soakTold)
	if start := h.startedBefore(router, by); !start.IsZero() {
		at = later(at, start.Add(soakRecall))
	}
	for _, o := range h.outages { // in the order of their beginnings
		if o.from.Before(at) && at.Before(o.to.Add(soakRecall)) {
			at = o.to.Add(soakRecall)
		}
	}
	return at
}

// deadWithin tells whether a router was killed within a stretch of time.
func (h *soakHistory) deadWithin(router string, from, to time.Time) bool {
	for _, at := range h.deaths[router] {
		if !at.Before(from) && !at.After(to) {
			return true
		}
	}
	return false
}

// stoppedWithin is for how long a router's process stood still within a stretch of time.
func (h *soakHistory) stoppedWithin(router string, from, to time.Time) (total time.Duration) {
	for _, s := range h.stops[router] {
		begin, end := later(s.from, from), earlier(s.to, to)
		if s.to.IsZero() {
			end = to
		}
		total += max(end.Sub(begin), 0)
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
