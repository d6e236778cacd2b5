// Package upstream sends attempts to endpoints (page caches), with one request and one response for each attempt, over a
// small pool of connections to each endpoint. The protocol is defined by the operators: the request ASK, its cancellation
// QUIT, and a response that consists of a line and a body.
package upstream

import (
	"errors"
	"slices"
	"time"

	"hillknot/balancer"
	"hillknot/internal/config"
	"hillknot/internal/core"
	"hillknot/internal/logging"
	"hillknot/internal/netio"
)

var log = logging.For("upstream")

// Core is the part of core.Core that the client uses. The client calls Post from any goroutine, and all other methods from
// the core's goroutine.
type Core interface {
	Post(f func())
	Permit(a *core.Attempt) (balancer.Status, balancer.Detail)
	PermitIsCurrent() bool
	BeginWrite(a *core.Attempt)
	AcquireSendPermission(a *core.Attempt) bool
	CompleteAttempt(a *core.Attempt, result core.AttemptResult)
	AttemptWritten(a *core.Attempt)
}

// Client implements core.Upstream. Its methods must be called from the core's goroutine.
type Client struct {
	core      Core
	limits    config.Limits
	budget    *netio.Budget
	now       func() time.Duration
	dialer    dialFunc
	pools     map[*core.Endpoint]*pool
	inFlight  map[*core.Attempt]*connection // attempts that were written and have no response yet
	connCount int                           // connections to all endpoints that are open or being dialed
}

// New returns a client. The budget bounds the bytes of responses that are incomplete or wait for the core, and now reads the core's clock.
func New(c Core, limits config.Limits, budget *netio.Budget, now func() time.Duration) *Client {
	return &Client{
		core:     c,
		limits:   limits,
		budget:   budget,
		now:      now,
		dialer:   netio.Dial,
		pools:    map[*core.Endpoint]*pool{},
		inFlight: map[*core.Attempt]*connection{},
	}
}

// Send writes the attempt immediately, or once a connection is open.
func (cl *Client) Send(a *core.Attempt) {
	p := cl.pool(a.Endpoint)
	cl.closeExpired(p)
	if p.abandoned.Contains(a.Request.Txn) { // the core must choose another endpoint
		cl.complete(a, balancer.Abandoned)
		return
	}
	c := p.pick(a)
	mayDial := cl.ensureCapacity(p, a, c)
	switch {
	case mayDial && (c == nil || len(c.inFlight) > 0):
		p.waiting = append(p.waiting, a)
		cl.dial(p)
	case c != nil:
		cl.write(c, a)
	case p.dialing > 0: // the attempt shares the connections that are being dialed
		p.waiting = append(p.waiting, a)
	default: // the limit of this router is reached, which is not the endpoint's fault
		cl.complete(a, balancer.Rejected)
	}
}

// pool returns the pool of an endpoint, and creates it if there is none.
func (cl *Client) pool(e *core.Endpoint) *pool {
	p := cl.pools[e]
	if p == nil {
		p = &pool{address: e.Addr}
		cl.pools[e] = p
	}
	return p
}

// complete ends an attempt that has no response, and reports its status to the core.
func (cl *Client) complete(a *core.Attempt, status balancer.Status) {
	cl.core.CompleteAttempt(a, core.AttemptResult{Status: status})
}

// ensureCapacity reports whether a connection may be dialed for an attempt. picked is the open connection that can carry the
// attempt, or nil. If it is nil and the limit of connections is reached, ensureCapacity closes the connection, to any
// endpoint, that has been idle for the longest time.
func (cl *Client) ensureCapacity(p *pool, a *core.Attempt, picked *connection) bool {
	if p.usableCount()+p.dialing >= cl.limits.ConnsPerEndpoint && (picked != nil || !p.anyMayGetDuplicateFor(a)) {
		return false
	}
	if picked == nil && cl.connCount >= cl.limits.UpstreamConns {
		cl.closeLongestIdle()
	}
	return cl.connCount < cl.limits.UpstreamConns
}

