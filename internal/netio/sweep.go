package netio

import (
	"time"

	"hillknot/internal/clock"
)

// Idle time-outs of connections that were accepted.

// sweepsPerTimeout is how often connections are looked at within the shorter of their time-outs.
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
	idleMost, partialMost := s.limits.IdleTimeout, s.limits.IdleTimeout
	if s.IdleTimeouts != nil {
		idleMost, partialMost = s.IdleTimeouts()
	}
	s.forEachConn(func(c *Conn) bool {
		c.closeIfTimedOut(now, idleMost, partialMost)
		return true
	})
}

// closeIfTimedOut closes a connection without pending replies if its message is incomplete for too long, if nothing
// has moved for the idle time-out, or if the peer has said nothing for the shorter time that a new one has: a peer
// that vanished says nothing, and others connect and stay for good.
func (c *Conn) closeIfTimedOut(now, idleMost, partialMost time.Duration) {
	idle, ok := c.idleFor(now)
	if began := time.Duration(c.input.partialSince.Load()); began > 0 {
		if ok && now-began > partialMost {
			c.retire(closeReadTimeout, dropPartial)
		}
		return
	}
	if ok && (idle > idleMost || idle > c.limits.SilentTimeout && !c.input.consumedOnce.Load()) {
		c.retire(closeIdleTimeout, keepPartial)
	}
}
