// Package discovery watches the operators' discovery service, which the settings and the wire call the journal. The
// service publishes the list of endpoints (page caches) and the purges of objects as a log of events with positions, over
// server-sent events.
//
// A Watcher follows the stream of one call to the service. When the stream ends or falls silent, the Watcher calls again and
// resumes after the latest delivered event. It delivers each event once and in order to an EventHandler.
package discovery

import (
	"sync"
	"time"

	"hillknot/internal/clock"
	"hillknot/internal/config"
	"hillknot/internal/core"
	"hillknot/internal/jsonfields"
	"hillknot/internal/logging"
	"hillknot/internal/netio"
)

var log = logging.For("discovery")

// EventHandler receives the events; core.Core implements it. The Watcher calls PostWatchEvent from any goroutine, and the
// other methods only from the functions that it passes to PostWatchEvent.
type EventHandler interface {
	PostWatchEvent(f func())
	ReplaceEndpoints(all []core.EndpointUpdate)
	UpdateEndpoints(changed []core.EndpointUpdate)
	PurgeObject(object uint64, at time.Duration)
	PurgeGroup(group uint64, at time.Duration)
}

// Watcher watches one address of the discovery service at a time. Its methods may be called from any goroutine.
type Watcher struct {
	limits config.Limits
	queue  eventQueue
	dial   dialFunc

	mu       sync.Mutex
	target   target
	delivery deliveryState
	stream   *call // the call whose stream is followed; nil: no call is answered
	// caughtUpAt is the latest moment, as a reading of package clock, at which everything that the service had sent was
	// read. Events that are read later were published later.
	caughtUpAt time.Duration
}

// target is the address of the service that is watched.
type target struct {
	address string
	changed chan struct{} // closed when SetAddress replaces this target
}

// New returns a watcher, and delivers the events that start holds. These come from the configuration, and are the events
// of the service up to the start of the process. Run resumes after them. An error names the faulty key of start.
func New(handler EventHandler, address string, limits config.Limits, start jsonfields.Object) (*Watcher, error) {
	events, last, err := parseKnownEvents(start)
	if err != nil {
		return nil, err
	}
	w := &Watcher{
		limits:   limits,
		dial:     netio.DialContext,
		queue:    eventQueue{handler: handler, pacer: pacer{interval: limits.DiscoveryReadInterval}},
		target:   target{address: address, changed: make(chan struct{})},
		delivery: deliveryState{advanced: make(chan struct{})},
	}
	for _, e := range events {
		w.deliver(e)
	}
	w.queue.flush()
	w.delivery.last = max(last, w.delivery.last)
	w.caughtUpAt = clock.Now() // the events of start may have any age; all others are published from now on
	return w, nil
}

// Position returns the position of the latest delivered event; 0: none.
func (w *Watcher) Position() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.delivery.last
}

// WaitForPosition waits until the event at a position is delivered. It reports whether that happened before the timeout
// ended and before cancel was closed.
func (w *Watcher) WaitForPosition(position int64, timeout time.Duration, cancel <-chan struct{}) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		w.mu.Lock()
		last, advanced := w.delivery.last, w.delivery.advanced
		w.mu.Unlock()
		if last >= position {
			w.queue.flush()
			return true
		}
		select {
		case <-advanced:
		case <-timer.C:
			return false
		case <-cancel:
			return false
		}
	}
}

// SetAddress makes Run connect to another address at once, and resume there after the latest delivered event. It does
// nothing if the address is the same.
func (w *Watcher) SetAddress(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if address != w.target.address {
		close(w.target.changed)
		w.target = target{address: address, changed: make(chan struct{})}
	}
}

// HasBacklog reports whether the service has published, or may have published, events that are not delivered yet. They are
// possible while no call is answered, and until what the service sent over an answered one is read.
func (w *Watcher) HasBacklog() bool {
	w.mu.Lock()
	stream := w.stream
	caughtUp := stream != nil && stream.caughtUp
	w.mu.Unlock()
	return !caughtUp || stream.hasPendingInput() || w.queue.isWaiting()
}

// Run watches until stop is closed, and returns after its calls have ended. It may be called once. If the address changes, it calls
// the new one at once; see callSet for the calls to one address.
func (w *Watcher) Run(stop <-chan struct{}) {
	for {
		w.newCallSet(w.currentTarget()).run(stop)
		select {
		case <-stop:
			return
		default:
		}
	}
}

// currentTarget returns the address to call.
func (w *Watcher) currentTarget() target {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.target
}

// setStream records the call whose stream is followed; nil: none.
func (w *Watcher) setStream(c *call) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stream = c
}

// noteCaughtUp records that everything that the service had sent over the connection of a call was read at a given time.
func (w *Watcher) noteCaughtUp(c *call, at time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.caughtUpAt = max(w.caughtUpAt, at)
	c.caughtUp = true
}

// receive delivers, drops or skips an event; parseErr is set if the event could not be parsed. It returns a
// *missingEventError or errTooManyUnapplied if the connection must end, so that the next one requests the event again.
func (w *Watcher) receive(e event, parseErr error) error {
	w.mu.Lock()
	last := w.delivery.last
	action := w.delivery.decide(e.position, parseErr == nil)
	w.mu.Unlock()
	if w.queue.isFull() {
		return errTooManyUnapplied
	}
	switch action {
	case deliverEvent:
	case dropDuplicate:
		return nil
	case refetchEvent:
		return &missingEventError{position: e.position, last: last, cause: parseErr}
	case skipUnreadable:
		log.Error("discovery event skipped", logging.KeyPosition, e.position, logging.KeyError, parseErr)
		e = event{position: e.position}
	}
	w.deliver(e)
	return nil
}

// deliver queues an event for the handler unless the event was delivered before: an old connection may still receive an event
// that the new one has received. The first event holds the complete list, also where it does not say so.
func (w *Watcher) deliver(e event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if e.position <= w.delivery.last {
		return
	}
	if e.kind == eventEndpoints && w.delivery.last == 0 {
		e.endpoints.complete = true
	}
	e.convertStamps(clock.Now(), clock.Wall(), w.caughtUpAt)
	w.delivery.advance(e.position)
	w.queue.add(e)
}
