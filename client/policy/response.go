package policy

import "time"

// ResponseReceived reports a router's response to a call that is in flight. RetryAfter is the time for which clients
// must not send, which a router may return with a rejection; 0 if it returned none. ResponseReceived does nothing for
// a call that is not in flight.
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
		p.recordSuccess(r) // a router that rejects is not an outlier
		r.rejectsUntil = max(r.rejectsUntil, now+min(retryAfter, p.settings.LongestWait))
		p.retryOrFinish(call, Outcome{Verdict: Refused, RetryAfter: retryAfter})
	case ResultFailed:
		if !call.retry.claiming { // a claim that finds no outcome is not a fault of the router that was asked
			p.recordFailure(r)
		}
		call.retry.mayHaveRun, call.retry.claiming = true, false
		p.retryOrFinish(call, Outcome{Verdict: Failed})
	}
	p.sendQueued()
}
