package upstream

import (
	"slices"

	"hillknot/balancer"
	"hillknot/internal/core"
)

// pool holds the connections to one endpoint. Attempts wait only while dials are under way.
type pool struct {
	address   string
	conns     []*connection
	dialing   int // connections that are being dialed
	waiting   []*core.Attempt
	closed    bool           // the endpoint is removed: what still comes up is closed
	abandoned recentRequests // requests that were cancelled here, or whose connection closed
}

// pick returns the connection with the fewest attempts in flight, of those that can carry this one; nil if there is
// none. Of idle ones it is the one that was used last, as the endpoint may have just closed one that has been idle for
// long.
func (p *pool) pick(a *core.Attempt) *connection {
	var best *connection
	for _, c := range p.conns {
		if c.canCarry(a) && (best == nil || c.preferredTo(best)) {
			best = c
		}
	}
	return best
}

// anyMayGetDuplicateFor returns whether there is a connection on which a duplicate response could be taken for that to
// an attempt.
func (p *pool) anyMayGetDuplicateFor(a *core.Attempt) bool {
	return slices.ContainsFunc(p.conns, func(c *connection) bool { return c.mayGetDuplicateFor(a) })
}

// usable is how many connections carry new attempts.
func (p *pool) usable() int {
	count := 0
	for _, c := range p.conns {
		if !c.draining && !c.silent() {
			count++
		}
	}
	return count
}

// nextWaiting takes the first attempt that waits; nil if there is none.
func (p *pool) nextWaiting() *core.Attempt {
	if len(p.waiting) == 0 {
		return nil
	}
	return p.takeWaiting(0)
}

// nextWaitingFor takes the first attempt that waits and may go out on a connection; nil if there is none.
func (p *pool) nextWaitingFor(c *connection) *core.Attempt {
	i := slices.IndexFunc(p.waiting, func(a *core.Attempt) bool { return !c.mayGetDuplicateFor(a) })
	if i < 0 {
		return nil
	}
	return p.takeWaiting(i)
}

func (p *pool) takeWaiting(i int) *core.Attempt {
	a := p.waiting[i]
	p.waiting = slices.Delete(p.waiting, i, i+1)
	return a
}

// removeWaiting forgets an attempt that may wait.
func (p *pool) removeWaiting(a *core.Attempt) {
	if i := slices.Index(p.waiting, a); i >= 0 {
		p.takeWaiting(i)
	}
}

// remove takes a connection out of the pool, and returns whether it was there.
func (p *pool) remove(c *connection) bool {
	i := slices.Index(p.conns, c)
	if i < 0 {
		return false
	}
	p.conns = slices.Delete(p.conns, i, i+1)
	return true
}

// reassign finds a connection for the attempts that wait beyond the dials that are under way. Where there is none, and
// none is to come, they end with the status.
func (cl *Client) reassign(p *pool, status balancer.Status) {
	for len(p.waiting) > p.dialing {
		a := p.nextWaiting()
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
