package policy

import "time"

// retryOrFinish sends a call again after a backoff, or ends it with the outcome of its latest attempt.
func (p *Policy) retryOrFinish(call *Call, outcome Outcome) {
	wait := p.backoff(call.attempts)
	switch {
	case !p.mayRetry(call), p.now+wait+p.minServiceTime(call) > call.deadline:
		p.finish(call, outcome)
	case call.retry.claiming && !call.retry.claimed:
		call.retry.claimed = true
		p.counts.Claims++
		p.delay(call, 0)
	case !p.throttle.inactive(p.now) && outcome.Verdict == Refused: // retries would add to the overload
		p.finish(call, outcome)
	case !p.budget.take(p.now):
		p.counts.OutOfBudget++
		p.finish(call, outcome)
	default:
		p.delay(call, wait)
	}
}

// mayRetry says whether the call may be sent once more as far as its attempts up to now go.
func (p *Policy) mayRetry(call *Call) bool {
	if call.retry.forbidden || call.attempts >= p.settings.Tries {
		return false
	}
	return call.idempotent || call.retry.claiming || !call.retry.mayHaveRun
}

// backoff returns a random wait before the next attempt, exponential with full jitter.
func (p *Policy) backoff(attempts int) time.Duration {
	longest := min(p.settings.BackoffMost, p.settings.BackoffBase<<min(max(attempts-1, 0), 16))
	return time.Duration(p.random.Float64() * float64(longest))
}

// delay has a call dispatched again after a wait.
func (p *Policy) delay(call *Call, wait time.Duration) {
	call.state, call.delayedUntil = callDelayed, p.now+wait
	p.setCallTimer(call)
}

// redispatchUnsent sends a call elsewhere of which not a byte was written: no router has seen it.
func (p *Policy) redispatchUnsent(call *Call) {
	p.uncountAttempt(call)
	call.moves++
	if call.moves > 2*len(p.routers)+2 {
		p.finish(call, Outcome{Verdict: Unreachable})
		return
	}
	p.counts.Moves++
	p.dispatch(call)
}

// recoverLost handles an attempt that got no response, or none that can be read. An idempotent call that crossed the
// router's close is sent again once, at once and outside the budget: the router closed an idle
// connection, which is no fault.
func (p *Policy) recoverLost(call *Call, crossedClose bool) {
	call.retry.mayHaveRun = true
	call.retry.claiming = p.settings.Claims && !call.idempotent && !call.retry.forbidden
	if crossedClose && call.idempotent && !call.retry.crossedClose && !call.retry.forbidden {
		call.retry.crossedClose = true
		p.counts.Crossings++
		p.dispatch(call)
		return
	}
	p.retryOrFinish(call, Outcome{Verdict: Lost})
}
