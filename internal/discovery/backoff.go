package discovery

import "time"

// backoff computes the pause before the next connection to the service. The pause doubles, up to a bound, with each
// connection that received nothing.
type backoff struct {
	initial, longest time.Duration
	current          time.Duration
}

func newBackoff(initial, longest time.Duration) backoff {
	return backoff{initial: initial, longest: longest, current: initial}
}

// next doubles the pause and returns it. It is called after a connection that received nothing.
func (b *backoff) next() time.Duration {
	b.current = min(2*b.current, b.longest)
	return b.current
}

// reset sets the pause back to the initial one and returns it. It is called after a connection that received something.
func (b *backoff) reset() time.Duration {
	b.current = b.initial
	return b.current
}
