package upstream

import (
	"errors"
	"slices"
	"syscall"
	"time"

	"hillknot/balancer"
	"hillknot/internal/config"
	"hillknot/internal/core"
	"hillknot/internal/logging"
	"hillknot/internal/netio"
)

// dialFunc opens a connection; see netio.Dial.
type dialFunc func(address string, timeout time.Duration, limits config.ConnLimits, budget *netio.Budget,
	newHandler func(*netio.Conn) netio.Handler) (*netio.Conn, error)

// dial opens a connection. Its goroutine ends within limits.ConnectTimeout, and hands the result to the core's
// goroutine.
func (cl *Client) dial(p *pool) {
	p.dialing++
	cl.connCount++
	go func() {
		c := &connection{client: cl, pool: p, inFlight: map[string]*core.Attempt{}}
		_, err := cl.dialer(p.address, cl.limits.ConnectTimeout, cl.limits.Upstream, cl.budget, c.attach)
		cl.core.Post(func() { cl.dialed(p, c, err) })
	}()
}

// dialed takes over the result of a dial.
func (cl *Client) dialed(p *pool, c *connection, err error) {
	p.dialing--
	switch {
	case err != nil:
		cl.connCount--
		cl.dialFailed(p, err)
	case p.closed:
		cl.connCount--
		c.transport.Close()
	case c.draining: // it broke before anything was written, and never joins the pool
		cl.connCount--
		if a := p.nextWaiting(); a != nil {
			cl.resend(a)
		}
		cl.reassign(p, balancer.ConnectFailed)
	default:
		p.conns = append(p.conns, c)
		c.becomeIdle()
		cl.reassign(p, balancer.ConnectFailed)
	}
}

// dialFailed ends the attempt that a dial was for, and finds connections for the others.
func (cl *Client) dialFailed(p *pool, err error) {
	log.Debug("endpoint unreachable", logging.KeyAddress, p.address, logging.KeyError, err)
	status := balancer.ConnectFailed
	if isLocalFailure(err) {
		status = balancer.Rejected
	}
	if a := p.nextWaiting(); a != nil {
		cl.complete(a, status)
	}
	cl.reassign(p, status)
}

// isLocalFailure returns whether a dial failed for lack of something on this machine, for which the endpoint is not to
// blame.
func isLocalFailure(err error) bool {
	return slices.ContainsFunc(localErrors, func(errno syscall.Errno) bool { return errors.Is(err, errno) })
}

// localErrors are errors of socket(2) and connect(2) that come of this machine alone: it lacks descriptors, memory,
// ports or a network, or its rules forbid the call. Otherwise each router would take all endpoints for bad at once.
var localErrors = []syscall.Errno{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.EADDRINUSE,
	syscall.EAGAIN, syscall.EINTR, syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EACCES, syscall.EPERM,
}