// closeLongestIdle closes the connection, to any endpoint, that has been idle for the longest time.
func (cl *Client) closeLongestIdle() {
	var longestIdle *connection
	for _, p := range cl.pools {
		for _, c := range p.conns {
			if len(c.inFlight) == 0 && (longestIdle == nil || c.idleSince < longestIdle.idleSince) {
				longestIdle = c
			}
		}
	}
	if longestIdle != nil {
		longestIdle.close()
	}
}

// closeExpired closes connections of a pool that have been idle for a long time, before the endpoint closes them.
func (cl *Client) closeExpired(p *pool) {
	for _, c := range slices.Clone(p.conns) {
		idle := cl.now() - c.idleSince
		if len(c.inFlight) == 0 && (idle > cl.limits.UpstreamIdleTimeout || c.draining && idle > cl.limits.UpstreamSilence) {
			c.close()
		}
	}
}

// HasPendingInput reports whether any connection that awaits a response has received bytes that were not consumed yet.
func (cl *Client) HasPendingInput() bool {
	for _, c := range cl.inFlight {
		if c.transport.HasPendingInput() {
			return true
		}
	}
	return false
}

// SetMaxConnections changes the limit of connections to all endpoints together, and closes idle connections above it.
func (cl *Client) SetMaxConnections(limit int) {
	cl.limits.UpstreamConns = limit
	for _, p := range cl.pools {
		for _, c := range slices.Clone(p.conns) {
			if cl.connCount > limit && len(c.inFlight) == 0 {
				c.close()
			}
		}
	}
}

// write sends the request of an attempt on a connection, unless the core no longer permits it.
func (cl *Client) write(c *connection, a *core.Attempt) {
	err := netio.ErrOutdated
	for errors.Is(err, netio.ErrOutdated) {
		if status, detail := cl.core.Permit(a); status != balancer.OK {
			cl.core.CompleteAttempt(a, core.AttemptResult{Status: status, Detail: detail})
			return
		}
		if !cl.core.AcquireSendPermission(a) { // another router must know of the attempt first; the core sends it again then
			return
		}
		cl.core.BeginWrite(a)
		c.awaited.add(a.Request.Txn) // the response may be read before the write returns
		if err = c.transport.WriteSyncIf(cl.core.PermitIsCurrent, appendRequest(nil, a)); err != nil {
			c.awaited.remove(a.Request.Txn)
		}
	}
	if netio.IsIncompleteWrite(err) { // the endpoint did not get the whole request, so the request can't run
		c.fail()
		cl.resend(a)
		return
	}
	c.add(a)
	if err != nil {
		c.fail()
		return
	}
	cl.core.AttemptWritten(a)
}

// maxBrokenConns is how many connections may break while one attempt is being written, before the attempt fails.
const maxBrokenConns = 3

// resend repeats an attempt whose connection broke before the request was written completely. Idle and new connections are
// occasionally reset, but an endpoint whose connections always break counts as unreachable.
func (cl *Client) resend(a *core.Attempt) {
	status, detail := cl.core.Permit(a)
	a.BrokenConns++
	if a.BrokenConns > maxBrokenConns && status == balancer.OK {
		status = balancer.ConnectFailed
	}
	if status != balancer.OK {
		cl.core.CompleteAttempt(a, core.AttemptResult{Status: status, Detail: detail})
		return
	}
	cl.Send(a)
}

// Cancel cancels an attempt. Its connection stays open, because a close would end all other attempts on it, and during a
// failure many connections would have to be dialed again at the same time.
func (cl *Client) Cancel(a *core.Attempt) {
	c := cl.inFlight[a]
	if c == nil {
		if p := cl.pools[a.Endpoint]; p != nil {
			p.removeWaiting(a)
		}
		return
	}
	c.cancel(a)
}

// CloseEndpoint closes the connections to an endpoint that was removed or whose address now belongs to another process.
// Connections that await responses are closed after the last response.
func (cl *Client) CloseEndpoint(e *core.Endpoint) {
	p := cl.pools[e]
	if p == nil {
		return
	}
	p.closed = true
	delete(cl.pools, e)
	for _, c := range slices.Clone(p.conns) {
		c.draining = true
		if len(c.inFlight) == 0 {
			c.close()
		}
	}
	for a := p.popWaiting(); a != nil; a = p.popWaiting() {
		cl.complete(a, balancer.ConnectFailed)
	}
}
