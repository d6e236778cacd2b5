package policy

import "time"

// Call is one request of a caller over all its attempts, from StartCall to its one ActionFinish.
type Call struct {
	// UserData is the caller's own: the policy does not use it.
	UserData any

	class      int
	idempotent bool
	deadline   time.Duration

	state        callState
	timer        timer
	delayedUntil time.Duration // while it is delayed
	neverSent    bool          // counted in Policy.waiting

	attempts    int // written, or about to be
	moves       int // attempts of which surely not a byte was written; not counted in attempts
	lastAttempt attempt
	retry       retryState
}

// callState is the state of a call.
type callState uint8

const (
	callQueued   callState = iota // waits for a connection with capacity
	callDelayed                   // waits for a moment: a backoff, or a router's Retry-After
	callInFlight                  // with a router
	callEnded
)

// attempt is the sending of a call to one router.
type attempt struct {
	conn    *Conn // while the call is in flight
	router  int   // -1: no attempt yet
	sentAt  time.Duration
	written bool // bytes of it may have gone out
}

// retryState is what decides whether a call may be sent again.
type retryState struct {
	mayHaveRun   bool // an attempt may have taken effect
	forbidden    bool // part of a response has been handed to the caller
	crossedClose bool // it was sent again as it had crossed a router's close, which is done once
	claiming     bool // its router was lost: the next attempt asks another one for the outcome
	claimed      bool // it has done so once without the retry budget
}

// CallSpec describes a new call.
type CallSpec struct {
	Class      int           // index, as given to New
	Idempotent bool          // may be sent again after an attempt that may have run
	Deadline   time.Duration // when the call ends at the latest
	UserData   any           // for Call.UserData
}

// StartCall takes a new call. It may end at once: shed, too late, or with too many others waiting.
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

// shedRetryAfter is how long the caller of a call that is shed should stay away.
func (p *Policy) shedRetryAfter() time.Duration {
	wait := p.settings.ProbeEvery
	if at, ok := p.allRejectingUntil(); ok {
		wait = max(wait, at-p.now)
	}
	return wait
}

// CancelCall ends a call whose caller no longer waits. It does nothing for a call that has ended.
func (p *Policy) CancelCall(now time.Duration, call *Call) {
	p.now = now
	p.abandon(call, Withdrawn)
	p.sendQueued()
}

// abandon ends a call whatever its state, and tells the router that may be working on it.
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

// uncountAttempt takes back the latest attempt: not a byte of it was written.
func (p *Policy) uncountAttempt(call *Call) {
	call.attempts--
	p.counts.Tries--
	if call.isRetry() {
		p.counts.Retries--
	}
}

// isRetry says whether a router may have seen the call before the attempt that is about to be made.
func (call *Call) isRetry() bool { return call.attempts > 0 }

// IsClaim says whether the call's attempt asks for the outcome of the one before it, whose router was lost.
func (call *Call) IsClaim() bool { return call.retry.claiming }

// ForbidRetry keeps the call from being sent again, as part of a response has been handed to its caller.
func (call *Call) ForbidRetry() { call.retry.forbidden = true }

// finish ends a call for its caller.
func (p *Policy) finish(call *Call, outcome Outcome) {
	p.uncountWaiting(call)
	call.state = callEnded
	p.stopTimer(&call.timer)
	outcome.MayHaveRun = call.retry.mayHaveRun && outcome.Verdict != Served
	outcome.Attempts = call.attempts
	p.emit(Action{Kind: ActionFinish, Call: call, Outcome: outcome})
}

// setCallTimer sets a call's timer to its deadline, or to the end of its delay where that comes first.
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
