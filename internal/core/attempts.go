package core

import (
	"hillknot/balancer"
)

// sendAttempt carries out the module's decision to send an attempt.
func (c *Core) sendAttempt(decision balancer.SendAttempt) {
	r := c.requests.open[decision.ID]
	if r == nil {
		// The client left while the module decided. The module counts the attempt until it is told that it was not sent.
		c.emit(balancer.Outcome{ID: decision.ID, Attempt: decision.Attempt, Endpoint: decision.Endpoint,
			Status: balancer.NotSent, Answered: true})
		return
	}
	a := c.newAttempt(r, decision)
	if r.attempt != nil || a.Endpoint == nil { // one attempt at a time, and only to a listed endpoint
		a.done = true
		c.reportOutcome(a, AttemptResult{Status: balancer.NotSent})
		return
	}
	r.attempt = a
	if a.Index > 0 {
		c.stats.retriesSent++
	}
	for _, p := range c.iteration.pendingPurges {
		c.excludeOlderCopies(a, p)
	}
	c.traceAttempt(a)
	if a.deadline < r.deadline {
		a.timeout = c.timers.add(timer{at: a.deadline, attempt: a})
	}
	if status, detail := c.Permit(a); status != balancer.OK {
		c.CompleteAttempt(a, AttemptResult{Status: status, Detail: detail})
		return
	}
	c.upstream.Send(a)
}

func (c *Core) newAttempt(r *request, decision balancer.SendAttempt) *Attempt {
	a := &Attempt{
		Request:       &r.Request,
		Endpoint:      c.endpoints.byID[decision.Endpoint],
		Decision:      decision,
		Index:         decision.Attempt,
		NonIdempotent: r.policy.nonIdempotent(),
		owner:         r,
		sentAt:        c.iteration.now,
		deadline:      r.deadline,
	}
	if decision.Timeout > 0 {
		a.deadline = min(a.deadline, c.iteration.now+decision.Timeout)
	}
	if a.Endpoint != nil {
		a.placement = a.Endpoint.placement
	}
	if decision.Source != decision.Endpoint {
		a.Source = c.endpoints.byID[decision.Source]
	}
	return a
}

// Permit returns balancer.OK if an attempt may be written now, and else the status and detail with which the attempt
// ends. A decision from before a connection came up may no longer hold: an endpoint may be draining, as the target or
// as the source of a fill, or may have moved to another zone or cell; the client's time may be over, or the time within
// which page caches drop a duplicate. Permit also sets the attempt's Timeout.
func (c *Core) Permit(a *Attempt) (balancer.Status, balancer.Detail) {
	c.applyLateWatchEvents()
	now := c.clock()
	r := a.owner
	switch {
	case a.done || now >= a.deadline || r.clientHasDisconnected(now):
		return balancer.NotSent, balancer.NoDetail
	case a.Endpoint.State != balancer.InService || a.Endpoint.placement != a.placement:
		return balancer.ConnectFailed, balancer.NoDetail
	case !r.checkRepeat(a.Endpoint, now).Allowed():
		return balancer.NotSent, balancer.NoDetail
	case a.needsSource() && (a.Source == nil || a.Source.State != balancer.InService):
		return balancer.Rejected, balancer.SourceRejected
	}
	a.Timeout = min(a.deadline+c.limits.AttemptGrace, r.clientDeadline) - now
	return balancer.OK, balancer.NoDetail
}

// BeginWrite records that an attempt is about to be written.
func (c *Core) BeginWrite(a *Attempt) { c.rememberExecution(a.Request) }

// PermitIsCurrent reports whether the latest permit still holds: the process was not stopped since. It is called right before an
// attempt is written. If it returns false, Permit must be called again, as a purge or a drain may have come in during the stop.
func (c *Core) PermitIsCurrent() bool { return !c.stalls.isLate(c.clock()) }

// needsSource reports whether the endpoint is to fill its cache from another endpoint.
func (a *Attempt) needsSource() bool { return a.Decision.Source != a.Decision.Endpoint }

// AttemptWritten counts an attempt that was written in full, and checks it against the rules.
func (c *Core) AttemptWritten(a *Attempt) {
	c.stats.attemptsWritten++
	c.checkWritten(a)
}

// CompleteAttempt reports how an attempt ended. A second report is ignored.
func (c *Core) CompleteAttempt(a *Attempt, result AttemptResult) {
	if a.done {
		return
	}
	a.done = true
	c.timers.remove(a.timeout)
	r := a.owner
	r.attempt, r.attemptAwaitingPermission = nil, nil
	if !result.Status.NeverRan() {
		r.recordExecution(a)
		c.rememberExecution(&r.Request)
	}
	c.stats.attemptsEnded[result.Status]++
	c.traceAttemptEnd(a, result)
	if c.extensions.cluster != nil {
		c.extensions.cluster.countResult(a, result)
	}
	if result.Status == balancer.OK && c.requests.isOpen(r) {
		c.serve(r, result)
	}
	c.reportOutcome(a, result)
}

// rememberExecution remembers that a request may run or may have run, if a second run may do harm.
func (c *Core) rememberExecution(q *Request) {
	if !c.policy.classes[q.Class].nonIdempotent() || c.requests.mayHaveRun.Contains(q.Txn) {
		return
	}
	c.RememberRequest(q.Txn)
	if c.requests.onRemembered != nil {
		c.requests.onRemembered(q.Txn)
	}
}

// RememberRequest remembers that a request may have run at another process of this router: a request with its txn that may do harm
// if it runs twice is not sent any more.
func (c *Core) RememberRequest(txn string) {
	c.requests.mayHaveRun.Add(txn, c.iteration.now, c.limits.LongestDeadline)
}

// RememberedRequests returns the txns of recent requests that may have run and that must not run again.
func (c *Core) RememberedRequests() []string { return c.requests.mayHaveRun.Members() }

// OnRemembered sets a function that is called with the txn of each request that is about to be sent, if it must not run again. It
// is called once, before Run.
func (c *Core) OnRemembered(f func(txn string)) { c.requests.onRemembered = f }

// serve answers a request with the result of its attempt.
func (c *Core) serve(r *request, result AttemptResult) {
	c.removeRequest(r)
	answer := Answer{Verdict: Served, Body: result.Body}
	switch {
	case result.NotModified:
		answer = Answer{Verdict: NotModified}
	case result.BodyDropped:
		c.CountRefusal(RefusedMemory)
		answer = failedAnswer
	}
	c.finishOrder(r, answer)
	c.deliver(r, answer)
}

// reportOutcome reports to the module how an attempt ended.
func (c *Core) reportOutcome(a *Attempt, result AttemptResult) {
	c.emit(balancer.Outcome{
		ID:         a.owner.id,
		Attempt:    a.Index,
		Endpoint:   a.Decision.Endpoint,
		Status:     result.Status,
		Elapsed:    c.iteration.now - a.sentAt,
		SourceWait: result.SourceWait,
		Answered:   !c.requests.isOpen(a.owner),
		Detail:     result.Detail,
	})
}

// abandonAttempt cancels an open attempt and ends it with the given status, or with balancer.NotSent if it awaits the
// permission to be sent, as it has surely not run then.
func (c *Core) abandonAttempt(a *Attempt, status balancer.Status) {
	c.upstream.Cancel(a)
	if a.owner.attemptAwaitingPermission == a {
		status = balancer.NotSent
	}
	c.CompleteAttempt(a, AttemptResult{Status: status})
}

func (c *Core) timeOutAttempt(a *Attempt) {
	if !a.done {
		c.abandonAttempt(a, balancer.TimedOut)
	}
}
