package balancer

import "time"

// Handle processes events that arrived together, in their order, and returns the actions that the caller must carry out,
// in their order. The parameter now is the time of the caller's clock, which must not go back between calls. The result
// is valid until the next call.
func (b *Balancer) Handle(now time.Duration, events ...Event) []Action {
	b.now, b.actions = now, b.actions[:0]
	for _, ev := range events {
		b.dispatch(ev)
	}
	if b.requests.retryQueuedAfterEvents { // once for all events, as each pass visits every request of the table
		b.requests.retryQueuedAfterEvents = false
		b.retryQueued()
	}
	return b.actions
}

func (b *Balancer) dispatch(ev Event) {
	switch ev := ev.(type) {
	case Request:
		b.handleRequest(ev)
	case Outcome:
		b.handleOutcome(ev)
	case ResponseStarted:
		if r := b.requests.byID[ev.ID]; r != nil {
			r.streaming = true
		}
	case ClientAborted:
		if r := b.requests.byID[ev.ID]; r != nil {
			b.closeRequest(r)
		}
	case Purge:
		b.handlePurge(ev)
	case Timer:
		if ev.Token == scanToken {
			b.scanRequests()
		}
	case Resolve:
		b.handleResolve(ev)
	case EndpointUpdate:
		b.handleEndpointUpdate(ev)
	}
}

// emit adds an action to the result of Handle.
func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }
