package balancer

import (
	"slices"
	"time"
)

// This file holds the state of endpoints and requests. It contains no decisions and no tuned values.

// role is the function of an endpoint. It is the index of arrays by role.
type role uint8

// The roles. roleClient is not a role of an endpoint: Balancer.load counts the requests of clients under it.
const (
	roleClient role = iota
	roleCache
	roleParent
	roleOrigin
	roleCount
)

// endpoint is an endpoint of the list, with what this router has learned of it.
type endpoint struct {
	id        EndpointID
	role      role
	placement Placement
	weight    float64
	state     EndpointState
	startedAt time.Duration // time of the latest start; 0: long ago

	inFlight         int     // this router's attempts in flight that it serves or is the source of
	concurrencyLimit float64 // limit of inFlight within which it answers in time; caches only
	missRate         float64 // moving average of the fraction of attempts that were no hit; 1 for parents and the origin

	health  health
	warmUp  warmUpBudget
	counted countedCapacity
}

// observeHit updates the miss rate with a response.
func (e *endpoint) observeHit(hit bool) {
	e.missRate -= e.missRate / averagingWindow
	if !hit {
		e.missRate += 1 / averagingWindow
	}
}

// health is what the outcomes of attempts say about an endpoint.
type health struct {
	consecutiveFailures int
	lastResponse        time.Duration
	connectionFailedAt  time.Duration // when a connection last failed
	ejected             bool          // the endpoint is an outlier and gets no attempts except probes
	nextProbe           time.Duration // when an ejected endpoint may get an attempt again
	penalty             float64       // 1 minus the health score, as of penalizedAt
	penalizedAt         time.Duration
}

// warmUpBudget limits what an endpoint in slow start is sent.
type warmUpBudget struct {
	budget   float64 // service time that it may be sent, in seconds, as of budgetAt
	budgetAt time.Duration
	leases   []resolverLease // of resolvers that were given the endpoint's name during slow start
}

// resolverLease is the load of one resolver's clients, which lasts for as long as the resolver may keep its answer.
type resolverLease struct {
	load  float64
	until time.Duration
}

// countedCapacity is what an endpoint has added to the sums of endpointTable. It is kept so that exactly the same amounts
// can be subtracted again.
type countedCapacity struct{ available, warmedUp float64 }

// endpointTable holds all endpoints by id, and the slices that endpoints are chosen from in the order of ids.
type endpointTable struct {
	byID    map[EndpointID]*endpoint
	caches  []*endpoint // of this router's zone
	parents []*endpoint
	origins []*endpoint
	origin  *endpoint   // the first of origins, or nil if there are none
	removed []*endpoint // no longer listed, and kept while attempts are in flight

	available    [roleCount]float64       // capacity in service, by role
	warmedUp     [roleCount]float64       // the part of available that is not in slow start
	warmingUp    [roleCount][]warmUpEntry // the endpoints in slow start, in the order of their start
	peakCapacity [roleCount]float64       // the highest capacity that was in service at once

	cachesListed  int  // in all zones
	cachesAvoided int  // part of cachesListed that is draining or ejected
	watched       bool // WatchEndpoints was sent
}

// warmUpEntry is an endpoint that counts as warmed up once WarmUpTime has passed since startedAt.
type warmUpEntry struct {
	endpoint  *endpoint
	startedAt time.Duration
}

// linkUse is this router's use of the link that carries the zone's fills. The unit is one transfer at full speed.
type linkUse struct {
	inFlight    float64 // expected number of this router's transfers in flight
	limit       float64 // learned limit of inFlight
	maxLimit    float64 // upper bound of limit
	utilization float64 // target part of the link's capacity: 0 to 1
}

// requestPhase is the phase of a request's life cycle.
type requestPhase uint8

// The phases of a request.
const (
	requestActive requestPhase = iota // attempts are in flight, or the next step is being decided
	requestQueued                     // waiting for capacity
	requestClosed                     // answered or aborted; kept until its last attempt has ended
)

// request is a request that is open, or closed with attempts in flight.
type request struct {
	Request
	class       *class
	object      *object
	deadline    time.Duration // when the client gives up
	objective   time.Duration // latest time at which an answer meets the latency objective
	serviceTime float64       // in seconds
	cost        float64       // service time in seconds divided by the weight of the class
	attempts    []attempt

	phase        requestPhase
	streaming    bool    // the client is receiving the response of an attempt
	sourceMisses int     // number of sources that were asked for a cached copy only, and had none
	cacheMissed  bool    // the edge cache was asked for a cached copy only, and had none
	leaseLoad    float64 // load of a resolver's clients; 0: the request is not a resolver's
}

// mayHaveRun reports whether any attempt that has ended may have taken effect.
func (r *request) mayHaveRun() bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.state == attemptMayHaveRun })
}

// requestTable holds the requests that are open, or closed with attempts in flight.
type requestTable struct {
	byID                   map[RequestID]*request
	inOrder                []*request    // in the order of arrival; closed requests stay until the next scan
	meanCost               float64       // moving average of request.cost
	firstAt                time.Duration // when the first request arrived; 0: none yet
	scanScheduled          bool
	retryQueuedAfterEvents bool // an attempt has ended, so queued requests may find capacity
}

// attemptState is the state of an attempt.
type attemptState uint8

// The states of an attempt. Each attempt starts as attemptInFlight, may become attemptCancelling, and ends in one of the
// last two states.
const (
	attemptInFlight   attemptState = iota
	attemptCancelling              // cancelled, and its outcome is still to come
	attemptNeverRan                // ended, certainly without effect
	attemptMayHaveRun              // ended, and may have taken effect
)

// attempt is one attempt of a request.
type attempt struct {
	endpoint     *endpoint
	source       *endpoint // source of the fill of a miss; equal to endpoint: there is no fill
	avoidOnRetry *endpoint // endpoint that caused the attempt's failure; nil: none
	sentAt       time.Duration
	state        attemptState
	placement    Placement     // of the endpoint when the attempt was decided; the list may have moved the endpoint since
	repeat       RepeatVerdict // of the idempotency rule, when the attempt was decided

	abandoned       bool    // it ended with the status Abandoned
	cachedOnly      bool    // the source answers from its cache only
	toSecondHome    bool    // the fill goes to the second home, to keep that one warm
	late            bool    // a scan found that it takes too long for the latency objective
	silent          bool    // a scan found that its endpoint or source has sent no response for silenceTimeout
	fillProbability float64 // expected number of transfers on the zone's link: 0 to 1
	linkInFlight    float64 // linkUse.inFlight when the attempt was sent, including the attempt
}

// open reports whether the outcome of the attempt is still to come.
func (a *attempt) open() bool { return a.state <= attemptCancelling }

// fillSource returns the source if that is another endpoint than the attempt's endpoint, else nil.
func (a *attempt) fillSource() *endpoint {
	if a.source == a.endpoint {
		return nil
	}
	return a.source
}
