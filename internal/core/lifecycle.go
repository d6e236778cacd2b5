package core

import (
	"time"

	"hillknot/internal/config"
)

// Phase is the state of the router as a whole. All front ends report the same phase.
type Phase uint8

// The phases.
const (
	Starting     Phase = iota // the endpoint list is not known yet, or the predecessor has not handed over
	Serving                   // the router is ready for clients
	Standby                   // drained at an operator's request; the router can serve again
	ShuttingDown              // the process is about to end
)

// String returns the word that the health checks and the admin interface use for the phase.
func (p Phase) String() string { return [...]string{"starting", "serving", "standby", "ending"}[p] }

// lifecycleState is a state of the life cycle. It has more values than the Phase that others see.
type lifecycleState uint8

const (
	stateStarting     lifecycleState = iota // not ready while a startBlocker is set; requests are taken all the same
	stateServing                            // ready
	stateStandby                            // not ready; clients are drained, and requests are taken until stage RejectNew
	stateShuttingDown                       // like standby if a successor is ready; otherwise requests are taken to the end
	stateClosed                             // nothing is open, and every request is rejected
)

// phase returns the phase that others see in a state.
func (s lifecycleState) phase() Phase {
	return [...]Phase{Starting, Serving, Standby, ShuttingDown, ShuttingDown}[s]
}

// startBlocker is a set of reasons not to serve yet.
type startBlocker uint8

const (
	endpointsUnknown  startBlocker = 1 << iota // no endpoint has been listed yet
	predecessorActive                          // the predecessor of this process has not handed over yet
)

// lifecycle is the life cycle of the router:
//
//	starting <-> serving
//	starting, serving <-> standby
//	starting, serving, standby -> shutting down -> closed
//
// It belongs to the core's goroutine.
type lifecycle struct {
	state          lifecycleState
	blockers       startBlocker
	drainingSince  time.Duration // when draining began, on the core's clock; 0: not draining
	successorReady bool          // a successor takes new connections

	predecessorUnheard bool // a predecessor has not answered that it is replaced
}

func newLifecycle() lifecycle { return lifecycle{blockers: endpointsUnknown} }

// block keeps the router from serving until unblock is called with the same reason.
func (l *lifecycle) block(reason startBlocker) {
	l.blockers |= reason
	l.applyBlockers()
}

// unblock removes a reason not to serve yet.
func (l *lifecycle) unblock(reason startBlocker) {
	l.blockers &^= reason
	l.applyBlockers()
}

// applyBlockers sets the state to starting if any blocker is set, and to serving otherwise. It changes nothing on
// standby and in a shutdown.
func (l *lifecycle) applyBlockers() {
	switch {
	case l.state == stateStandby || l.shuttingDown():
	case l.blockers != 0:
		l.state = stateStarting
	default:
		l.state = stateServing
	}
}

// enterStandby begins to drain at an operator's request. It reports whether the state changed: a router that is on
// standby or shutting down keeps its state.
func (l *lifecycle) enterStandby(now time.Duration) bool {
	if l.state == stateStandby || l.shuttingDown() {
		return false
	}
	l.state, l.drainingSince = stateStandby, now
	return true
}

// leaveStandby has the router accept clients again. It reports whether the router does: one that shuts down does not.
func (l *lifecycle) leaveStandby() bool {
	if l.shuttingDown() {
		return false
	}
	l.state, l.drainingSince = stateServing, 0
	l.applyBlockers()
	return true
}

// beginShutdown begins to drain for good. Draining counts from since, which may lie in the past.
func (l *lifecycle) beginShutdown(since time.Duration) {
	if l.state != stateClosed {
		l.state = stateShuttingDown
	}
	l.drainingSince = since
}

// close ends a shutdown. It is called once nothing is open any more.
func (l *lifecycle) close() {
	if l.state == stateShuttingDown {
		l.state = stateClosed
	}
}

func (l *lifecycle) shuttingDown() bool {
	return l.state == stateShuttingDown || l.state == stateClosed
}

// shutdownDeadline returns the time by which the open requests of a router that shuts down must be answered: the
// platform kills the process soon after it.
func (l *lifecycle) shutdownDeadline(limits *config.Limits) time.Duration {
	return l.drainingSince + limits.ShutdownTimeout - limits.ShutdownAnswerMargin
}

