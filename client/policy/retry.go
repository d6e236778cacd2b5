package policy

import "time"

// retryOrFinish sends a call again after a backoff, or ends it with the outcome of its latest attempt.
func (p *Policy) retryOrFinish(c *Call, outcome Outcome) {
	wait := p.backoff(c.attempts)
	switch {
	case !p.mayRetry(c), p.now+wait+p.minServiceTime(c) > c.deadline:
		p.finish(c, outcome)
	case c.retry.claiming && !c.retry.claimed:
		c.retry.claimed = true
		p.counts.Claims++
		p.delay(c, 0)
	case !p.throttle.inactive(p.now) && outcome.Verdict == Refused: // retries would feed the storm
		p.finish(c, outcome)
	case !p.budget.take(p.now):
		p.counts.OutOfBudget++
		p.finish(c, outcome)
	default:
		p.delay(c, wait)
	}
}

// mayRetry says whether the call may be sent once more as far as its attempts up to now go.
func (p *Policy) mayRetry(c *Call) bool {
	if c.retry.forbidden || c.attempts >= p.settings.Tries {
		return false
	}
	return c.idempotent || c.retry.claiming || !c.retry.mayHaveRun
}

// backoff returns a random wait before the next attempt, exponential with full jitter.
func (p *Policy) backoff(attempts int) time.Duration {
	longest := min(p.settings.BackoffMost, p.settings.BackoffBase<<min(max(attempts-1, 0), 16))
	return time.Duration(p.random.Float64() * float64(longest))
}

// delay has a call dispatched again after a wait.
func (p *Policy) delay(c *Call, wait time.Duration) {
	c.state, c.delayedUntil = callDelayed, p.now+wait
	p.setCallTimer(c)
}

// move sends a call elsewhere of which not a byte was written: no router has seen it.
func (p *Policy) move(c *Call) {
	p.uncountAttempt(c)
	c.moves++
	if c.moves > 2*len(p.routers)+2 {
		p.finish(c, Outcome{Verdict: Unreachable})
		return
	}
	p.counts.Moves++
	p.dispatch(c)
}

// recoverLost handles an attempt that got no answer, or none that can be read. An idempotent call that crossed the
// router's close is sent again once, at once and outside the budget: the router has closed an idle connection, and is
// not in trouble.
func (p *Policy) recoverLost(c *Call, crossedClose bool) {
	c.retry.mayHaveRun = true
	c.retry.claiming = p.settings.Claims && !c.idempotent && !c.retry.forbidden
	if crossedClose && c.idempotent && !c.retry.crossedClose && !c.retry.forbidden {
		c.retry.crossedClose = true
		p.counts.Crossings++
		p.dispatch(c)
		return
	}
	p.retryOrFinish(c, Outcome{Verdict: Lost})
}
