package policy

import "time"

// idleCloseThreshold is how long a connection is without calls until its end says nothing of its router.
const idleCloseThreshold = time.Second

// connEnd is what the end of a connection says of its router.
type connEnd struct {
	byRouter     bool // the client had not asked for it
	crossedClose bool // the router closed an idle connection, and all calls in flight were written just before
	spreadDial   bool // the connection was in use: other clients lost theirs too, and come back at the same time
}

// ConnectionClosed reports that a connection has ended: by the router, through a fault, or as ActionClose asked.
// Unsent lists the calls in flight of which surely not one byte was written, lost all others. It must be reported
// once.
func (p *Policy) ConnectionClosed(now time.Duration, conn *Conn, unsent, lost []*Call) {
	p.now = now
	end := p.classifyConnEnd(conn, lost)
	p.removeConn(conn)
	if end.byRouter && len(lost) > 0 && !end.crossedClose {
		p.recordFailure(conn.router)
	}
	if end.spreadDial {
		p.backOffDial(conn.router)
	}
	for _, call := range unsent {
		if call.lastAttempt.conn == conn {
			p.detach(call)
			p.redispatchUnsent(call)
		}
	}
	for _, call := range lost {
		if call.lastAttempt.conn == conn {
			p.detach(call)
			p.recoverLost(call, end.crossedClose)
		}
	}
	p.sendQueued()
}

// classifyConnEnd tells the kinds of ends apart, before the connection's state is changed.
func (p *Policy) classifyConnEnd(conn *Conn, lost []*Call) connEnd {
	if conn.state == connClosed {
		return connEnd{}
	}
	end := connEnd{byRouter: true, crossedClose: conn.state != connDraining && p.allWrittenRecently(lost)}
	idle := p.now - conn.lastUsed
	if conn.inFlight > 0 {
		idle = 0
	}
	closedAsIdle := idle >= idleCloseThreshold || end.crossedClose && conn.idleBefore >= idleCloseThreshold
	end.spreadDial = conn.state == connChecking || !closedAsIdle
	return end
}

// allWrittenRecently says whether all of these calls were written so shortly ago that the router may not have seen them.
func (p *Policy) allWrittenRecently(calls []*Call) bool {
	for _, call := range calls {
		if p.now-call.lastAttempt.sentAt > p.settings.Crossing {
			return false
		}
	}
	return true
}
