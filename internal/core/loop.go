package core

import (
	"time"

	"hillknot/balancer"
)

// Run runs the loop on the calling goroutine until stop is closed.
func (c *Core) Run(stop <-chan struct{}) {
	loopTimer := time.NewTimer(0)
	defer loopTimer.Stop()
	for {
		select {
		case <-c.queue.wake:
		case <-loopTimer.C:
		case <-stop:
			return
		}
		checkedAt, _ := c.awaitBacklog()
		wait := c.limits.LoopInterval // an idle loop iterates too, so that a stall is detected
		if next, pending := c.iterate(checkedAt); pending {
			wait = min(wait, max(next-c.clock(), 0))
		}
		loopTimer.Reset(wait)
	}
}

// RunOnce runs one iteration of the loop. It returns the time at which the next timer is due, and whether any timer is
// pending.
func (c *Core) RunOnce() (next time.Duration, pending bool) { return c.iterate(c.clock()) }

// iterate is RunOnce for a caller that last checked for a stall of the process at checkedAt, which may lie some time
// in the past.
func (c *Core) iterate(checkedAt time.Duration) (next time.Duration, pending bool) {
	c.iteration.now = c.clock()
	c.stalls.tick(checkedAt)
	for _, f := range c.queue.takeAll() {
		f()
	}
	for t, due := c.timers.popDue(c.iteration.now); due; t, due = c.timers.popDue(c.iteration.now) {
		c.fire(t)
	}
	c.decide()
	if c.extensions.orders != nil {
		c.extensions.orders.Flush()
	}
	if c.extensions.credit != nil {
		c.extensions.credit.Flush()
	}
	c.publish()
	return c.timers.next()
}

// decide passes the events to the module and carries out its actions, until the actions cause no more events.
func (c *Core) decide() {
	for len(c.iteration.events) > 0 {
		events := c.iteration.events
		// The module gets these purges with the events.
		c.iteration.events, c.iteration.pendingPurges = nil, c.iteration.pendingPurges[:0]
		for _, action := range c.module.Handle(c.iteration.now, events...) {
			c.execute(action)
		}
	}
}

// execute carries out one action of the module.
func (c *Core) execute(action balancer.Action) {
	switch a := action.(type) {
	case balancer.SendAttempt:
		c.sendAttempt(a)
	case balancer.CancelAttempt:
		if r := c.requests.open[a.ID]; r != nil && r.attempt != nil && r.attempt.Index == a.Attempt {
			c.abandonAttempt(r.attempt, balancer.Cancelled)
		}
	case balancer.Reject:
		c.CountRefusal(RefusedByDecision)
		c.completeQuery(a.ID, QueryResult{Rejected: true})
		c.answer(c.requests.open[a.ID], Answer{Verdict: Rejected, RetryAfter: a.RetryAfter})
	case balancer.Fail:
		c.completeQuery(a.ID, QueryResult{})
		c.answer(c.requests.open[a.ID], failedAnswer)
	case balancer.ResolveAnswer:
		c.answerQuery(a)
	case balancer.SetTimer:
		c.timers.add(timer{at: c.iteration.now + a.Delay, token: a.Token})
	}
}

// awaitBacklog waits, for a bounded time, until the input that came in during a stall of the process has been passed
// on. Such input waits in sockets, which are read in no set order: a request must not overtake a purge that discovery
// sent before it, and an attempt must not be sent before the departure of its client is read. awaitBacklog returns the
// time of its last check, and whether there was a stall. A stall after that time is not detected yet.
func (c *Core) awaitBacklog() (checkedAt time.Duration, stalled bool) {
	now := c.clock()
	if !c.stalls.detect(now) {
		return now, false
	}
	c.logStall(now)
	if c.hasBacklog == nil {
		return now, false
	}
	for end := now + c.limits.BacklogWait; now < end; now = c.clock() {
		if !c.hasBacklog() {
			c.stalls.endRecovery(now)
			break
		}
		time.Sleep(c.limits.BacklogPollInterval)
	}
	return now, true
}

// applyLateWatchEvents applies the watch events that came in during a stall in the middle of an iteration. It is called
// right before an attempt that was decided earlier is written.
func (c *Core) applyLateWatchEvents() {
	checkedAt, stalled := c.awaitBacklog()
	if !stalled {
		return
	}
	c.iteration.now = c.clock() // otherwise the events would lie after the time of this iteration
	c.stalls.tick(checkedAt)
	for _, f := range c.queue.takeWatchEvents() {
		f()
	}
}
