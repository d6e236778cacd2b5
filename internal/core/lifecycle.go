package core

import (
	"time"

	"hillknot/internal/config"
)

// Phase is what the router as a whole is doing. All front ends report the same one.
type Phase uint8

// The phases.
const (
	Starting     Phase = iota // the endpoint list is not known yet, or the predecessor has not handed over
	Serving                   // clients are welcome
	Standby                   // drained at an operator's request; it can serve again
	ShuttingDown              // the process ends
)

// String returns the word that the health checks and the admin interface use for the phase.
func (p Phase) String() string { return [...]string{"starting", "serving", "standby", "ending"}[p] }

// lifecycleState is a state of the life cycle. It is finer than the Phase that others see.
type lifecycleState uint8

const (
	stateStarting     lifecycleState = iota // not ready until no startBlocker is left; requests are taken all the same
	stateServing                            // ready
	stateStandby                            // not ready; clients are drained, and requests taken until stage RejectNew
	stateShuttingDown                       // the same where a successor is ready; else requests are taken to the end
	stateClosed                             // nothing is open, and every request is rejected
)

// phase is what others are told of a state.
func (s lifecycleState) phase() Phase {
	return [...]Phase{Starting, Serving, Standby, ShuttingDown, ShuttingDown}[s]
}

// startBlocker is a set of reasons not to serve yet.
type startBlocker uint8

const (
	endpointsUnknown  startBlocker = 1 << iota // no endpoint list has come in yet
	predecessorActive                          // the process before this one has not handed over yet
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
	drainingSince  time.Duration // when draining began, on the core's clock; 0: it has not
	successorReady bool          // another process takes new connections
}

func newLifecycle() lifecycle { return lifecycle{blockers: endpointsUnknown} }

// block keeps the router from serving until unblock is called with the same reason.
func (l *lifecycle) block(reason startBlocker) {
	l.blockers |= reason
	l.applyBlockers()
}

// unblock drops a reason not to serve yet.
func (l *lifecycle) unblock(reason startBlocker) {
	l.blockers &^= reason
	l.applyBlockers()
}

// applyBlockers has the router start or serve by what blocks it. On standby and in shutdown this does not matter.
func (l *lifecycle) applyBlockers() {
	switch {
	case l.state == stateStandby || l.shuttingDown():
	case l.blockers != 0:
		l.state = stateStarting
	default:
		l.state = stateServing
	}
}

// enterStandby begins to drain at an operator's request. It reports whether anything changed: a router that is on
// standby or shutting down stays so.
func (l *lifecycle) enterStandby(now time.Duration) bool {
	if l.state == stateStandby || l.shuttingDown() {
		return false
	}
	l.state, l.drainingSince = stateStandby, now
	return true
}

// leaveStandby has the router take clients again. It reports whether it does: one that shuts down does not.
func (l *lifecycle) leaveStandby() bool {
	if l.shuttingDown() {
		return false
	}
	l.state, l.drainingSince = stateServing, 0
	l.applyBlockers()
	return true
}

// beginShutdown begins to drain for good, since a time that may be over.
func (l *lifecycle) beginShutdown(since time.Duration) {
	if l.state != stateClosed {
		l.state = stateShuttingDown
	}
	l.drainingSince = since
}

// close ends a shutdown, once nothing is open any more.
func (l *lifecycle) close() {
	if l.state == stateShuttingDown {
		l.state = stateClosed
	}
}

func (l *lifecycle) shuttingDown() bool {
	return l.state == stateShuttingDown || l.state == stateClosed
}

// shutdownDeadline is when what is open must have ended, in a router that shuts down: the platform kills the process soon
// after.
func (l *lifecycle) shutdownDeadline(limits *config.Limits) time.Duration {
	return l.drainingSince + limits.ShutdownTimeout - limits.ShutdownAnswerMargin
}

// HoldStart keeps the router in phase Starting until ReleaseStart is called.
func (c *Core) HoldStart() { c.lifecycle.block(predecessorActive) }

// ReleaseStart ends HoldStart.
func (c *Core) ReleaseStart() { c.lifecycle.unblock(predecessorActive) }

// EnterStandby drains the router: it goes on answering while its clients leave.
func (c *Core) EnterStandby() {
	if c.lifecycle.enterStandby(c.iteration.now) {
		c.publish() // whoever asked for it is answered before the loop's iteration is over
	}
}

// LeaveStandby has the router take clients again. It reports whether it does: one that shuts down does not.
func (c *Core) LeaveStandby() bool {
	if !c.lifecycle.leaveStandby() {
		return false
	}
	c.publish()
	return true
}

// SetSuccessorReady tells the core whether a successor takes new connections. A router that has one drains its
// clients as it shuts down, and spends none of the budgets that routers share.
func (c *Core) SetSuccessorReady(ready bool) {
	c.lifecycle.successorReady = ready
	if c.extensions.cluster != nil {
		c.extensions.cluster.state.SetReplaced(ready)
	}
}

// BeginShutdown marks the router as shutting down since a time; it goes on answering. What is open ends, answered,
// before the platform may kill the process: a request whose client waits longer than that would be lost.
func (c *Core) BeginShutdown(since time.Duration) {
	c.lifecycle.beginShutdown(since)
	c.advanceDeadlines(c.lifecycle.shutdownDeadline(&c.limits))
}

// CloseIfNothingOpen reports whether nothing is open, and if so has the core reject every request from then on: a router
// that ends writes its last answers, and what came in meanwhile could get none. It is called after BeginShutdown.
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
	CloseAfterResponse            // a connection closes right after the answer after which none is owed on it
	CloseIdle                     // so do those that idle
	RejectNew                     // no request is taken
	CloseAll                      // no connection stays on which no answer is owed
)

// DrainStage returns how far the router has got in draining its clients. It may be called on any goroutine. A
// router that shuts down without a successor keeps its connections up to its end: its clients have nobody else to
// call.
func (c *Core) DrainStage() DrainStage {
	s := c.stats.snapshot.Load()
	drainingFor := c.clock() - s.DrainingSince
	switch {
	case s.Phase == ShuttingDown && s.HasSuccessor:
		return drainStage(drainingFor+c.limits.DrainCloseAfterResponse, &c.limits) // the successor has the new connections already
	case s.Phase == Standby:
		return drainStage(drainingFor, &c.limits)
	}
	return NotDraining
}

// drainStage is the stage of a router that has drained for some time.
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
