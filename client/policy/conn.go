package policy

import "time"

const (
	// maxCallsPerConn is the maximum number of calls on one connection over its lifetime, because their ids are
	// bounded.
	maxCallsPerConn = 1 << 31

	// writeTimeWeight is the weight of the latest write in the moving average of a connection's write time per byte.
	writeTimeWeight = 0.3
)

// Conn is one connection to a router, from its ActionDial to DialFailed or ConnectionClosed.
type Conn struct {
	// UserData belongs to the caller; the policy does not use it.
	UserData any

	router           *router
	state            connState
	timer            timer
	inFlight         int           // number of calls
	totalCalls       uint64        // calls sent over its lifetime
	writeTimePerByte float64       // moving average, in nanoseconds
	lastUsed         time.Duration // when a call was last added or removed
	silentSince      time.Duration // when bytes were last received, or when the connection began to owe a response
	idleBefore       time.Duration // how long the connection was idle before the calls that are in flight now
	health           healthCheck
}

// healthCheck holds the state of a connection's health checks.
type healthCheck struct {
	pendingSince time.Duration // when the unanswered check was sent; 0: no check is pending
	lastSent     time.Duration
}

// connState is the state of a connection.
type connState uint8

const (
	connDialing  connState = iota
	connChecking           // connected; waits for the response to its first health check
	connReady              // takes calls
	connDraining           // takes no new calls; closed once no call is in flight
	connClosed
)

// Router returns the index of the connection's router.
func (conn *Conn) Router() int { return conn.router.index }

func (conn *Conn) addCall(p *Policy) {
	conn.inFlight++
	if conn.inFlight == 1 { // the connection owed no response before: its silence begins now
		conn.silentSince, conn.idleBefore = p.now, p.now-conn.lastUsed
		p.setConnTimer(conn)
	}
	conn.totalCalls++
	conn.router.inFlight++
}

func (conn *Conn) removeCall(now time.Duration) {
	conn.inFlight--
	conn.router.inFlight--
	conn.lastUsed = now
}

// WriteCompleted reports how long a write of the given number of bytes took. The expected time of later writes is
// derived from it.
func (conn *Conn) WriteCompleted(bytes int, took time.Duration) {
	if bytes > 0 {
		conn.writeTimePerByte += writeTimeWeight * (float64(took)/float64(bytes) - conn.writeTimePerByte)
	}
}

func (conn *Conn) expectedWriteTime(bytes int) time.Duration {
	return time.Duration(conn.writeTimePerByte * float64(bytes))
}

// openConns opens a connection to each router that may be dialed and lacks capacity.
func (p *Policy) openConns() {
	for _, r := range p.routers {
		if p.now >= r.dial.notBefore && p.now >= r.outlier.ejectedUntil && p.lacksCapacity(r) {
			p.openConn(r)
		}
	}
}

// lacksCapacity reports whether all ready connections to a router are nearly full, no other connection is being set
// up, and one more is allowed.
func (p *Policy) lacksCapacity(r *router) bool {
	active := 0
	for _, conn := range r.conns {
		switch conn.state {
		case connDialing, connChecking:
			return false
		case connReady:
			if conn.inFlight < p.settings.OpenPerConn*3/4 {
				return false
			}
			active++
		}
	}
	return active < p.settings.ConnsPerRouter
}

func (p *Policy) openConn(r *router) {
	conn := &Conn{router: r, state: connDialing}
	conn.timer = newTimer(conn)
	r.conns = append(r.conns, conn)
	p.counts.Dials++
	p.setTimer(&conn.timer, p.now+p.settings.DialWait)
	p.emit(Action{Kind: ActionDial, Conn: conn, Router: r.index})
}

// Connected reports that a connection is up. Its first health check must be answered before the connection gets
// calls.
func (p *Policy) Connected(now time.Duration, conn *Conn) {
	p.now = now
	if conn.state != connDialing {
		return
	}
	conn.state, conn.silentSince = connChecking, now
	p.checkHealth(conn)
}

// DialFailed reports that a dial failed.
func (p *Policy) DialFailed(now time.Duration, conn *Conn) {
	p.now = now
	if conn.state != connDialing {
		return
	}
	p.removeConn(conn)
	p.backOffDial(conn.router)
	p.sendQueued()
}

// updateConnState starts to drain a connection that has carried maxCallsPerConn calls, closes a connection that has
// drained, and ensures that the timer of a ready connection is set.
func (p *Policy) updateConnState(conn *Conn) {
	switch {
	case conn.state == connDraining && conn.inFlight == 0:
		p.closeConn(conn)
	case conn.state == connReady && conn.totalCalls >= maxCallsPerConn:
		conn.state = connDraining
	case conn.state == connReady && !conn.timer.isSet():
		p.setConnTimer(conn)
	}
}

// closeConn closes a connection. The calls in flight on it are reported by ConnectionClosed.
func (p *Policy) closeConn(conn *Conn) {
	if conn.state == connClosed {
		return
	}
	p.removeConn(conn)
	p.emit(Action{Kind: ActionClose, Conn: conn, Router: conn.router.index})
}

func (p *Policy) removeConn(conn *Conn) {
	conn.state = connClosed
	p.stopTimer(&conn.timer)
	r := conn.router
	for i, other := range r.conns {
		if other == conn {
			r.conns = append(r.conns[:i], r.conns[i+1:]...)
			return
		}
	}
}

// setConnTimer sets the time at which a connection is examined next. If the due time has been postponed by then,
// timerDue sets the timer again: moving the timer with each call would cost more.
func (p *Policy) setConnTimer(conn *Conn) {
	at := conn.lastUsed + p.settings.Idle
	switch {
	case conn.state == connDialing:
		return
	case conn.health.pendingSince > 0:
		at = conn.health.pendingSince + p.settings.CheckWait
	case conn.inFlight > 0:
		at = p.nextHealthCheck(conn)
	}
	p.setTimer(&conn.timer, max(at, p.now+time.Millisecond))
}

func (conn *Conn) timerDue(p *Policy) {
	checking := conn.health.pendingSince > 0
	switch {
	case conn.state == connDialing:
		p.closeConn(conn)
		p.backOffDial(conn.router)
	case checking && p.now >= conn.health.pendingSince+p.settings.CheckWait:
		p.closeSilent(conn)
	case checking:
		p.setConnTimer(conn)
	case conn.inFlight == 0 && p.now >= conn.lastUsed+p.settings.Idle:
		p.closeConn(conn)
	case conn.inFlight > 0 && p.now >= p.nextHealthCheck(conn):
		p.checkHealth(conn)
	default:
		p.setConnTimer(conn)
	}
}
