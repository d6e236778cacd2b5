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

// mayRetry reports whether the previous attempts of the call allow another one.
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

// delay schedules a call to be dispatched again after a wait.
func (p *Policy) delay(call *Call, wait time.Duration) {
	call.state, call.delayedUntil = callDelayed, p.now+wait
	p.setCallTimer(call)
}

// redispatchUnsent dispatches a call again whose last attempt no router has seen, because no byte of it was written.
// The call ends if this happens too often.
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

// recoverLost handles an attempt that got no response or a malformed one. An idempotent call that crossed a router's
// close is sent again immediately and without using the retry budget, but only once: the router closed an idle
// connection, which is not a fault.
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
