package balancer

import (
	"slices"
	"time"
)

// What the module remembers of endpoints and requests. No decision and no tuned value is here.

// role is what an endpoint does; tables by role are indexed with it.
type role uint8

// The roles. roleClient is no role of an endpoint: the load table counts under it what clients ask for.
const (
	roleClient role = iota
	roleCache
	roleParent
	roleOrigin
	roleCount
)

// endpoint is an endpoint of the list, with what this router has seen of it.
type endpoint struct {
	id        EndpointID
	role      role
	zone      string
	cell      int
	weight    float64
	state     EndpointState
	startedAt time.Duration // latest start; 0: long ago

	inFlight         int     // own attempts that it serves or is the source of
	concurrencyLimit float64 // own attempts in flight that it answers in time (caches only)
	missRate         float64 // moving average of the attempts that were no hit (1 for parents and the origin)

	health  health
	warmUp  warmUpBudget
	counted countedCapacity
}

// observeHit takes a response into the miss rate.
func (e *endpoint) observeHit(hit bool) {
	e.missRate -= e.missRate / averagingWindow
	if !hit {
		e.missRate += 1 / averagingWindow
	}
}

// health is what the outcomes of attempts tell of an endpoint.
type health struct {
	consecutiveFailures int
	lastResponse        time.Duration
	connectionFailedAt  time.Duration // when a connection failed last
	ejected             bool          // an outlier: it gets no attempts but probes
	nextProbe           time.Duration // when an ejected endpoint may get an attempt again
	penalty             float64       // 1 less the health score, as of penalizedAt
	penalizedAt         time.Duration
}

// warmUpBudget bounds what an endpoint in slow start is sent.
type warmUpBudget struct {
	budget   float64 // service time that it may be sent, in seconds, as of budgetAt
	budgetAt time.Duration
	leases   []resolverLease // of resolvers that were given its name during slow start
}

// resolverLease is the load of one resolver's clients for as long as the resolver may keep its answer.
type resolverLease struct {
	load  float64
	until time.Duration
}

// countedCapacity is what an endpoint adds to the sums of endpointTable, so that exactly this can be taken out again.
type countedCapacity struct{ available, warmedUp float64 }

// endpointTable holds all endpoints, and those that decisions choose from in the order of their ids.
type endpointTable struct {
	byID    map[EndpointID]*endpoint
	caches  []*endpoint // of the own zone
	parents []*endpoint
	origins []*endpoint
	origin  *endpoint   // the first of origins, or nil
	removed []*endpoint // no longer listed, but attempts are in flight

	available    [roleCount]float64       // capacity in service, by role
	warmedUp     [roleCount]float64       // the part of it that is not in slow start
	warmingUp    [roleCount][]warmUpEntry // the endpoints that are in slow start, in the order of their start
	peakCapacity [roleCount]float64       // the most that was in service at once

	cachesListed  int  // in all zones
	cachesAvoided int  // of these, draining or ejected
	watched       bool // WatchEndpoints was sent
}

// warmUpEntry is an endpoint that counts as warmed up some time after its start.
type warmUpEntry struct {
	endpoint  *endpoint
	startedAt time.Duration
}

// linkUse is this router's use of the link that the zone's fills come through. Its unit is one transfer at full
// speed.
type linkUse struct {
	inFlight    float64 // expected number of own transfers in flight
	limit       float64 // learned bound of inFlight
	maxLimit    float64 // bound of limit
	utilization float64 // the part of the link's capacity that we aim to use
}

// requestPhase is where a request stands.
type requestPhase uint8

// The phases of a request.
const (
	requestActive requestPhase = iota // attempts are in flight, or the next step is being decided
	requestQueued                     // waiting for capacity
	requestClosed                     // answered or given up; kept until its last attempt has ended
)

// request is a request that is open, or closed with attempts in flight.
type request struct {
	Request
	class       *class
	object      *object
	deadline    time.Duration // when the client gives up
	objective   time.Duration // an answer until then meets the latency objective
	serviceTime float64       // in seconds
	cost        float64       // service time by weight of the class
	attempts    []attempt

	phase        requestPhase
	streaming    bool    // the response has begun: an attempt is the client's
	sourceMisses int     // sources that were asked for cached copies only, and had none
	cacheMissed  bool    // the edge cache was asked for a cached copy only, and had none
	leaseLoad    float64 // of a resolver: the load of its clients; 0: this is no resolver
}

// mayHaveRun tells whether an attempt that has ended may have taken effect.
func (r *request) mayHaveRun() bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.state == attemptMayHaveRun })
}

// requestTable holds the requests.
type requestTable struct {
	byID                   map[RequestID]*request
	inOrder                []*request    // by arrival; closed ones stay until the next scan
	meanCost               float64       // moving average of request.cost
	firstAt                time.Duration // when the first request came
	scanScheduled          bool
	retryQueuedAfterEvents bool // an attempt has ended: queued requests may find capacity now
}

// attemptState is where an attempt stands.
type attemptState uint8

// The states of an attempt. Each goes from inFlight, over cancelling or not, to one of the last two.
const (
	attemptInFlight   attemptState = iota
	attemptCancelling              // cancelled, its outcome is still to come
	attemptNeverRan                // ended, certainly without effect
	attemptMayHaveRun              // ended, and may have taken effect
)

// attempt is one attempt of a request.
type attempt struct {
	endpoint     *endpoint
	source       *endpoint // where a miss is filled from; endpoint itself: there is no fill
	avoidOnRetry *endpoint // whose fault its failure was
	sentAt       time.Duration
	state        attemptState

	cachedOnly      bool    // the source answers from its cache only
	toSecondHome    bool    // the fill goes to the second home, to keep that warm
	late            bool    // it was found to take too long for the latency objective
	silent          bool    // it was found to have got no response for silenceTimeout
	fillProbability float64 // expected transfers on the zone's link: 0 to 1
	linkInFlight    float64 // linkUse.inFlight when it was sent, itself included
}

// open tells whether the outcome of the attempt is still to come.
func (a *attempt) open() bool { return a.state <= attemptCancelling }

// fillSource is the source where that is another endpoint, or nil.
func (a *attempt) fillSource() *endpoint {
	if a.source == a.endpoint {
		return nil
	}
	return a.source
}
