// Package discovery watches the operators' discovery service, which the settings and the wire call the journal. It
// publishes the list of endpoints (page caches) and the purges of objects as a log of events with positions, over
// server-sent events.
//
// A Watcher keeps one connection and connects again whenever that ends or falls silent, from the latest event on. It
// delivers each event once and in order to an EventHandler.
package discovery

import (
	"errors"
	"fmt"
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

// EventHandler receives the events, as core.Core does. The Watcher calls PostWatchEvent from any goroutine, and all
// other methods from the functions that it posts there.
type EventHandler interface {
	PostWatchEvent(f func())
	ReplaceEndpoints(all []core.EndpointUpdate)
	UpdateEndpoints(changed []core.EndpointUpdate)
	PurgeObject(object uint64, at time.Duration)
	PurgeGroup(group uint64, at time.Duration)
}

// Watcher watches one address of the discovery service at a time. Its methods may be called from any goroutine.
type Watcher struct {
	handler EventHandler
	limits  config.Limits

	mu      sync.Mutex
	target  target
	events  eventLog
	current *connection // that is open; nil: none
	// caughtUpAt is the latest moment at which all that the service had sent was read. What is read later was published
	// later.
	caughtUpAt time.Duration
}

// target is the address of the service.
type target struct {
	address string
	changed chan struct{} // closed when another address replaces this one
}

// New returns a watcher that has delivered the events of the configuration, which are those of the service up to the
// start of the process. Run goes on from there.
func New(handler EventHandler, address string, limits config.Limits, start jsonfields.Object) (*Watcher, error) {
	events, last, err := parseStart(start)
	if err != nil {
		return nil, err
	}
	w := &Watcher{
		handler: handler,
		limits:  limits,
		target:  target{address: address, changed: make(chan struct{})},
		events:  eventLog{advanced: make(chan struct{})},
	}
	for _, e := range events {
		w.deliver(e)
	}
	w.events.last = max(last, w.events.last)
	w.caughtUpAt = clock.Now() // the events of the start may be of any age, all others are published from now on
	return w, nil
}

// Position is the position of the latest event that was delivered.
func (w *Watcher) Position() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.events.last
}

// WaitForPosition waits until the event at a position is delivered, and returns whether that happened before the
// timeout and before cancel was closed.
func (w *Watcher) WaitForPosition(position int64, timeout time.Duration, cancel <-chan struct{}) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		w.mu.Lock()
		last, advanced := w.events.last, w.events.advanced
		w.mu.Unlock()
		if last >= position {
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

// SetAddress continues the watch at another address, at once and from the latest event on.
func (w *Watcher) SetAddress(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if address != w.target.address {
		close(w.target.changed)
		w.target = target{address: address, changed: make(chan struct{})}
	}
}

// HasBacklog returns whether the service has, or may have, published what is not delivered yet: while there is no
// connection, and until the first bytes on one are read.
func (w *Watcher) HasBacklog() bool {
	w.mu.Lock()
	c := w.current
	caughtUp := c != nil && c.caughtUp
	w.mu.Unlock()
	return !caughtUp || c.conn.HasUnreadInput()
}

// Run watches until stop is closed, and returns after its connection is closed. It may be called once. It connects
// again at once where the address has changed, after limits.DiscoveryBackoffMin where a connection brought something,
// and with a growing backoff otherwise.
func (w *Watcher) Run(stop <-chan struct{}) {
	retry := newBackoff(w.limits.DiscoveryBackoffMin, w.limits.DiscoveryBackoffMax)
	for {
		service, position := w.resumePoint()
		received, err := w.watch(service, position, stop)
		if err != nil {
			log.Warn("discovery connection lost", logging.KeyAddress, service.address, logging.KeyPosition, position,
				logging.KeyError, err)
		}
		wait := retry.next()
		if received {
			wait = retry.reset()
		}
		select {
		case <-stop:
			return
		case <-service.changed:
			retry.reset()
		case <-time.After(wait):
		}
	}
}

// resumePoint returns where to connect, and the position of the latest event.
func (w *Watcher) resumePoint() (target, int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.target, w.events.last
}

// setCurrent notes the connection that is open, or that there is none.
func (w *Watcher) setCurrent(c *connection) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.current = c
}

// noteCaughtUp notes that all that the service had sent over a connection by then has been read.
func (w *Watcher) noteCaughtUp(c *connection, at time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.caughtUpAt = max(w.caughtUpAt, at)
	c.caughtUp = true
}

// errSilent says that the service has sent nothing for limits.DiscoverySilence.
var errSilent = errors.New("discovery service is silent")

// watch reads events over one connection until that ends or falls silent, the address changes or stop is closed. It
// returns whether anything was received.
func (w *Watcher) watch(service target, position int64, stop <-chan struct{}) (received bool, err error) {
	c, err := w.connect(service.address)
	if err != nil {
		return false, err
	}
	defer c.conn.Close()
	w.setCurrent(c)
	defer w.setCurrent(nil)
	if err := c.conn.WriteSync(appendWatchRequest(nil, service.address, position)); err != nil {
		return false, err
	}
	silence := time.NewTimer(w.limits.DiscoverySilence)
	defer silence.Stop()
	for {
		select {
		case <-c.received:
			received = true
			silence.Reset(w.limits.DiscoverySilence)
		case <-c.closed:
			return received, fmt.Errorf("connection ended: %w", netio.ErrClosed)
		case <-silence.C:
			return received, fmt.Errorf("%w: nothing for %v", errSilent, w.limits.DiscoverySilence)
		case <-service.changed:
			return received, nil
		case <-stop:
			return received, nil
		}
	}
}

// receive delivers an event that was read, or failed to be read with parseErr. It returns an error where the connection
// is to be ended, so that the next one asks for the event again.
func (w *Watcher) receive(e event, parseErr error) error {
	w.mu.Lock()
	last := w.events.last
	fate := w.events.decide(e.position, parseErr == nil)
	w.mu.Unlock()
	switch fate {
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

// deliver posts an event to the handler, once: an old connection may still bring what a new one has brought. The first
// event holds the complete list.
func (w *Watcher) deliver(e event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if e.position <= w.events.last {
		return
	}
	if e.kind == eventEndpoints && w.events.last == 0 {
		e.endpoints.complete = true
	}
	e.setTimes(clock.Now(), clock.Wall(), w.caughtUpAt)
	w.events.advance(e.position)
	w.handler.PostWatchEvent(func() { e.apply(w.handler) })
}
