package policy

import "time"

// Call is one request over all its attempts, from StartCall to its only ActionFinish.
type Call struct {
	// UserData belongs to the caller; the policy does not use it.
	UserData any

	class      int
	idempotent bool
	deadline   time.Duration

	state        callState
	timer        timer
	delayedUntil time.Duration // end of the delay, in state callDelayed
	neverSent    bool          // the call is counted in Policy.waiting

	attempts    int // attempts that were written or are about to be
	moves       int // attempts of which certainly no byte was written; not counted in attempts
	lastAttempt attempt
	retry       retryState
}

// callState is the state of a call.
type callState uint8

const (
	callQueued   callState = iota // waits for a connection with capacity
	callDelayed                   // waits for the end of a backoff or of a router's Retry-After
	callInFlight                  // an attempt is on a connection
	callEnded
)

// attempt is one attempt of a call at one router.
type attempt struct {
	conn    *Conn // nil unless the call is in flight
	router  int   // index of the router; -1: no attempt yet
	sentAt  time.Duration
	written bool // bytes of the attempt may have been sent
}

// retryState holds what decides whether a call may be sent again.
type retryState struct {
	mayHaveRun   bool // an attempt may have taken effect
	forbidden    bool // part of a response has been handed to the caller
	crossedClose bool // the call was sent again because it crossed a router's close; that is done only once
	claiming     bool // the router was lost: the next attempt asks another router for the outcome
	claimed      bool // the call has made a claim outside the retry budget, which is done only once
}

// CallSpec describes a new call.
type CallSpec struct {
	Class      int           // index of the class, from 0
	Idempotent bool          // may be sent again after an attempt that may have run
	Deadline   time.Duration // time at which the call ends at the latest
	UserData   any           // value of Call.UserData
}

// StartCall starts a new call. The call may end at once: if it is shed, if too little time is left, or if too many
// other calls are waiting.
func (p *Policy) StartCall(now time.Duration, spec CallSpec) *Call {
	p.now = now
	call := &Call{
		UserData:    spec.UserData,
		class:       spec.Class,
		idempotent:  spec.Idempotent,
		deadline:    spec.Deadline,
		state:       callDelayed,
		lastAttempt: attempt{router: -1},
	}
	call.timer = newTimer(call)
	p.counts.Calls++
	p.budget.recordFirstAttempt(now)
	switch {
	case !p.throttle.admit(now):
		p.counts.RefusedLocally++
		p.finish(call, Outcome{Verdict: Refused, Local: true, RetryAfter: p.shedRetryAfter()})
	case p.waiting >= p.settings.Waiting:
		p.finish(call, Outcome{Verdict: Busy})
	default:
		p.dispatch(call)
	}
	return call
}

// shedRetryAfter returns how long the caller of a shed call should wait before the next call.
func (p *Policy) shedRetryAfter() time.Duration {
	wait := p.settings.ProbeEvery
	if at, ok := p.allRejectingUntil(); ok {
		wait = max(wait, at-p.now)
	}
	return wait
}

// CancelCall ends a call whose caller no longer waits. It has no effect on a call that has ended.
func (p *Policy) CancelCall(now time.Duration, call *Call) {
	p.now = now
	p.abandon(call, Withdrawn)
	p.sendQueued()
}

// abandon ends a call in any state, and cancels it at the router that may be working on it.
func (p *Policy) abandon(call *Call, verdict Verdict) {
	if call.state == callEnded {
		return
	}
	if call.state == callInFlight {
		p.emit(Action{Kind: ActionCancel, Conn: call.lastAttempt.conn, Call: call})
		if call.lastAttempt.written {
			call.retry.mayHaveRun = true
		} else {
			p.uncountAttempt(call)
		}
		p.detach(call)
	}
	p.finish(call, Outcome{Verdict: verdict})
}

// uncountAttempt removes the last attempt from the counts, because no byte of it was written.
func (p *Policy) uncountAttempt(call *Call) {
	call.attempts--
	p.counts.Tries--
	if call.isRetry() {
		p.counts.Retries--
	}
}

// isRetry reports whether a router may have seen the call before the attempt that is about to be made.
func (call *Call) isRetry() bool { return call.attempts > 0 }

// IsClaim reports whether the call's attempt asks for the outcome of the previous attempt, whose router was lost.
func (call *Call) IsClaim() bool { return call.retry.claiming }

// ForbidRetry prevents the call from being sent again, because part of a response has been passed to its caller.
func (call *Call) ForbidRetry() { call.retry.forbidden = true }

// finish ends a call and emits its ActionFinish.
func (p *Policy) finish(call *Call, outcome Outcome) {
	p.uncountWaiting(call)
	call.state = callEnded
	p.stopTimer(&call.timer)
	outcome.MayHaveRun = call.retry.mayHaveRun && outcome.Verdict != Served
	outcome.Attempts = call.attempts
	p.emit(Action{Kind: ActionFinish, Call: call, Outcome: outcome})
}

// setCallTimer sets a call's timer to its deadline, or to the end of its delay if that is earlier.
func (p *Policy) setCallTimer(call *Call) {
	at := call.deadline
	if call.state == callDelayed {
		at = min(at, call.delayedUntil)
	}
	p.setTimer(&call.timer, at)
}

func (call *Call) timerDue(p *Policy) {
	switch {
	case p.now >= call.deadline:
		if call.state == callInFlight {
			p.recordTimeout(call.lastAttempt.conn.router)
		}
		p.abandon(call, Deadline)
	case call.state == callDelayed:
		p.dispatch(call)
	default:
		p.setCallTimer(call)
	}
}
