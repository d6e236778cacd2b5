// Package balancer decides, for one router, where each request is served, what is kept and where misses are filled from.
// It is deterministic: it does no I/O, reads no clock and draws no random numbers. Events come in, actions go out, and times
// are readings of the one clock that the caller passes to Handle.
//
// The mechanism is duplicated hash routing: rendezvous hashing names each object's edge cache and its parent, and a
// second hash another parent, which a fill warms now and then and which takes over when the first fails.
//
// This file is the interface; its state is in state.go. Each kind of decision has a file of its own: requests.go, routing.go,
// admission.go, attempts.go, health.go, slowstart.go, purges.go, membership.go and resolve.go; their tuned values are in
// tuning.go.
package balancer

import "time"

// EndpointID identifies an endpoint. It is stable across restarts of the endpoint's process.
type EndpointID uint64

// RequestID names one try of one client.
type RequestID uint64

// Idempotency says what repeating a request of a class may do.
type Idempotency uint8

// The kinds of idempotency. The zero value is the most careful one.
const (
	NotIdempotent   Idempotency = iota // a repeat would take effect twice
	IdempotentByKey                    // repeats are dropped within a group and for a time
	Idempotent                         // a repeat harms nobody
)

// DedupScope is the set of endpoints that together drop repeats of a request with an idempotency key.
type DedupScope uint8

// The scopes, narrowest first.
const (
	DedupInCell DedupScope = iota
	DedupInZone
	DedupEverywhere
)

// Class describes one class of requests.
type Class struct {
	Name              string
	LatencyObjective  time.Duration // an answer within it earns the full worth
	ObjectiveStretch  float64       // the aim grows by this multiple of the request's own sending time
	Deadline          time.Duration // what a client waits over all its tries
	Idempotency       Idempotency
	DedupScope        DedupScope    // for Keyed
	DedupWindow       time.Duration // for Keyed: how long repeats are dropped
	Weight            float64
	Write             bool          // runs at the origin and leaves no copy
	FreshnessLifetime time.Duration // how long a copy is fresh; 0: until purged
}

// SlowStartRule says what a member that started lately can take.
type SlowStartRule struct {
	InitialCapacity float64       // part of its capacity at the start, or more
	WarmUpTime      time.Duration // by then it has all of it
	OverloadFactor  float64       // it falls when sent more than this multiple
	OverloadWindow  time.Duration // for this long
}

// Topology is the site that an instance serves: its zones and the kinds of endpoints.
type Topology struct {
	Zone           string   // of this instance
	Zones          []string // all of them
	RoutersPerZone []int    // in the order of Zones
	Kinds          []string // of endpoints; what is neither a parent nor the origin is an edge cache
	ParentKind     int      // index into Kinds; -1: there are no parents
	OriginKind     int      // index into Kinds
}

// Capabilities are what the site's rules and caches allow the module to do.
type Capabilities struct {
	Hedging        bool // two attempts of a request may be in flight at once
	Cancellation   bool // attempts may be cancelled
	DirectAttempts bool // parents and the origin accept attempts, too
	CoalesceFills  bool // a request may join a fill that is in progress
	WatchRequired  bool // the endpoint list only comes after a WatchEndpoints action
}

// Settings configure an instance for its life time.
type Settings struct {
	Topology        Topology
	Capabilities    Capabilities
	Classes         []Class
	PaceKBps        float64       // top speed of one response; 0: unknown
	LinkKBps        []float64     // by zone: bandwidth of its link for fills; 0: unknown
	StaticWeights   bool          // listed weights are capacities, which do not follow load
	MaxAttempts     int           // per request
	PurgeWindow     time.Duration // after it, all copies older than a purge are gone
	MaxRetryAfter   time.Duration // longest Retry-After of a rejected request; 0: none is sent
	CacheSlowStart  SlowStartRule
	ParentSlowStart SlowStartRule
	Coordinator     Coordinator // nil: this router shares no state with others
}

// Coordinator is what the routers of a fleet that talk to each other have agreed on. It answers at once, from what is known
// here, and is asked within Handle, with its time. What it allows bounds the module, and lifts none of its own bounds.
type Coordinator interface {
	AdmitWarmingUp(now time.Duration, n EndpointID) bool // a member that started lately may be sent one more attempt
	AdmitRetry(now time.Duration) bool                   // one more attempt may follow one that may have run
	ProbedByPeer(now time.Duration, n EndpointID) bool   // a member is ill, and another router tries it
	AttemptSent(now time.Duration, g SendAttempt)        // an attempt is sent
}

// Event is something that happened to this instance.
type Event interface{ event() }

// EndpointState is what the list says of a member.
type EndpointState uint8

// The states.
const (
	InService EndpointState = iota
	Draining
	Removed
)

