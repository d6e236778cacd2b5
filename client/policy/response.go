package policy

import "time"

// ResponseReceived reports a router's response to a call that is in flight. RetryAfter is how long clients are to
// stay away, which a router may send with a rejection; 0 where it sent none. It does nothing for a call that is not
// in flight.
func (p *Policy) ResponseReceived(now time.Duration, call *Call, result Result, retryAfter time.Duration) {
	p.now = now
	if call.state != callInFlight {
		return
	}
	conn, took := call.lastAttempt.conn, now-call.lastAttempt.sentAt
	r := conn.router
	conn.silentSince = now
	conn.health.pendingSince = 0
	p.detach(call)
	if result == ResultRejected {
		p.throttle.recordRejected(now)
	} else {
		p.throttle.recordAccepted(now)
	}
	r.recordResponse(now, took, result)
	switch result {
	case ResultServed:
		p.latency += routerLatencyWeight * (took.Seconds() - p.latency)
		p.classes[call.class].record(now, took)
		p.recordSuccess(r)
		p.finish(call, Outcome{Verdict: Served})
	case ResultInvalid:
		p.recordSuccess(r)
		p.finish(call, Outcome{Verdict: Failed})
	case ResultRejected:
		p.recordSuccess(r) // a router that can reject is no outlier
		r.rejectsUntil = max(r.rejectsUntil, now+min(retryAfter, p.settings.LongestWait))
		p.retryOrFinish(call, Outcome{Verdict: Refused, RetryAfter: retryAfter})
	case ResultFailed:
		if !call.retry.claiming { // a claim that finds no outcome is no fault of the router that was asked
			p.recordFailure(r)
		}
		call.retry.mayHaveRun, call.retry.claiming = true, false
		p.retryOrFinish(call, Outcome{Verdict: Failed})
	}
	p.sendQueued()
}
