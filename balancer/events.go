package balancer

import (
	"time"
)

// Events in, actions out: the entry to the module.

// Handle takes the events that came in together, in their order, and returns what to do. The result is
// valid until the next call.
func (b *Balancer) Handle(now time.Duration, evs ...Event) []Action {
	b.now, b.out = now, b.out[:0]
	for _, ev := range evs {
		b.take(ev)
	}
	if b.freed { // once for all that came in: each pass looks at every open request
		b.freed = false
		b.retryQueued()
	}
	return b.out
}

func (b *Balancer) take(ev Event) {
	switch ev := ev.(type) {
	case Request:
		b.request(ev)
	case Outcome:
		b.outcome(ev)
	case ResponseStarted:
		if r := b.open[ev.ID]; r != nil {
			r.streamed = true
		}
	case ClientAborted:
		b.close(b.open[ev.ID])
	case Purge:
		b.purge(ev)
	case Timer:
		if ev.Token == scanToken {
			b.scan()
		}
	case Resolve:
		b.resolve(ev)
	case EndpointUpdate:
		b.updateList(ev)
	}
}

func (b *Balancer) do(a Action) { b.out = append(b.out, a) }