// Endpoint is one line of a list of members.
type Endpoint struct {
	ID        EndpointID
	Kind      string
	Zone      string
	Cell      int
	Weight    float64
	StartedAt time.Duration // clock time of the latest start; 0: long ago
	State     EndpointState
}

// The events.
type (
	// EndpointUpdate carries the list of members, or changes to it.
	EndpointUpdate struct {
		Complete  bool // what is not listed is gone
		Failed    bool // the call or the subscription failed; the old list stands
		Endpoints []Endpoint
	}
	// Request is a request taken; one final answer is owed.
	Request struct {
		ID        RequestID
		Class     string
		Object    uint64
		Part      uint64
		Group     uint64
		Remaining time.Duration // until the client gives this try up
		SizeKB    float64       // 0: not told
		Write     bool
		Retry     bool // the client has asked before: its first try was refused, failed or too slow
	}
	// Outcome ends one attempt.
	Outcome struct {
		ID         RequestID
		Attempt    int
		Endpoint   EndpointID
		Status     Status
		Elapsed    time.Duration
		SourceWait time.Duration // for the source's first byte, where told
		Answered   bool          // the request is answered
		Detail     Detail
	}
	// ResponseStarted tells that a streamed answer has begun; the attempt is the client's now.
	ResponseStarted struct {
		ID       RequestID
		Attempt  int
		Endpoint EndpointID
	}
	// ClientAborted tells that nothing more is owed for a request.
	ClientAborted struct{ ID RequestID }
	// Purge tells that an object, or a whole group, was purged Ago before now.
	Purge struct {
		ByGroup bool
		Object  uint64
		Group   uint64
		Age     time.Duration
	}
	// Resolve asks for members that a resolver may name to its clients; one Answer, Refuse or Fail is owed at
	// once. What the resolver's clients send is not seen here, so it is counted as told.
	Resolve struct {
		ID           RequestID
		Key          uint64        // of the resolver's clients: alike ones get alike answers
		MaxEndpoints int           // members, at most
		OnlyEndpoint EndpointID    // only this one; 0: any
		Load         float64       // seconds of sending that one resolver's clients ask for each second
		TTL          time.Duration // how long it may keep the answer
	}
	// Timer is due.
	Timer struct{ Token uint64 }
)

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
	Error                // the member failed; it may have run
	Rejected             // turned away unseen, or the source refused
	TimedOut             // no answer in time; it may have run
	ConnectFailed        // no connection
	Reset                // the connection broke; it may have run
	Cancelled            // called off; it may have run
	NotSent              // not sent
	Miss                 // nothing suitable held
)

// NeverRan tells whether the status proves that the attempt had no effect.
func (s Status) NeverRan() bool {
	return s == Rejected || s == ConnectFailed || s == NotSent || s == Miss
}

// Detail says how an answer came about or why a fill failed, where the site tells.
type Detail uint8

// The notes.
const (
	NoDetail Detail = iota
	Hit
	Filled
	FilledByOrigin
	Coalesced
	Stale
	SourceRejected
	SourceUnreachable // not reached, broke off or ran out of time
	SourceMiss
	NoFillSlot   // no place for a fill at the cache
	OriginFailed // behind the parent
)

// Action is something this instance wants done.
type Action interface{ action() }

// The actions. Timeout 0 means until the client gives up.
type (
	// SendAttempt sends an attempt that may fill what is missing.
	SendAttempt struct {
		ID            RequestID
		Attempt       int // its number, counted from 0
		Endpoint      EndpointID
		Timeout       time.Duration
		Source        EndpointID // a parent, the origin, or Node itself for no fill
		CachePriority int        // 0: keep no copy; 1 to 3: the rank at which it stays
		MaxAge        time.Duration
		Coalesce      bool // join a fill under way
		CachedOnly    bool // the source gives only what it holds
		Revalidate    bool // an ageing copy is served and fetched anew behind
		MayHaveRun    bool // an attempt of the request before may have run
	}
	// Reject answers finally: not done, trying again is harmless.
	Reject struct {
		ID         RequestID
		RetryAfter time.Duration // how long the client should stay away; 0: not told
	}
	// ResolveAnswer names endpoints to a resolver, the best first.
	ResolveAnswer struct {
		ID        RequestID
		Endpoints []EndpointID
	}
	// Fail answers finally, promising nothing.
	Fail struct{ ID RequestID }
	// CancelAttempt stops waiting for one attempt.
	CancelAttempt struct {
		ID      RequestID
		Attempt int
	}
	// WatchEndpoints asks the directory for the list and all further changes.
	WatchEndpoints struct{}
	// SetTimer asks for a Timer event.
	SetTimer struct {
		Token uint64
		Delay time.Duration
	}
)

func (SendAttempt) action()    {}
func (Reject) action()         {}
func (ResolveAnswer) action()  {}
func (Fail) action()           {}
func (CancelAttempt) action()  {}
func (WatchEndpoints) action() {}
func (SetTimer) action()       {}
