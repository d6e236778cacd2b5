package policy

import (
	"math/rand/v2"
	"time"
)

// pickConn returns the connection for a call: that of the router with the lower expected cost out of two random
// routers with capacity (power of two choices). A retry goes to a router other than that of the previous attempt if
// there is one. It returns nil if no router has capacity.
func (p *Policy) pickConn(call *Call) *Conn {
	pair := pairSampler{random: p.random}
	var previous *Conn
	for _, r := range p.routers {
		if !r.usable(p.now) {
			continue
		}
		conn := r.leastLoaded(p.settings.OpenPerConn)
		if conn == nil {
			continue
		}
		if r.index == call.lastAttempt.router && call.attempts+call.moves > 0 {
			previous = conn
			continue
		}
		pair.offer(conn)
	}
	switch {
	case pair.first == nil:
		return previous
	case pair.second != nil && p.expectedCost(pair.second.router) < p.expectedCost(pair.first.router):
		return pair.second
	}
	return pair.first
}

// pairSampler draws two of the connections that it is offered by reservoir sampling: each pair is equally likely, and
// no list of the connections is needed.
type pairSampler struct {
	random        *rand.Rand
	first, second *Conn
	offered       int
}

func (s *pairSampler) offer(conn *Conn) {
	s.offered++
	switch s.offered {
	case 1:
		s.first = conn
	case 2:
		s.second = conn
	default:
		switch s.random.IntN(s.offered) {
		case 0:
			s.first = conn
		case 1:
			s.second = conn
		}
	}
}

// nextCapacity returns the time from which a call that finds no capacity now may find some, and the verdict of the
// call if that is too late. The time is now if calls in flight or a connection that is being set up may provide
// capacity at any moment.
func (p *Policy) nextCapacity() (at time.Duration, verdict Verdict) {
	if at, all := p.allRejectingUntil(); all {
		return at, Refused
	}
	at = -1
	for _, r := range p.routers {
		usableAt := max(r.outlier.ejectedUntil, r.rejectsUntil)
		if len(r.conns) == 0 {
			usableAt = max(usableAt, r.dial.notBefore)
		}
		if usableAt <= p.now {
			return p.now, Busy
		}
		if at < 0 || usableAt < at {
			at = usableAt
		}
	}
	return at, Unreachable
}

// allRejectingUntil reports whether all reachable routers have sent a Retry-After that has not expired, and when the
// first of them takes calls again. It returns false if no router is reachable.
func (p *Policy) allRejectingUntil() (at time.Duration, all bool) {
	for _, r := range p.routers {
		notReachable := len(r.conns) == 0 && p.now < r.dial.notBefore || p.now < r.outlier.ejectedUntil
		if notReachable {
			continue
		}
		if r.rejectsUntil <= p.now {
			return 0, false
		}
		if !all || r.rejectsUntil < at {
			at, all = r.rejectsUntil, true
		}
	}
	return at, all
}
