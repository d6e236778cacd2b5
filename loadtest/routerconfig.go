package loadtest

import (
	"cmp"
	"encoding/json"
	"time"
)

// The classes of requests that the load tests send.
const (
	classScore = "full-score"
	classPage  = "part-page"
	classOrder = "new-arrange" // not idempotent: it may run once at most
	classKeyed = "part-note"   // with an idempotency key: page caches of one cell drop repeats
)

// How a page cache warms up after its start.
const (
	warmUpFrom     = 0.21             // fraction of its capacity at the start
	slowStart      = 18 * time.Second // until it has its full capacity
	overloadWindow = 2 * time.Second  // a page cache that is overloaded for this long fails
)

// routerConfig is the configuration file of a router.
type routerConfig struct {
	Name      string         `json:"name"`
	Listen    string         `json:"listen"`
	Discovery string         `json:"journal"`
	Known     knownEvents    `json:"known"`
	Limits    routerLimits   `json:"limits"`
	Settings  routerSettings `json:"settings"`
}

// routerLimits holds the limits of a router's machine. A limit of 0 has its default.
type routerLimits struct {
	Sockets  int `json:"sockets,omitempty"` // descriptors
	MemoryMB int `json:"memory_mb,omitempty"`
}

// knownEvents are the events of the discovery service that a router has at its start.
type knownEvents struct {
	Position int          `json:"pos"`
	Events   []knownEvent `json:"entries"`
}

type knownEvent struct {
	Position  int          `json:"pos"`
	Endpoints endpointList `json:"hosts"`
}

// routerSettings holds the settings of the decision module. Times are in microseconds.
type routerSettings struct {
	Locality   string           `json:"locality"`
	Zones      []string         `json:"dcs"`
	Machines   []string         `json:"hostTypes"`
	Allowed    routerAllowed    `json:"allowed"`
	Invariants routerInvariants `json:"invariants"`
	Classes    []routerClass    `json:"profiles"`
	Specifics  routerSpecifics  `json:"specifics"`
}

type routerAllowed struct {
	Cancel         bool  `json:"cancel"`
	ConnectTimeout int64 `json:"connectTimeoutUs"`
	Keepalive      int64 `json:"keepaliveUs"`
	MaxAttempts    int   `json:"maxAttempts"`
	RetryAfter     bool  `json:"retryAfter"`
	MaxRetryAfter  int64 `json:"maxRetryAfterUs"`
}

type routerInvariants struct {
	WarmUpFrom     float64 `json:"coldFrom"`
	SlowStart      int64   `json:"coldUs"`
	OverloadWindow int64   `json:"fallUs"`
	OverloadFactor int     `json:"overloadFactor"`
}

type routerClass struct {
	Name           string `json:"name"`
	Repeat         string `json:"repeat"` // safe: idempotent
	Objective      int64  `json:"promiseUs"`
	Deadline       int64  `json:"deadlineUs"`
	PriorityWeight int    `json:"worth"`
	DedupGroup     string `json:"group,omitempty"`    // of page caches that drop repeats of a keyed request
	DedupWindow    int64  `json:"windowUs,omitempty"` // for how long they do
}

type routerSpecifics struct {
	RoutersByZone  []int   `json:"instancesByZone"`
	MiddleMachine  int     `json:"midKind"`
	StorageMachine int     `json:"storeKind"`
	ClassWrites    []bool  `json:"classWrite"`
	ClassFreshFor  []int64 `json:"classFreshUs"`
	PurgeTakes     int64   `json:"purgeTakesUs"`
	DirectAttempts bool    `json:"passThroughOk,omitempty"`
}

// deadline returns the deadline of a class whose default is given.
func (o *FleetOptions) deadline(usual time.Duration) time.Duration {
	if o.MaxDeadline > 0 {
		return min(usual, o.MaxDeadline)
	}
	return usual
}

// routerConfig returns the text of a router's configuration file.
func (f *Fleet) routerConfig(r *Router, endpoints []endpoint) ([]byte, error) {
	const second = time.Second
	micros := time.Duration.Microseconds
	return json.Marshal(routerConfig{
		Name:      r.name,
		Listen:    r.ListenAddress,
		Discovery: cmp.Or(f.options.DiscoveryAddress, f.discovery.Addr()),
		Known: knownEvents{Position: 1, Events: []knownEvent{
			{Position: 1, Endpoints: endpointList{Reset: true, Endpoints: endpoints}},
		}},
		Limits: routerLimits{Sockets: f.options.Sockets, MemoryMB: f.options.MemoryMB},
		Settings: routerSettings{
			Locality: zoneEdge,
			Zones:    []string{zoneHub, zoneEdge},
			Machines: []string{machineSmall, machineOrigin},
			Allowed: routerAllowed{Cancel: true, ConnectTimeout: micros(400 * time.Millisecond), Keepalive: micros(30 * second),
				MaxAttempts: 6, RetryAfter: f.options.RetryAfter, MaxRetryAfter: micros(500 * time.Millisecond)},
			Invariants: routerInvariants{WarmUpFrom: warmUpFrom, SlowStart: micros(slowStart), OverloadWindow: micros(overloadWindow),
				OverloadFactor: f.options.OverloadFactor},
			Classes: f.options.routerClasses(),
			Specifics: routerSpecifics{RoutersByZone: []int{0, f.options.KnownRouters}, MiddleMachine: -1, StorageMachine: 1,
				ClassWrites: []bool{false, false, true, false}, ClassFreshFor: []int64{0, micros(20 * second), 0, 0},
				PurgeTakes: micros(6 * second), DirectAttempts: f.options.KeyedWindow > 0},
		},
	})
}

// routerClasses returns the classes of requests that a router serves.
func (o *FleetOptions) routerClasses() []routerClass {
	const second = time.Second
	micros := time.Duration.Microseconds
	classes := []routerClass{
		{Name: classScore, Repeat: "safe", Objective: micros(400 * time.Millisecond), Deadline: micros(o.deadline(5 * second)),
			PriorityWeight: 2},
		{Name: classPage, Repeat: "safe", Objective: micros(250 * time.Millisecond), Deadline: micros(o.deadline(3 * second)),
			PriorityWeight: 1},
		{Name: classOrder, Repeat: "unsafe", Objective: micros(700 * time.Millisecond), Deadline: micros(o.deadline(3 * second)),
			PriorityWeight: 3},
	}
	if o.KeyedWindow > 0 {
		classes = append(classes, routerClass{Name: classKeyed, Repeat: "keyed", Objective: micros(700 * time.Millisecond),
			Deadline: micros(o.deadline(3 * second)), PriorityWeight: 2, DedupGroup: "cell", DedupWindow: micros(o.KeyedWindow)})
	}
	return classes
}
