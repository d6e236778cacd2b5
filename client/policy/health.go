package policy

import "time"

// checkHealth asks a router whether it takes clients.
func (p *Policy) checkHealth(conn *Conn) {
	conn.health = healthCheck{pendingSince: p.now, lastSent: p.now}
	p.emit(Action{Kind: ActionCheckHealth, Conn: conn, Router: conn.router.index})
	p.setConnTimer(conn)
}

// nextHealthCheck is when a connection in use is checked: at even intervals, and sooner where it falls silent.
func (p *Policy) nextHealthCheck(conn *Conn) time.Duration {
	return min(conn.silentSince+p.settings.Quiet, conn.health.lastSent+p.settings.CheckEvery)
}

// HealthReceived reports the response to a health check: whether the router takes clients.
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

// BytesReceived reports that bytes came in. Where a connection is in use they count as the response to a health
// check: the router is there.
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

// drainRouter leaves a router that takes no clients: what is in flight goes on, and the router is dialed again later.
func (p *Policy) drainRouter(r *router) {
	p.counts.Drains++
	for _, conn := range append([]*Conn(nil), r.conns...) { // a copy: reviewConn removes those that it closes
		if conn.state == connReady || conn.state == connChecking {
			conn.state = connDraining
			p.updateConnState(conn)
		}
	}
	r.dial.notBefore = p.now + time.Duration((0.5+p.random.Float64())*float64(p.settings.CheckEvery))
	p.setTimer(&r.timer, r.dial.notBefore)
	p.redispatchQueued()
}
