package policy

import "time"

// idleCloseThreshold is the idle time from which on the end of a connection says nothing about its router.
const idleCloseThreshold = time.Second

// connEnd describes what the end of a connection says about its router.
type connEnd struct {
	byRouter     bool // the client had not closed the connection
	crossedClose bool // the router closed an idle connection just after all calls in flight were written
	spreadDial   bool // spread the dials: the connection was in use, so other clients lost theirs and reconnect at the same time
}

// ConnectionClosed reports that a connection has ended: closed by the router, broken by a fault, or closed because of
// ActionClose. Unsent lists the calls in flight of which certainly no byte was written, lost lists all other calls in
// flight. The end of a connection must be reported once.
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

// classifyConnEnd returns the kind of a connection's end. It must be called before the connection's state changes.
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

// allWrittenRecently reports whether all of the calls were written so recently that the router may not have seen
// them.
func (p *Policy) allWrittenRecently(calls []*Call) bool {
	for _, call := range calls {
		if p.now-call.lastAttempt.sentAt > p.settings.Crossing {
			return false
		}
	}
	return true
}
