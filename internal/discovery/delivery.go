package discovery

import (
	"errors"
	"sync"
	"time"

	"hillknot/internal/clock"
)

// maxUnappliedEntries is how many entries of events may wait until the handler has applied them. A purge is one entry, and so is
// each endpoint of a list.
const maxUnappliedEntries = 8192

// errTooManyUnapplied is returned when the handler applies events more slowly than the service sends them.
var errTooManyUnapplied = errors.New("too many events wait to be applied")

// eventQueue passes events on to the handler, in their order and several at a time while many come in. Its methods may be called
// from any goroutine.
type eventQueue struct {
	handler EventHandler

	posting sync.Mutex // held while events are posted, which keeps them in their order

	mu        sync.Mutex
	waiting   []event // not posted yet
	isPosting bool    // flush is posting events
	unapplied int     // entries of events that are waiting, or posted and not applied yet
	pacer     pacer
	scheduled bool // a call of flush is due
}

// size returns the number of entries of an event.
func (e *event) size() int { return 1 + len(e.endpoints.updates) }

// add adds an event. The caller calls flushPaced or flush after it.
func (q *eventQueue) add(e event) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting = append(q.waiting, e)
	q.unapplied += e.size()
}

// isFull reports whether no further event should be added until some are applied.
func (q *eventQueue) isFull() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.unapplied >= maxUnappliedEntries
}

// mayResume reports whether the service may be asked for further events after the queue was full.
func (q *eventQueue) mayResume() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.unapplied <= maxUnappliedEntries/2
}

// isWaiting reports whether events have not been posted yet.
func (q *eventQueue) isWaiting() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting) > 0 || q.isPosting
}

// flushPaced posts the events, or has them posted together with the next ones in a long burst.
func (q *eventQueue) flushPaced() {
	q.mu.Lock()
	delay := time.Duration(0)
	if len(q.waiting) > 0 {
		delay = q.pacer.delay(clock.Now())
	}
	if q.scheduled {
		q.mu.Unlock()
		return
	}
	q.scheduled = delay > 0
	q.mu.Unlock()
	if delay > 0 {
		time.AfterFunc(delay, q.flush)
		return
	}
	q.flush()
}

// flush posts all events.
func (q *eventQueue) flush() {
	q.posting.Lock()
	defer q.posting.Unlock()
	q.mu.Lock()
	events := q.waiting
	q.waiting, q.scheduled = nil, false
	q.isPosting = true
	q.mu.Unlock()
	if len(events) > 0 {
		q.handler.PostWatchEvent(func() { q.apply(events) })
	}
	q.mu.Lock()
	q.isPosting = false
	q.mu.Unlock()
}

// apply has the handler apply events.
func (q *eventQueue) apply(events []event) {
	entries := 0
	for i := range events {
		events[i].apply(q.handler)
		entries += events[i].size()
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.unapplied -= entries
}

// maxBurst is how many times events of a burst are posted without a pause. Events belong to a burst while they follow the
// previous ones within pacer.interval.
const maxBurst = 16

// pacer delays the events of a long burst, so that several are posted together: a release publishes thousands of changes, and
// each event posted separately would wake the whole router. The first events after a quiet interval are never delayed.
type pacer struct {
	interval time.Duration // minimum between two posts in a long burst
	last     time.Duration // reading of package clock at the latest post, or when the next one is due
	burst    int           // posts of the current burst so far, up to maxBurst
}

// delay returns how long events that come in now are to wait.
func (p *pacer) delay(now time.Duration) time.Duration {
	elapsed := now - p.last
	switch {
	case elapsed < 0: // the next post is due already
		return -elapsed
	case elapsed >= p.interval:
		p.burst = 0
	case p.burst < maxBurst:
		p.burst++
	default:
		p.last += p.interval
		return p.last - now
	}
	p.last = now
	return 0
}
