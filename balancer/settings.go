package balancer

import "time"

// Settings configure a balancer for its lifetime.
type Settings struct {
	Topology        Topology
	Capabilities    Capabilities
	Classes         []Class
	PaceKBps        float64       // top speed of one response, in kB/s; 0: unknown
	LinkKBps        []float64     // bandwidth of each zone's link for fills, in kB/s, in the order of Topology.Zones; 0: unknown
	StaticWeights   bool          // listed weights are capacities, which don't vary with load
	MaxAttempts     int           // per request; less than 1 counts as 1
	PurgeWindow     time.Duration // time after a purge until all older copies are gone
	MaxRetryAfter   time.Duration // longest Retry-After of a rejected request; 0: none is sent
	CacheSlowStart  SlowStartRule
	ParentSlowStart SlowStartRule
	ClusterState    ClusterState // nil: the router shares no state with others
}

// Topology describes the site that a router belongs to: its zones and its kinds of endpoints.
type Topology struct {
	Zone           string   // the router's own zone
	Zones          []string // all zones
	RoutersPerZone []int    // in the order of Zones
	Kinds          []string // of endpoints; an endpoint that is neither a parent nor the origin is an edge cache
	ParentKind     int      // index into Kinds; -1: there are no parents
	OriginKind     int      // index into Kinds
}

// Capabilities are what the site's rules and caches allow the balancer to do.
type Capabilities struct {
	Hedging        bool // two attempts of a request may be in flight at once
	Cancellation   bool // attempts may be cancelled
	DirectAttempts bool // parents and the origin accept attempts as well
	CoalesceFills  bool // a request may join a fill that is in progress
	WatchRequired  bool // the endpoint list is only sent after a WatchEndpoints action
}

// Idempotency is the effect that repeating a request of a class may have.
type Idempotency uint8

// The values of Idempotency. The zero value is the most careful one.
const (
	NotIdempotent   Idempotency = iota // a repeat would take effect again
	IdempotentByKey                    // repeats are dropped by an idempotency key, within a scope and for a time
	Idempotent                         // a repeat does no harm
)

// DedupScope is the set of endpoints that share the deduplication of requests with an idempotency key.
type DedupScope uint8

// The deduplication scopes, narrowest first.
const (
	DedupInCell DedupScope = iota
	DedupInZone
	DedupEverywhere
)

// Class describes one class of requests.
type Class struct {
	Name              string
	LatencyObjective  time.Duration // a response within this time earns the full weight
	ObjectiveStretch  float64       // the objective grows by this multiple of the request's service time
	Deadline          time.Duration // how long a client waits, over all its retries
	Idempotency       Idempotency
	DedupScope        DedupScope    // for IdempotentByKey
	DedupWindow       time.Duration // for IdempotentByKey: how long repeats are dropped
	Weight            float64       // priority of the class under overload
	Write             bool          // requests run at the origin and leave no copy
	FreshnessLifetime time.Duration // how long a copy is fresh; 0: until it is purged
}

// SlowStartRule describes how much load an endpoint that has started lately can serve.
type SlowStartRule struct {
	InitialCapacity float64       // least part of the full capacity at the start: 0 to 1
	WarmUpTime      time.Duration // time from the start until the full capacity
	OverloadFactor  float64       // the endpoint fails if it is sent more than this multiple of its capacity
	OverloadWindow  time.Duration // for this long; 0: there is no rule
}

// ClusterState is the state that the routers of a cluster share. Its methods are called within Handle, with the time of
// that call. They must return at once, from local state. They can only forbid what the balancer would do, never allow
// more.
type ClusterState interface {
	// AdmitWarmingUp reports whether an endpoint in slow start may be sent one more attempt.
	AdmitWarmingUp(now time.Duration, id EndpointID) bool
	// AdmitRetry reports whether an attempt may follow one that may have run.
	AdmitRetry(now time.Duration) bool
	// ProbedByPeer reports whether an endpoint is ejected and another router probes it.
	ProbedByPeer(now time.Duration, id EndpointID) bool
	// AttemptSent is called when an attempt is sent.
	AttemptSent(now time.Duration, a SendAttempt)
}
