package netio

import (
	"slices"
	"sync/atomic"
	"time"

	"hillknot/internal/clock"
)

// This file holds eviction: when all slots are taken, a connection is closed to make room for a new one. Without
// eviction, peers that open thousands of connections and keep them would lock out all other peers.

// connSlots counts the connections of a server against their limit.
type connSlots struct {
	max          atomic.Int64
	open         atomic.Int64
	evicted      atomic.Int64 // open connections that were evicted and have not closed yet
	holdOffSince atomic.Int64 // reading of package clock when new connections began to wait for a slot; 0: none waits
}

// inUse returns the number of open connections that were not evicted.
func (s *connSlots) inUse() int64 { return s.open.Load() - s.evicted.Load() }

// isFull reports whether all slots are taken.
func (s *connSlots) isFull() bool { return s.inUse() >= s.max.Load() }

// hardLimit returns the maximum number of open connections, including those that were evicted and have not closed yet.
// Evicted connections close in goroutines of their own, so some slots above the limit are reserved for them.
func (s *connSlots) hardLimit() int64 {
	limit := s.max.Load()
	return limit + limit/8 + extraSlots
}

// extraSlots is the minimum number of slots above the limit.
const extraSlots = 4

// SetMaxConns changes how many connections may be open. If more are open, it closes silent and idle connections.
func (s *Server) SetMaxConns(limit int) {
	s.slots.max.Store(int64(limit))
	for s.slots.inUse() > int64(limit) && s.evict(rankIdle) == evictionDone {
	}
}

// acquireSlot counts a new connection, and evicts another one if all slots are taken. It reports whether a slot was
// available.
func (s *Server) acquireSlot() bool {
	limit, open := s.slots.max.Load(), s.slots.open.Add(1)
	if open > s.slots.hardLimit() || open-s.slots.evicted.Load() > limit && s.evict(rankReceiving) != evictionDone {
		s.slots.open.Add(-1)
		return false
	}
	return true
}

// releaseSlot stops counting a connection that has closed.
func (s *Server) releaseSlot(c *Conn) {
	s.slots.open.Add(-1)
	if c.evicted.Swap(true) {
		s.slots.evicted.Add(-1)
	}
}

// maxHoldOff is the longest time for which new connections wait in the queue of the socket for a slot. The poller spins
// during that time.
const maxHoldOff = 50 * time.Millisecond

// shouldHoldOff reports whether new connections should wait in the queue of the socket for a slot. It evicts a connection
// if all slots are taken.
func (s *Server) shouldHoldOff() bool {
	mustWait := s.mustWaitForSlot()
	now := clock.Now()
	if !mustWait {
		s.slots.holdOffSince.Store(0)
		return false
	}
	s.slots.holdOffSince.CompareAndSwap(0, int64(now))
	return now-time.Duration(s.slots.holdOffSince.Load()) < maxHoldOff
}

// mustWaitForSlot reports whether new connections have to wait because no slot is free but one is about to be: evicted
// connections are closing, or connections could be evicted except that their peers have just sent input, which the poller
// reads next.
func (s *Server) mustWaitForSlot() bool {
	open, evicted := s.slots.open.Load(), s.slots.evicted.Load()
	switch {
	case evicted > 0 && open >= s.slots.hardLimit():
		return true
	case open-evicted >= s.slots.max.Load():
		return s.evict(rankReceiving) == evictionDeferred
	}
	return false
}

// evictionRank orders connections without pending replies. Those of the lowest rank are evicted first.
type evictionRank uint8

const (
	rankEnding    evictionRank = iota // this side has closed, the peer has not yet
	rankSilent                        // the peer has sent no message since it connected some time ago
	rankIdle                          // the peer is between two messages
	rankStalled                       // the peer has stopped in the middle of a message, as a slow writer also may
	rankReceiving                     // the peer is in the middle of a message and still sending
)

// policyForPartial returns how eviction treats an incomplete message.
func (r evictionRank) policyForPartial() partialPolicy {
	if r >= rankStalled {
		return dropPartial
	}
	return keepPartial
}

// evictionRank returns the rank of a connection that has been idle for the given time. A peer that has been idle for longer
// than maxSilence counts as silent or stalled.
func (c *Conn) evictionRank(idle, maxSilence time.Duration) evictionRank {
	switch {
	case c.isEnding():
		return rankEnding
	case c.input.isPartial() && idle <= maxSilence:
		return rankReceiving
	case c.input.isPartial():
		return rankStalled
	case !c.input.consumedOnce.Load() && idle > maxSilence:
		return rankSilent
	}
	return rankIdle
}

// evictionResult is the result of an attempt to evict a connection.
type evictionResult uint8

const (
	evictionNone     evictionResult = iota // all connections have pending replies or a higher rank
	evictionDeferred                       // all candidates have just sent input or are still receiving a reply
	evictionDone                           // a slot is free or is about to be
)

// maxEvictionAttempts is the maximum number of connections that one call of evict tries.
const maxEvictionAttempts = 8

// evict closes one connection without pending replies: among those of the lowest rank, the one that has been idle for the
// longest time. It closes none of a rank above highest.
func (s *Server) evict(highest evictionRank) evictionResult {
	var busy []*Conn
	for len(busy) < maxEvictionAttempts {
		c, rank := s.evictionCandidate(highest, busy)
		switch {
		case c == nil && len(busy) > 0:
			return evictionDeferred
		case c == nil:
			return evictionNone
		case c.hasUnacknowledgedOutput() || rank != rankEnding && !c.markClosingIfIdle(rank.policyForPartial()):
			busy = append(busy, c) // the peer is still receiving a reply, or input has arrived that will be read next
			continue
		}
		if !c.evicted.Swap(true) { // otherwise the connection has closed, or a concurrent call evicted it
			s.slots.evicted.Add(1)
			c.recordClose(closeEvicted)
			c.Close()
		}
		return evictionDone
	}
	return evictionDeferred
}

// evictionCandidate returns the connection to evict next and its rank. It skips excluded connections and those of a rank
// above highest, and returns nil if no connection is left.
func (s *Server) evictionCandidate(highest evictionRank, excluded []*Conn) (candidate *Conn, lowest evictionRank) {
	var longestIdle time.Duration
	lowest = highest + 1
	now, maxSilence := clock.Now(), s.limits.SilentTimeout/8
	s.forEachConn(func(c *Conn) bool {
		idle, ok := c.idleFor(now)
		if !ok || c.evicted.Load() || slices.Contains(excluded, c) {
			return true
		}
		rank := c.evictionRank(idle, maxSilence)
		if rank < lowest || rank == lowest && idle > longestIdle {
			candidate, longestIdle, lowest = c, idle, rank
		}
		return true
	})
	return candidate, lowest
}
