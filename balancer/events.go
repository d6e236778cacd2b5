package balancer

import "time"

// EndpointID identifies an endpoint. It is stable across restarts of the endpoint's process.
type EndpointID uint64

// RequestID identifies one request. A client's retry is a request of its own.
type RequestID uint64

// Event is something that happened to this instance. The types below implement it.
type Event interface{ event() }

// EndpointState is what the list says of an endpoint.
type EndpointState uint8

// The states.
const (
	InService EndpointState = iota
	Draining                // it finishes what it has and must get nothing new
	Removed
)

// Endpoint is one line of an endpoint list: an edge cache, a parent or the origin.
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
	Complete  bool // what is not listed is removed
	Failed    bool // the poll or the watch failed; the old list stands
	Endpoints []Endpoint
}

// Request is a request of a client. One final answer is owed: an Outcome with Answered set, a Reject or a Fail.
type Request struct {
	ID        RequestID
	Class     string
	Object    uint64
	Part      uint64        // of the object
	Group     uint64        // that the object may be purged with
	Remaining time.Duration // until the client gives up
	SizeKB    float64       // 0: unknown
	Write     bool
	Retry     bool // the client has asked before, and was rejected, failed or answered too late
}

// Outcome ends one attempt.
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

// ResponseStarted says that a streamed response has begun. From now on the attempt is the client's and isn't
// cancelled.
type ResponseStarted struct {
	ID       RequestID
	Attempt  int
	Endpoint EndpointID
}

// ClientAborted says that nothing more is owed for a request.
type ClientAborted struct{ ID RequestID }

// Purge says that an object, or with ByGroup a group of objects, was purged Age ago.
type Purge struct {
	ByGroup bool
	Object  uint64
	Group   uint64
	Age     time.Duration
}

// Resolve asks for endpoints that a DNS resolver may name to its clients. One ResolveAnswer, Reject or Fail follows
// at once. What the resolver's clients send is not seen here, so it is counted as Load says.
type Resolve struct {
	ID           RequestID
	Key          uint64        // of the resolver's clients: equal keys get equal answers
	MaxEndpoints int           // in the answer
	OnlyEndpoint EndpointID    // the only one to consider; 0: any
	Load         float64       // of one resolver's clients, in seconds of service time per second
	TTL          time.Duration // how long the resolver may keep the answer
}

// Timer says that a timer set by SetTimer is due.
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

// The statuses.
const (
	OK            Status = iota
	Error                // the endpoint failed; the attempt may have run
	Rejected             // the endpoint or the source refused it, unprocessed
	TimedOut             // no response in time; it may have run
	ConnectFailed        // no connection
	Reset                // the connection broke; it may have run
	Cancelled            // by CancelAttempt; it may have run
	NotSent              // the router did not send it
	Miss                 // there is no usable copy
)

// NeverRan tells whether the status proves that the attempt had no effect.
func (s Status) NeverRan() bool {
	return s == Rejected || s == ConnectFailed || s == NotSent || s == Miss
}

// Detail says how a response came about or why a fill failed, where the cache reports it.
type Detail uint8

// The details.
const (
	NoDetail Detail = iota
	Hit
	Filled            // by the source, which had it
	FilledByOrigin    // by the source, which had to ask the origin
	Coalesced         // joined the fill of another request
	Stale             // a copy past its freshness lifetime
	SourceRejected    // the source refused the fill
	SourceUnreachable // no connection, a broken one, or a time-out
	SourceMiss        // the source was asked for a cached copy, and has none
	NoFillSlot        // the cache runs as many fills as it can
	OriginFailed      // behind the parent
)

func (d Detail) isHit() bool { return d == Hit || d == Stale }

func (d Detail) isFill() bool { return d == Filled || d == FilledByOrigin }
