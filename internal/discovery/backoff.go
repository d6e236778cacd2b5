package discovery

import "time"

// backoff is the pause between connections to a service that sends nothing: it doubles up to a bound.
type backoff struct {
	initial, longest time.Duration
	current          time.Duration
}

func newBackoff(initial, longest time.Duration) backoff {
	return backoff{initial: initial, longest: longest, current: initial}
}

// next returns the pause after a connection that brought nothing.
func (b *backoff) next() time.Duration {
	b.current = min(2*b.current, b.longest)
	return b.current
}

// reset returns the pause after a connection that brought something.
func (b *backoff) reset() time.Duration {
	b.current = b.initial
	return b.current
}
