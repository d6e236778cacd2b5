package netio

import (
	"slices"
	"sync/atomic"
	"time"

	"hillknot/internal/clock"
)

// Eviction: which connection is closed for a new one where all places are taken. It guards against peers that
// connect by the thousand and hold on, which would keep all others out.

// places counts the connections of a server against their limit.
type places struct {
	max          atomic.Int64
	open         atomic.Int64
	evicted      atomic.Int64 // of these, those that were evicted and have yet to close
	crowdedSince atomic.Int64 // reading of package clock since when new connections wait for a place; 0: none waits
}

// inUse is how many connections are open without those that were evicted.
func (p *places) inUse() int64 { return p.open.Load() - p.evicted.Load() }

// hardLimit is how many connections there may be with those that were evicted and have yet to close. They close in
// goroutines of their own, for which some places more are kept.
func (p *places) hardLimit() int64 {
	most := p.max.Load()
	return most + most/8 + extraPlaces
}

const extraPlaces = 4

// SetMaxConns changes how many connections may be open. Of those that are over it, the silent and the idle ones
// close.
func (s *Server) SetMaxConns(n int) {
	s.places.max.Store(int64(n))
	for s.places.inUse() > int64(n) && s.evict(rankIdle) == evictionDone {
	}
}

// takePlace counts a new connection, evicting another where all places are taken. It says whether there was a
// place.
func (s *Server) takePlace() bool {
	most, open := s.places.max.Load(), s.places.open.Add(1)
	if open > s.places.hardLimit() || open-s.places.evicted.Load() > most && s.evict(rankReceiving) != evictionDone {
		s.places.open.Add(-1)
		return false
	}
	return true
}

// freePlace counts a connection that has closed.
func (s *Server) freePlace(c *Conn) {
	s.places.open.Add(-1)
	if c.evicted.Swap(true) {
		s.places.evicted.Add(-1)
	}
}

// maxHoldOff bounds how long new connections wait in the queue of the socket for places: the poller turns all that
// time.
const maxHoldOff = 50 * time.Millisecond

// holdOffNew says whether new connections are to wait in the queue of the socket for a place. It evicts a
// connection where all places are taken.
func (s *Server) holdOffNew() bool {
	waits := s.mustWaitForPlace()
	now := clock.Now()
	if !waits {
		s.places.crowdedSince.Store(0)
		return false
	}
	s.places.crowdedSince.CompareAndSwap(0, int64(now))
	return now-time.Duration(s.places.crowdedSince.Load()) < maxHoldOff
}

// mustWaitForPlace says whether a place is about to become free: connections are about to close, or could be
// evicted but for the input that they have just sent, which the poller reads next.
func (s *Server) mustWaitForPlace() bool {
	open, evicted := s.places.open.Load(), s.places.evicted.Load()
	switch {
	case evicted > 0 && open >= s.places.hardLimit():
		return true
	case open-evicted >= s.places.max.Load():
		return s.evict(rankReceiving) == evictionLater
	}
	return false
}

// evictionRank orders connections without pending replies: those of a lower rank are evicted first.
type evictionRank uint8

const (
	rankEnding    evictionRank = iota // our side has ended; the peer has yet to
	rankSilent                        // the peer has sent nothing for some time since it connected
	rankIdle                          // it is between two messages
	rankStalled                       // it has stopped in the middle of a message, as a slow writer does too
	rankReceiving                     // it is in the middle of a message, and still sending
)

// partial says what eviction does about a message that is not complete.
func (r evictionRank) partial() partialMessage {
	if r >= rankStalled {
		return dropPartial
	}
	return keepPartial
}

// evictionRank ranks a connection on which nothing has moved for a time; pause is how long peers may be silent.
func (c *Conn) evictionRank(idle, pause time.Duration) evictionRank {
	switch {
	case c.isEnding():
		return rankEnding
	case c.input.isPartial() && idle <= pause:
		return rankReceiving
	case c.input.isPartial():
		return rankStalled
	case !c.input.consumedOnce.Load() && idle > pause:
		return rankSilent
	}
	return rankIdle
}

// evictionResult is what came of an attempt to evict a connection.
type evictionResult uint8

const (
	evictionNone  evictionResult = iota // all connections have pending replies, or are of a higher rank
	evictionLater                       // those that could be evicted have just sent something, or take an answer
	evictionDone                        // there is a place, or is about to be
)

// maxEvictionAttempts is how many connections are asked to close, at most.
const maxEvictionAttempts = 8

// evict closes a connection without pending replies: of the lowest rank, up to highest, the one on which nothing
// has moved for longest.
func (s *Server) evict(highest evictionRank) evictionResult {
	var busy []*Conn
	for len(busy) < maxEvictionAttempts {
		c, rank := s.evictionCandidate(highest, busy)
		switch {
		case c == nil && len(busy) > 0:
			return evictionLater
		case c == nil:
			return evictionNone
		case c.hasUnacknowledgedOutput() || rank != rankEnding && !c.shutIfIdle(rank.partial()):
			busy = append(busy, c) // the peer takes an answer, or something has come, and is about to be read
			continue
		}
		if !c.evicted.Swap(true) { // else it has closed by itself, or another call was quicker
			s.places.evicted.Add(1)
			c.traceClose(closeEvicted)
			c.Close()
		}
		return evictionDone
	}
	return evictionLater
}

// evictionCandidate returns the connection to evict first, of those up to the highest rank that are not excluded,
// and its rank.
func (s *Server) evictionCandidate(highest evictionRank, excluded []*Conn) (candidate *Conn, lowest evictionRank) {
	var longest time.Duration
	lowest = highest + 1
	now, pause := clock.Now(), s.limits.SilentTimeout/8
	s.forEachConn(func(c *Conn) bool {
		idle, ok := c.idleFor(now)
		if !ok || c.evicted.Load() || slices.Contains(excluded, c) {
			return true
		}
		rank := c.evictionRank(idle, pause)
		if rank < lowest || rank == lowest && idle > longest {
			candidate, longest, lowest = c, idle, rank
		}
		return true
	})
	return candidate, lowest
}
