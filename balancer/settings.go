package balancer

import "time"

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
	ClusterState    ClusterState // nil: this router shares no state with others
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

// Idempotency says what repeating a request of a class may do.
type Idempotency uint8

// The kinds of idempotency. The zero value is the most careful one.
const (
	NotIdempotent   Idempotency = iota // a repeat would take effect twice
	IdempotentByKey                    // repeats are dropped by an idempotency key, within a scope and for a time
	Idempotent                         // a repeat does no harm
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
	LatencyObjective  time.Duration // a response within it earns the full weight
	ObjectiveStretch  float64       // the objective grows by this multiple of the request's service time
	Deadline          time.Duration // how long a client waits, over all its retries
	Idempotency       Idempotency
	DedupScope        DedupScope    // for IdempotentByKey
	DedupWindow       time.Duration // for IdempotentByKey: how long repeats are dropped
	Weight            float64       // priority of the class under overload
	Write             bool          // runs at the origin and leaves no copy
	FreshnessLifetime time.Duration // how long a copy is fresh; 0: until purged
}

// SlowStartRule says what an endpoint that started lately can take.
type SlowStartRule struct {
	InitialCapacity float64       // part of its full capacity at the start, at least
	WarmUpTime      time.Duration // after it, the endpoint has its full capacity
	OverloadFactor  float64       // the endpoint fails when sent more than this multiple of its capacity
	OverloadWindow  time.Duration // for this long
}

// ClusterState is what the routers of a fleet have agreed on. Its methods are called within Handle, with the time of
// that call; they must answer at once, from local state. It can only forbid what the module would do, never allow
// more.
type ClusterState interface {
	// AdmitWarmingUp tells whether an endpoint in slow start may be sent one more attempt.
	AdmitWarmingUp(now time.Duration, id EndpointID) bool
	// AdmitRetry tells whether an attempt may follow one that may have run.
	AdmitRetry(now time.Duration) bool
	// ProbedByPeer tells whether an endpoint is ejected, and another router sends it probes.
	ProbedByPeer(now time.Duration, id EndpointID) bool
	// AttemptSent reports that an attempt is sent.
	AttemptSent(now time.Duration, a SendAttempt)
}
