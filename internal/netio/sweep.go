package netio

import (
	"time"

	"hillknot/internal/clock"
)

// This file holds the idle timeouts of accepted connections.

// sweepsPerTimeout is how often connections are checked within the shorter of their timeouts.
const sweepsPerTimeout = 8

// sweep closes connections that have timed out, until the server closes.
func (s *Server) sweep() {
	ticker := time.NewTicker(min(s.limits.IdleTimeout, s.limits.SilentTimeout) / sweepsPerTimeout)
	defer ticker.Stop()
	for {
		select {
		case <-s.closing:
			return
		case <-ticker.C:
			s.closeTimedOut()
		}
	}
}

// closeTimedOut closes the connections that have timed out.
func (s *Server) closeTimedOut() {
	now := clock.Now()
	maxIdle, maxPartial := s.limits.IdleTimeout, s.limits.IdleTimeout
	if s.IdleTimeouts != nil {
		maxIdle, maxPartial = s.IdleTimeouts()
	}
	s.forEachConn(func(c *Conn) bool {
		c.closeIfTimedOut(now, maxIdle, maxPartial)
		return true
	})
}

// closeIfTimedOut closes a connection without pending replies in three cases: its incoming message has been incomplete for
// longer than maxPartial, the connection has been idle for longer than maxIdle, or it has been idle for longer than
// limits.SilentTimeout and the handler has never consumed input. The last timeout is shorter: it applies to peers that
// connected and then vanished or never send anything.
func (c *Conn) closeIfTimedOut(now, maxIdle, maxPartial time.Duration) {
	idle, ok := c.idleFor(now)
	if began := time.Duration(c.input.partialSince.Load()); began > 0 {
		if ok && now-began > maxPartial {
			c.closeIfIdle(closeReadTimeout, dropPartial)
		}
		return
	}
	if ok && (idle > maxIdle || idle > c.limits.SilentTimeout && !c.input.consumedOnce.Load()) {
		c.closeIfIdle(closeIdleTimeout, keepPartial)
	}
}
