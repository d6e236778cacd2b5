package balancer

import "time"

// Action is something that the caller must carry out. The types below implement it.
type Action interface{ action() }

// SendAttempt sends an attempt. The caller must report one Outcome for it.
type SendAttempt struct {
	ID            RequestID
	Attempt       int // its number, counted from 0
	Endpoint      EndpointID
	Timeout       time.Duration // maximum time to wait; 0: until the client gives up
	Source        EndpointID    // fills a miss: a parent or the origin; equal to Endpoint: there is no fill
	CachePriority int           // 0: keep no copy; 1 to 3: the rank at which it is kept
	MaxAge        time.Duration // age of the oldest copy that may be served; 0: the cache's default
	Coalesce      bool          // join a fill of the same object that is in progress
	CachedOnly    bool          // the source may only serve what it has cached
	Revalidate    bool          // serve an aging copy, and fetch a new one in the background
	MayHaveRun    bool          // an earlier attempt of the request may have run
	Repeat        RepeatVerdict // what the idempotency rule says of the endpoint
}

// Reject is a final answer: the request has not run, and the client may safely retry.
type Reject struct {
	ID         RequestID
	RetryAfter time.Duration // time that the client should wait; 0: unspecified
}

// Fail is a final answer that promises nothing to the client: the request may have run.
type Fail struct{ ID RequestID }

// ResolveAnswer names endpoints to a resolver, best first.
type ResolveAnswer struct {
	ID        RequestID
	Endpoints []EndpointID
}

// CancelAttempt stops waiting for an attempt. The caller must still report its Outcome.
type CancelAttempt struct {
	ID      RequestID
	Attempt int
}

// WatchEndpoints asks discovery for the endpoint list and all further changes.
type WatchEndpoints struct{}

// SetTimer asks for a Timer event with the same token after Delay.
type SetTimer struct {
	Token uint64
	Delay time.Duration
}

func (SendAttempt) action()    {}
func (Reject) action()         {}
func (ResolveAnswer) action()  {}
func (Fail) action()           {}
func (CancelAttempt) action()  {}
func (WatchEndpoints) action() {}
func (SetTimer) action()       {}
