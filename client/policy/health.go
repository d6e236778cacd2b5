package policy

import "time"

// checkHealth sends a health check, which asks a router whether it accepts clients.
func (p *Policy) checkHealth(conn *Conn) {
	conn.health = healthCheck{pendingSince: p.now, lastSent: p.now}
	p.emit(Action{Kind: ActionCheckHealth, Conn: conn, Router: conn.router.index})
	p.setConnTimer(conn)
}

// nextHealthCheck returns when a connection in use is checked next: at regular intervals, and earlier if it is
// silent.
func (p *Policy) nextHealthCheck(conn *Conn) time.Duration {
	return min(conn.silentSince+p.settings.Quiet, conn.health.lastSent+p.settings.CheckEvery)
}

// HealthReceived reports the response to a health check. Ready is true if the router accepts clients.
func (p *Policy) HealthReceived(now time.Duration, conn *Conn, ready bool) {
	p.now = now
	conn.silentSince, conn.health.pendingSince = now, 0
	switch {
	case conn.state == connClosed:
		return
	case !ready:
		p.drainRouter(conn.router)
	case conn.state == connChecking:
		conn.state, conn.lastUsed = connReady, now
		p.recordConnected(conn.router)
		p.setConnTimer(conn)
	default:
		p.setConnTimer(conn)
	}
	p.sendQueued()
}

// BytesReceived reports that bytes were received. Unless the connection waits for its first health check, they count
// as the response to a pending health check, because they show that the router is alive.
func (p *Policy) BytesReceived(now time.Duration, conn *Conn) {
	conn.silentSince = now
	if conn.state != connChecking {
		conn.health.pendingSince = 0
	}
}

// closeSilent closes a connection whose router did not answer a health check.
func (p *Policy) closeSilent(conn *Conn) {
	p.counts.Silent++
	p.closeConn(conn)
	p.recordFailure(conn.router)
	p.backOffDial(conn.router)
}

// drainRouter stops sending calls to a router that accepts no clients. Calls in flight continue, and the router is
// dialed again later.
func (p *Policy) drainRouter(r *router) {
	p.counts.Drains++
	for _, conn := range append([]*Conn(nil), r.conns...) { // a copy: updateConnState removes closed connections
		if conn.state == connReady || conn.state == connChecking {
			conn.state = connDraining
			p.updateConnState(conn)
		}
	}
	r.dial.notBefore = p.now + time.Duration((0.5+p.random.Float64())*float64(p.settings.CheckEvery))
	p.setTimer(&r.timer, r.dial.notBefore)
	p.redispatchQueued()
}
