package balancer

import "time"

// EndpointID identifies an endpoint. It is stable across restarts of the endpoint's process.
type EndpointID uint64

// RequestID identifies one request. A client's retry is a request of its own.
type RequestID uint64

// Event is an input of the balancer. The types below implement it.
type Event interface{ event() }

// EndpointState is the state of an endpoint according to the endpoint list.
type EndpointState uint8

// The states of an endpoint.
const (
	InService EndpointState = iota
	Draining                // finishes its attempts in flight and must get no new ones
	Removed
)

// Endpoint is one entry of an endpoint list: an edge cache, a parent or the origin.
type Endpoint struct {
	ID        EndpointID
	Kind      string // one of Topology.Kinds
	Zone      string
	Cell      int
	Weight    float64
	StartedAt time.Duration // clock time of the latest start; 0: long ago
	State     EndpointState
}

// EndpointUpdate carries the endpoint list, or changes to it.
type EndpointUpdate struct {
	Complete  bool // endpoints that are not listed are removed
	Failed    bool // the poll or the watch failed; the old list stays valid
	Endpoints []Endpoint
}

// Request reports a request of a client. It gets one final answer: an Outcome with Answered set, a Reject or a Fail.
type Request struct {
	ID        RequestID
	Class     string
	Object    uint64
	Part      uint64        // of the object
	Group     uint64        // group of objects that may be purged together
	Remaining time.Duration // time until the client gives up
	SizeKB    float64       // 0: unknown
	Write     bool
	Retry     bool // the client has sent it before, and it was rejected, failed or was answered too late
}

// Outcome reports the end of one attempt.
type Outcome struct {
	ID         RequestID
	Attempt    int
	Endpoint   EndpointID
	Status     Status
	Elapsed    time.Duration
	SourceWait time.Duration // time to the source's first byte; 0: unknown
	Answered   bool          // the request has its final answer
	Detail     Detail
}

// ResponseStarted reports that a streamed response has begun. From then on the client receives the attempt's response,
// and the request's attempts are not cancelled any more.
type ResponseStarted struct {
	ID       RequestID
	Attempt  int
	Endpoint EndpointID
}

// ClientAborted reports that the client has aborted a request, which needs no answer any more.
type ClientAborted struct{ ID RequestID }

// Purge reports that an object, or with ByGroup a group of objects, was purged. Age is the time since the purge.
type Purge struct {
	ByGroup bool
	Object  uint64
	Group   uint64
	Age     time.Duration
}

// Resolve asks for endpoints that a DNS resolver may name to its clients. One ResolveAnswer, Reject or Fail follows
// at once. The router doesn't see the requests of the resolver's clients, so it counts Load for them.
type Resolve struct {
	ID           RequestID
	Key          uint64        // hash key of the resolver's clients; equal keys get equal answers
	MaxEndpoints int           // maximum number of endpoints in the answer, at least 1
	OnlyEndpoint EndpointID    // the only endpoint to consider; 0: any
	Load         float64       // load of the resolver's clients, in seconds of service time per second
	TTL          time.Duration // how long the resolver may keep the answer
}

// Timer reports that a timer set by SetTimer is due.
type Timer struct{ Token uint64 }

func (EndpointUpdate) event()  {}
func (Request) event()         {}
func (Outcome) event()         {}
func (ResponseStarted) event() {}
func (ClientAborted) event()   {}
func (Purge) event()           {}
func (Timer) event()           {}
func (Resolve) event()         {}

// Status is how an attempt ended.
type Status uint8

// The statuses of an attempt that has ended.
const (
	OK            Status = iota
	Error                // the endpoint failed; the attempt may have run
	Rejected             // the endpoint or the source rejected it without processing it
	TimedOut             // no response in time; it may have run
	ConnectFailed        // no connection could be opened
	Reset                // the connection broke; it may have run
	Cancelled            // cancelled by CancelAttempt; it may have run
	NotSent              // the router did not send it
	Miss                 // a cached copy was asked for, and there is no usable one
	Abandoned            // the router gave up the request at this endpoint before, and never sends it there again
)

// NeverRan reports whether the status proves that the attempt had no effect.
func (s Status) NeverRan() bool {
	return s == Rejected || s == ConnectFailed || s == NotSent || s == Miss || s == Abandoned
}

// Detail is how a response was produced or why a fill failed, where the cache reports it.
type Detail uint8

// The details of an outcome.
const (
	NoDetail Detail = iota
	Hit
	Filled            // filled from the source, which had a copy
	FilledByOrigin    // filled from the source, which had to ask the origin
	Coalesced         // joined the fill of another request
	Stale             // a copy past its freshness lifetime
	SourceRejected    // the source rejected the fill
	SourceUnreachable // no connection to the source, a broken one, or a timeout
	SourceMiss        // the source was asked for a cached copy, and has none
	NoFillSlot        // the cache runs as many fills as it can
	OriginFailed      // the origin failed behind the parent
)

func (d Detail) isHit() bool { return d == Hit || d == Stale }

func (d Detail) isFill() bool { return d == Filled || d == FilledByOrigin }
