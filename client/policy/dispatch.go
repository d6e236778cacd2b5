package policy

import "time"

// dispatch sends a call, holds it until it can be sent, or ends it if that would be too late.
func (p *Policy) dispatch(call *Call) {
	latestStart := call.deadline - p.minServiceTime(call)
	if p.now > latestStart {
		p.finish(call, Outcome{Verdict: Deadline})
		return
	}
	p.openConns()
	if conn := p.pickConn(call); conn != nil {
		p.send(call, conn)
		return
	}
	at, verdict := p.nextCapacity()
	rejecting := at > p.now && verdict == Refused
	if rejecting { // spread the calls: otherwise all would be sent at the time that the routers named
		at += time.Duration(p.random.Float64() * float64(max(p.settings.BackoffBase, (at-p.now)/2)))
	}
	switch {
	case at > latestStart:
		p.finish(call, Outcome{Verdict: verdict, Local: verdict == Refused, RetryAfter: at - p.now})
	case rejecting:
		call.delayedUntil = at
		p.holdCall(call, callDelayed)
	default:
		p.queue = append(p.queue, call)
		p.holdCall(call, callQueued)
	}
}

// holdCall puts a call into a state in which it waits and is not at a router.
func (p *Policy) holdCall(call *Call, state callState) {
	if !call.neverSent && call.attempts == 0 {
		call.neverSent = true
		p.waiting++
	}
	call.state = state
	p.setCallTimer(call)
}

// uncountWaiting removes a call from the count of calls that were never sent.
func (p *Policy) uncountWaiting(call *Call) {
	if call.neverSent {
		call.neverSent = false
		p.waiting--
	}
}

// send starts an attempt on a connection with capacity.
func (p *Policy) send(call *Call, conn *Conn) {
	p.uncountWaiting(call)
	isRetry := call.isRetry()
	call.state = callInFlight
	call.lastAttempt = attempt{conn: conn, router: conn.router.index, sentAt: p.now}
	conn.addCall(p)
	call.attempts++
	p.counts.Tries++
	if isRetry {
		p.counts.Retries++
	}
	p.setCallTimer(call)
	p.updateConnState(conn)
	p.emit(Action{Kind: ActionSend, Call: call, Conn: conn, Router: conn.router.index, Retry: isRetry})
}

// detach removes a call from its connection.
func (p *Policy) detach(call *Call) {
	conn := call.lastAttempt.conn
	call.lastAttempt.conn, call.state = nil, callDelayed
	conn.removeCall(p.now)
	p.updateConnState(conn)
}

// sendQueued sends queued calls, in order, while there is capacity.
func (p *Policy) sendQueued() {
	for len(p.queue) > 0 {
		if call := p.queue[0]; call.state == callQueued {
			conn := p.pickConn(call)
			if conn == nil {
				return
			}
			p.dropQueueHead()
			p.send(call, conn)
		} else {
			p.dropQueueHead()
		}
	}
	if cap(p.queue) > 4*p.settings.Waiting { // release the memory that a burst of calls took
		p.queue = nil
	}
}

func (p *Policy) dropQueueHead() {
	p.queue[0] = nil // otherwise the array would keep the call reachable
	p.queue = p.queue[1:]
}

// redispatchQueued dispatches each queued call again: the capacity that it waits for may now come too late.
func (p *Policy) redispatchQueued() {
	queued := p.queue
	p.queue = nil
	for _, call := range queued {
		if call.state == callQueued {
			p.dispatch(call)
		}
	}
}

// anyQueued reports whether a call waits for capacity.
func (p *Policy) anyQueued() bool {
	for _, call := range p.queue {
		if call.state == callQueued {
			return true
		}
	}
	return false
}

// PrepareWrite must be called right before the call of an ActionSend is written. If ok is true, the call counts as
// written, and limit is the time limit to send to the router with it. If ok is false, the call has ended, or ends now
// because too little time is left, and must not be written. Bytes is the size of the write up to and including this
// call.
func (p *Policy) PrepareWrite(now time.Duration, call *Call, bytes int) (limit time.Duration, ok bool) {
	p.now = now
	if call.state != callInFlight {
		return 0, false
	}
	call.lastAttempt.sentAt = now
	limit = call.deadline - now - call.lastAttempt.conn.expectedWriteTime(bytes)
	if limit < p.minServiceTime(call) {
		p.abandon(call, Deadline)
		return 0, false
	}
	call.lastAttempt.written = true
	return limit, true
}
