package upstream

import (
	"slices"

	"hillknot/balancer"
	"hillknot/internal/agingset"
	"hillknot/internal/core"
)

// pool holds the connections to one endpoint. Attempts wait only while connections are being dialed.
type pool struct {
	address string
	conns   []*connection
	dialing int // connections that are being dialed
	waiting []*core.Attempt
	closed  bool // CloseEndpoint was called; connections that are still being dialed are closed once they open

	// abandoned holds requests that were abandoned at the endpoint, by a cancellation or by closing their connection. An
	// endpoint reads its connections in no particular order. If the same request were sent again on another connection, the
	// endpoint could read it before the cancellation or the close, and would hold two copies at the same time. On the same
	// connection, a response that crosses the cancellation could be mistaken for the response to the new request. Therefore the
	// same request is not sent to the endpoint again.
	abandoned agingset.Set
}

// pick returns the connection with the fewest attempts in flight among those that can carry the attempt, or nil if there is
// none. Among idle connections it picks the most recently used one, because the endpoint may have just closed one that has
// been idle for a long time.
func (p *pool) pick(a *core.Attempt) *connection {
	var best *connection
	for _, c := range p.conns {
		if c.canCarry(a) && (best == nil || c.preferredTo(best)) {
			best = c
		}
	}
	return best
}

// anyMayGetDuplicateFor reports whether there is a connection on which a duplicate response could be mistaken for the
// response to an attempt.
func (p *pool) anyMayGetDuplicateFor(a *core.Attempt) bool {
	return slices.ContainsFunc(p.conns, func(c *connection) bool { return c.mayGetDuplicateFor(a) })
}

// usableCount returns how many connections carry new attempts.
func (p *pool) usableCount() int {
	count := 0
	for _, c := range p.conns {
		if !c.draining && !c.isSilent() {
			count++
		}
	}
	return count
}

// popWaiting removes and returns the first waiting attempt, or returns nil if there is none.
func (p *pool) popWaiting() *core.Attempt {
	if len(p.waiting) == 0 {
		return nil
	}
	return p.takeWaitingAt(0)
}

// popWaitingFor removes and returns the first waiting attempt that may be sent on a connection, or returns nil if there is
// none.
func (p *pool) popWaitingFor(c *connection) *core.Attempt {
	i := slices.IndexFunc(p.waiting, func(a *core.Attempt) bool { return !c.mayGetDuplicateFor(a) })
	if i < 0 {
		return nil
	}
	return p.takeWaitingAt(i)
}

func (p *pool) takeWaitingAt(i int) *core.Attempt {
	a := p.waiting[i]
	p.waiting = slices.Delete(p.waiting, i, i+1)
	return a
}

// removeWaiting removes an attempt from the waiting ones, if it is among them.
func (p *pool) removeWaiting(a *core.Attempt) {
	if i := slices.Index(p.waiting, a); i >= 0 {
		p.takeWaitingAt(i)
	}
}

// remove removes a connection from the pool, and reports whether it was in the pool.
func (p *pool) remove(c *connection) bool {
	i := slices.Index(p.conns, c)
	if i < 0 {
		return false
	}
	p.conns = slices.Delete(p.conns, i, i+1)
	return true
}

// reassign assigns connections to waiting attempts as long as there are more of them than connections being dialed. If there
// is no connection for an attempt and none is being dialed, the attempt completes with the status.
func (cl *Client) reassign(p *pool, status balancer.Status) {
	for len(p.waiting) > p.dialing {
		a := p.popWaiting()
		c := p.pick(a)
		switch {
		case c != nil:
			cl.write(c, a)
		case p.dialing > 0:
			p.waiting = append(p.waiting, a)
			return
		default:
			cl.complete(a, status)
		}
	}
}
