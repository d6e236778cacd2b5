package policy

import "time"

// dispatch sends a call, keeps it until it can be sent, or ends it where that moment comes too late.
func (p *Policy) dispatch(c *Call) {
	latestStart := c.deadline - p.minServiceTime(c)
	if p.now > latestStart {
		p.finish(c, Outcome{Verdict: Deadline})
		return
	}
	p.openConns()
	if conn := p.pickConn(c); conn != nil {
		p.send(c, conn)
		return
	}
	at, verdict := p.nextCapacity()
	rejecting := at > p.now && verdict == Refused
	if rejecting { // spread the calls, or all of them come at the moment that the routers named
		at += time.Duration(p.random.Float64() * float64(max(p.settings.BackoffBase, (at-p.now)/2)))
	}
	switch {
	case at > latestStart:
		p.finish(c, Outcome{Verdict: verdict, Local: verdict == Refused, RetryAfter: at - p.now})
	case rejecting:
		c.delayedUntil = at
		p.hold(c, callDelayed)
	default:
		p.queue = append(p.queue, c)
		p.hold(c, callQueued)
	}
}

// hold keeps a call in a state in which it is with no router.
func (p *Policy) hold(c *Call, state callState) {
	if !c.neverSent && c.attempts == 0 {
		c.neverSent = true
		p.waiting++
	}
	c.state = state
	p.setCallTimer(c)
}

// uncountWaiting takes a call off those that were never sent.
func (p *Policy) uncountWaiting(c *Call) {
	if c.neverSent {
		c.neverSent = false
		p.waiting--
	}
}

// send starts an attempt on a connection with capacity.
func (p *Policy) send(c *Call, conn *Conn) {
	p.uncountWaiting(c)
	isRetry := c.isRetry()
	c.state = callInFlight
	c.latest = attempt{conn: conn, router: conn.router.index, sentAt: p.now}
	conn.addCall(p)
	c.attempts++
	p.counts.Tries++
	if isRetry {
		p.counts.Retries++
	}
	p.setCallTimer(c)
	p.reviewConn(conn)
	p.request(Action{Kind: ActionSend, Call: c, Conn: conn, Router: conn.router.index, Retry: isRetry})
}

// detach takes a call off its connection.
func (p *Policy) detach(c *Call) {
	conn := c.latest.conn
	c.latest.conn, c.state = nil, callDelayed
	conn.removeCall(p.now)
	p.reviewConn(conn)
}

// sendQueued sends what is queued, in order, for as long as there is capacity.
func (p *Policy) sendQueued() {
	for len(p.queue) > 0 {
		if c := p.queue[0]; c.state == callQueued {
			conn := p.pickConn(c)
			if conn == nil {
				return
			}
			p.dropQueueHead()
			p.send(c, conn)
		} else {
			p.dropQueueHead()
		}
	}
	if cap(p.queue) > 4*p.settings.Waiting { // what a burst has left behind
		p.queue = nil
	}
}

func (p *Policy) dropQueueHead() {
	p.queue[0] = nil // or the array would keep the call
	p.queue = p.queue[1:]
}

// redispatchQueued decides anew on each queued call: what it waited for may come too late now.
func (p *Policy) redispatchQueued() {
	queued := p.queue
	p.queue = nil
	for _, c := range queued {
		if c.state == callQueued {
			p.dispatch(c)
		}
	}
}

// anyQueued says whether a call waits for capacity.
func (p *Policy) anyQueued() bool {
	for _, c := range p.queue {
		if c.state == callQueued {
			return true
		}
	}
	return false
}

// PrepareWrite must be called right before a call that ActionSend asked for is written. With ok it counts as written, and
// limit is how long the router may be told that the client waits. Without ok the call has ended, or ends now as too
// little time is left, and must not be written. Bytes is the size of the write up to and with this call.
func (p *Policy) PrepareWrite(now time.Duration, c *Call, bytes int) (limit time.Duration, ok bool) {
	p.now = now
	if c.state != callInFlight {
		return 0, false
	}
	c.latest.sentAt = now
	limit = c.deadline - now - c.latest.conn.expectedWriteTime(bytes)
	if limit < p.minServiceTime(c) {
		p.abandon(c, Deadline)
		return 0, false
	}
	c.latest.written = true
	return limit, true
}
