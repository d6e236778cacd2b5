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

// dialFunc opens a connection, as netio.Dial does.
type dialFunc func(address string, timeout time.Duration, limits config.ConnLimits, budget *netio.Budget,
	newHandler func(*netio.Conn) netio.Handler) (*netio.Conn, error)

// dial starts a goroutine that opens a connection for a pool. The goroutine ends within limits.ConnectTimeout, and posts
// the result to the core's goroutine.
func (cl *Client) dial(p *pool) {
	p.dialing++
	cl.connCount++
	go func() {
		c := &connection{client: cl, pool: p, inFlight: map[string]*core.Attempt{}}
		_, err := cl.dialer(p.address, cl.limits.ConnectTimeout, cl.limits.Upstream, cl.budget, c.attach)
		cl.core.Post(func() { cl.finishDial(p, c, err) })
	}()
}

// finishDial handles the result of a dial.
func (cl *Client) finishDial(p *pool, c *connection, err error) {
	p.dialing--
	switch {
	case err != nil:
		cl.connCount--
		cl.handleDialFailure(p, err)
	case p.closed:
		cl.connCount--
		c.transport.Close()
	case c.draining: // the connection broke before anything was written, so it is not added to the pool
		cl.connCount--
		if a := p.popWaiting(); a != nil {
			cl.resend(a)
		}
		cl.reassign(p, balancer.ConnectFailed)
	default:
		p.conns = append(p.conns, c)
		c.becomeIdle()
		cl.reassign(p, balancer.ConnectFailed)
	}
}

// handleDialFailure completes the first waiting attempt, for which the connection was dialed, and reassigns the others.
func (cl *Client) handleDialFailure(p *pool, err error) {
	log.Debug("endpoint unreachable", logging.KeyAddress, p.address, logging.KeyError, err)
	status := balancer.ConnectFailed
	if isLocalFailure(err) {
		status = balancer.Rejected
	}
	if a := p.popWaiting(); a != nil {
		cl.complete(a, status)
	}
	cl.reassign(p, status)
}

// isLocalFailure reports whether a dial failed for a reason on this machine, such as a lack of resources, that is not the
// endpoint's fault.
func isLocalFailure(err error) bool {
	return slices.ContainsFunc(localErrors, func(errno syscall.Errno) bool { return errors.Is(err, errno) })
}

// localErrors are the errors of socket(2) and connect(2) that are caused only by this machine: it lacks descriptors, memory,
// ports or a network, or its rules forbid the call. If they counted against the endpoint, a router would consider all
// endpoints unhealthy at the same time.
var localErrors = []syscall.Errno{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.EADDRINUSE,
	syscall.EAGAIN, syscall.EINTR, syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EACCES, syscall.EPERM,
}