// HoldStart keeps the router in phase Starting until ReleaseStart is called.
func (c *Core) HoldStart() { c.lifecycle.block(predecessorActive) }

// ReleaseStart ends HoldStart.
func (c *Core) ReleaseStart() { c.lifecycle.unblock(predecessorActive) }

// EnterStandby drains the router, which goes on answering while its clients leave.
func (c *Core) EnterStandby() {
	if c.lifecycle.enterStandby(c.iteration.now) {
		c.publish() // the operator's request is answered before this iteration of the loop ends
	}
}

// LeaveStandby has the router accept clients again. It reports whether the router does: one that shuts down does not.
func (c *Core) LeaveStandby() bool {
	if !c.lifecycle.leaveStandby() {
		return false
	}
	c.publish()
	return true
}

// SetSuccessorReady sets whether a successor takes new connections. A router that has one drains its clients as it
// shuts down, and spends nothing of the budgets that routers share.
func (c *Core) SetSuccessorReady(ready bool) {
	c.lifecycle.successorReady = ready
	c.updateReplaced()
}

// SetPredecessorUnheard sets whether a predecessor of this process runs that has not answered that it is replaced. It may still spend of
// the budgets that routers share, so this process spends nothing of them meanwhile.
func (c *Core) SetPredecessorUnheard(unheard bool) {
	c.lifecycle.predecessorUnheard = unheard
	c.updateReplaced()
}

// updateReplaced tells the state that routers share whether another process of this router may spend of the budgets.
func (c *Core) updateReplaced() {
	if c.extensions.cluster != nil {
		c.extensions.cluster.state.SetReplaced(c.iteration.now, c.lifecycle.successorReady || c.lifecycle.predecessorUnheard)
	}
}

// BeginShutdown marks the router as shutting down since a time. The router goes on answering. Each open request is
// answered before the platform may kill the process, as a request whose client waits longer than that would be lost.
func (c *Core) BeginShutdown(since time.Duration) {
	c.lifecycle.beginShutdown(since)
	c.advanceDeadlines(c.lifecycle.shutdownDeadline(&c.limits))
}

// CloseIfNothingOpen has the core reject every request from then on if nothing is open, and reports whether it does. The
// router then writes its last answers and ends, and a request that came in meanwhile could get no answer. It is called
// after BeginShutdown.
func (c *Core) CloseIfNothingOpen() bool {
	if c.OpenCount() == 0 {
		c.lifecycle.close()
	}
	return c.lifecycle.state == stateClosed
}

// DrainStage is how far the router has got in draining its clients.
type DrainStage uint8

// The stages, in their order.
const (
	NotDraining        DrainStage = iota
	CloseAfterResponse            // a connection closes right after an answer if it owes no other
	CloseIdle                     // idle connections close as well
	RejectNew                     // new requests are rejected
	CloseAll                      // every connection that owes no answer closes
)

// DrainStage returns how far the router has got in draining its clients. It may be called on any goroutine. A
// router that shuts down without a successor keeps its connections until it ends, as its clients have no other router
// to call.
func (c *Core) DrainStage() DrainStage {
	s := c.stats.snapshot.Load()
	drainingFor := c.clock() - s.DrainingSince
	switch {
	case s.Phase == ShuttingDown && s.HasSuccessor:
		return drainStage(drainingFor+c.limits.DrainCloseAfterResponse, &c.limits) // the successor already takes the new connections
	case s.Phase == Standby:
		return drainStage(drainingFor, &c.limits)
	}
	return NotDraining
}

// drainStage returns the stage of a router that has been draining for the given time.
func drainStage(drainingFor time.Duration, limits *config.Limits) DrainStage {
	switch {
	case drainingFor >= limits.DrainCloseAll:
		return CloseAll
	case drainingFor >= limits.DrainRejectNew:
		return RejectNew
	case drainingFor >= limits.DrainCloseIdle:
		return CloseIdle
	case drainingFor >= limits.DrainCloseAfterResponse:
		return CloseAfterResponse
	}
	return NotDraining
}
