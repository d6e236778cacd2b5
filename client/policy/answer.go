package policy

import "time"

// AnswerReceived reports a router's answer to a call that is in flight. RetryAfter is how long the router told its
// clients to stay away with a rejection; 0 where it did not. It does nothing for a call that is not in flight.
func (p *Policy) AnswerReceived(now time.Duration, c *Call, result Result, retryAfter time.Duration) {
	p.now = now
	if c.state != callInFlight {
		return
	}
	conn, took := c.latest.conn, now-c.latest.sentAt
	r := conn.router
	conn.lastHeard = now
	conn.health.pendingSince = 0
	p.detach(c)
	if result == ResultRejected {
		p.throttle.recordRejected(now)
	} else {
		p.throttle.recordAccepted(now)
	}
	r.recordAnswer(now, took, result)
	switch result {
	case ResultServed:
		p.latency += routerLatencyWeight * (took.Seconds() - p.latency)
		p.classes[c.class].record(now, took)
		p.recordSuccess(r)
		p.finish(c, Outcome{Verdict: Served})
	case ResultInvalid:
		p.recordSuccess(r)
		p.finish(c, Outcome{Verdict: Failed})
	case ResultRejected:
		p.recordSuccess(r) // a router that can reject is no outlier
		r.rejectsUntil = max(r.rejectsUntil, now+min(retryAfter, p.settings.LongestWait))
		p.retryOrFinish(c, Outcome{Verdict: Refused, RetryAfter: retryAfter})
	case ResultFailed:
		if !c.retry.claiming { // a claim that finds no outcome is no fault of the router that was asked
			p.recordFailure(r)
		}
		c.retry.mayHaveRun, c.retry.claiming = true, false
		p.retryOrFinish(c, Outcome{Verdict: Failed})
	}
	p.sendQueued()
}
