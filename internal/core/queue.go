package core

import "sync"

// eventQueue takes calls for the loop's goroutine from all others. Any goroutine may call its methods.
type eventQueue struct {
	wake chan struct{} // holds one token where something has come in since the loop last looked

	mu          sync.Mutex
	watchEvents []func() // of discovery; they come before the calls of the same iteration
	calls       []func()
}

func newEventQueue() eventQueue { return eventQueue{wake: make(chan struct{}, 1)} }

// Post has f called on the core's goroutine, in the order of the posts. Any goroutine may call it.
func (c *Core) Post(f func()) { c.queue.post(&c.queue.calls, f) }

// PostWatchEvent is Post for a watch event of discovery: it comes before all other calls of the iteration that
// takes it, so that no request is decided by an endpoint list or a cached copy that is known to be outdated. Any
// goroutine may call it.
func (c *Core) PostWatchEvent(f func()) { c.queue.post(&c.queue.watchEvents, f) }

func (q *eventQueue) post(to *[]func(), f func()) {
	q.mu.Lock()
	*to = append(*to, f)
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default: // the loop is about to look already
	}
}

// takeAll returns what has come in, watch events first.
func (q *eventQueue) takeAll() []func() {
	q.mu.Lock()
	defer q.mu.Unlock()
	all := append(q.watchEvents, q.calls...)
	q.watchEvents, q.calls = nil, nil
	return all
}

// takeWatchEvents returns the watch events that have come in.
func (q *eventQueue) takeWatchEvents() []func() {
	q.mu.Lock()
	defer q.mu.Unlock()
	events := q.watchEvents
	q.watchEvents = nil
	return events
}
