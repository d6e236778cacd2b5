package core

import "sync"

// eventQueue queues the calls that other goroutines post to the loop's goroutine. Any goroutine may call its methods.
type eventQueue struct {
	wake chan struct{} // holds one token if calls have come in since the loop last woke up

	mu          sync.Mutex
	watchEvents []func() // of discovery; they run before the calls of the same iteration
	calls       []func()
	peak        int // the largest number of queued calls so far
}

// QueueUsage says how many calls of other goroutines wait for the event loop.
type QueueUsage struct{ Length, Peak int }

func newEventQueue() eventQueue { return eventQueue{wake: make(chan struct{}, 1)} }

// Post has f called on the core's goroutine, in the order of the calls of Post. Any goroutine may call it.
func (c *Core) Post(f func()) { c.queue.post(&c.queue.calls, f) }

// PostWatchEvent is Post for a watch event of discovery. f runs before all other calls of the same iteration, so that
// no request is decided by an endpoint list or a cached copy that is known to be outdated. Any goroutine may call it.
func (c *Core) PostWatchEvent(f func()) { c.queue.post(&c.queue.watchEvents, f) }

func (q *eventQueue) post(to *[]func(), f func()) {
	q.mu.Lock()
	*to = append(*to, f)
	q.peak = max(q.peak, len(q.watchEvents)+len(q.calls))
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default: // the loop is about to wake up already
	}
}

// takeAll removes and returns all queued calls, watch events first.
func (q *eventQueue) takeAll() []func() {
	q.mu.Lock()
	defer q.mu.Unlock()
	all := append(q.watchEvents, q.calls...)
	q.watchEvents, q.calls = nil, nil
	return all
}

// takeWatchEvents removes and returns the queued watch events.
func (q *eventQueue) takeWatchEvents() []func() {
	q.mu.Lock()
	defer q.mu.Unlock()
	events := q.watchEvents
	q.watchEvents = nil
	return events
}

func (q *eventQueue) usage() QueueUsage {
	q.mu.Lock()
	defer q.mu.Unlock()
	return QueueUsage{Length: len(q.watchEvents) + len(q.calls), Peak: q.peak}
}
