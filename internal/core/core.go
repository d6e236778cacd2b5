// Package core is the event loop of the router: one goroutine owns the open requests, their attempts, the timers
// and the endpoint list, and has the decision module (package balancer) decide on them. It knows no wire format.
// Front ends submit requests and are called back with answers; an Upstream carries attempts to endpoints;
// discovery posts endpoint lists and purges.
//
// Each iteration of the loop collects all events that are ready, passes them to the module in one call, and carries
// out the actions that the module returns.
package core

import (
	"time"

	"hillknot/balancer"
	"hillknot/internal/config"
	"hillknot/internal/logging"
)

var log = logging.For("core")

// Core is the event loop of one router, and holds the state that the loop owns. Its methods are called on the loop's
// goroutine, which runs Run, unless their comments say that any goroutine may call them.
type Core struct {
	module     *balancer.Balancer
	upstream   Upstream
	clock      func() time.Duration
	limits     config.Limits
	policy     requestPolicy
	queue      eventQueue // any goroutine may use it
	stalls     stallMonitor
	hasBacklog func() bool // reports whether sockets hold unread input; nil: not known
	iteration  iteration
	timers     timers

	requests   requestTable
	queries    map[balancer.RequestID]*query
	endpoints  endpointList
	lifecycle  lifecycle
	extensions extensions

	stats         statistics
	stallLoggedAt time.Duration // on the core's clock; 0: never
	traceEnabled  bool          // debug lines are logged
}

// iteration holds what the current iteration of the loop works on.
type iteration struct {
	now    time.Duration    // time of the iteration; only a stall in the middle of it advances it
	events []balancer.Event // not yet passed to the module
	// pendingPurges are the purges that came in after the module made the decisions that are being carried out. They
	// apply to the attempts of these decisions, too.
	pendingPurges []purge
}

// extensions are the optional features of a router that is part of a cluster. Each is nil if it is off.
type extensions struct {
	credit  Credit        // nil: requests are free
	orders  OrderFailover // nil: an order does not outlive its router
	cluster *ClusterState // nil: nothing is shared with other routers
}

// New returns the event loop of a router whose decision module has the given settings, or the module's error if it
// does not accept them. The clock must be monotonic; see package clock.
func New(settings balancer.Settings, limits config.Limits, clock func() time.Duration) (*Core, error) {
	module, err := balancer.New(settings)
	if err != nil {
		return nil, err
	}
	c := &Core{
		module:       module,
		clock:        clock,
		limits:       limits,
		policy:       newRequestPolicy(&settings),
		queue:        newEventQueue(),
		stalls:       stallMonitor{threshold: limits.LoopInterval + limits.LoopSlack, recovery: limits.BacklogWait},
		iteration:    iteration{now: clock()},
		requests:     newRequestTable(),
		queries:      map[balancer.RequestID]*query{},
		endpoints:    endpointList{byID: map[balancer.EndpointID]*Endpoint{}},
		lifecycle:    newLifecycle(),
		stats:        newStatistics(settings.Classes),
		traceEnabled: debugEnabled(),
	}
	c.stalls.tick(c.iteration.now)
	c.publish()
	return c, nil
}

// SetUpstream sets the upstream. It is called once, before Run.
func (c *Core) SetUpstream(upstream Upstream) { c.upstream = upstream }

// SetBacklogCheck sets the function that reports whether sockets hold input that arrived before now and has not been
// passed on yet: watch events of discovery, requests of clients, or responses of page caches. It is called once, before Run.
func (c *Core) SetBacklogCheck(hasBacklog func() bool) { c.hasBacklog = hasBacklog }

// LoopTime returns the time of the current iteration on the core's clock.
func (c *Core) LoopTime() time.Duration { return c.iteration.now }

// CurrentTime returns the reading of the core's clock at this moment, which may be later than LoopTime.
func (c *Core) CurrentTime() time.Duration { return c.clock() }

// Schedule has f called in the first iteration whose time is at or after the given time.
func (c *Core) Schedule(at time.Duration, f func()) { c.timers.add(timer{at: at, call: f}) }

// EarliestArrival returns the earliest time at which input that is read from a socket now may have arrived: now, or
// after a stall of the process, the earliest time at which the stall may have begun. Any goroutine may call it.
func (c *Core) EarliestArrival() time.Duration { return c.stalls.earliestArrival(c.clock()) }

// EarliestSignal is EarliestArrival for a signal. Any goroutine may call it.
func (c *Core) EarliestSignal() time.Duration { return c.stalls.earliestSignal(c.clock()) }

// emit queues an event, which is passed to the module the next time that this iteration lets the module decide.
func (c *Core) emit(event balancer.Event) {
	c.iteration.events = append(c.iteration.events, event)
}
