// Package upstream carries attempts to endpoints (page caches): one request and one response for each attempt, over a
// small pool of connections to each endpoint. The protocol is the operators': the request ASK, its cancellation QUIT,
// and a response of one line and a body.
package upstream

import (
	"slices"
	"time"

	"hillknot/balancer"
	"hillknot/internal/config"
	"hillknot/internal/core"
	"hillknot/internal/logging"
	"hillknot/internal/netio"
)

var log = logging.For("upstream")

// Core is the part of core.Core that the client reports to. The client calls Post from any goroutine, and all other
// methods on the core's.
type Core interface {
	Post(f func())
	Permit(a *core.Attempt) (balancer.Status, balancer.Detail)
	AcquireSendPermission(a *core.Attempt) bool
	CompleteAttempt(a *core.Attempt, result core.AttemptResult)
	AttemptWritten(a *core.Attempt)
}

// Client implements core.Upstream. All its methods belong to the core's goroutine.
type Client struct {
	core      Core
	limits    config.Limits
	budget    *netio.Budget
	now       func() time.Duration
	dialer    dialFunc
	pools     map[*core.Endpoint]*pool
	inFlight  map[*core.Attempt]*connection // attempts that were written and have no response yet
	connCount int                           // connections that are open or being dialed, to all endpoints
}

// New returns a client. The budget bounds the bytes of responses that are incomplete; now reads the core's clock.
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

// Send writes the attempt, at once or when a connection is open.
func (cl *Client) Send(a *core.Attempt) {
	p := cl.pool(a.Endpoint)
	cl.closeExpired(p)
	if p.abandoned.has(a.Request.Txn) { // see recentRequests: the attempt goes to another endpoint
		cl.complete(a, balancer.Rejected)
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
	case p.dialing > 0: // it shares the connections that come up
		p.waiting = append(p.waiting, a)
	default: // this router has no more connections, which is not the endpoint's fault
		cl.complete(a, balancer.Rejected)
	}
}

// pool returns the pool of an endpoint, which it opens if need be.
func (cl *Client) pool(e *core.Endpoint) *pool {
	p := cl.pools[e]
	if p == nil {
		p = &pool{address: e.Addr}
		cl.pools[e] = p
	}
	return p
}

// complete ends an attempt that has no response.
func (cl *Client) complete(a *core.Attempt, status balancer.Status) {
	cl.core.CompleteAttempt(a, core.AttemptResult{Status: status})
}

// ensureCapacity returns whether a connection for an attempt may be dialed. Where there is none that the attempt could
// go out on (picked is nil), the one that has been idle for longest, to any endpoint, is closed for it if need be.
func (cl *Client) ensureCapacity(p *pool, a *core.Attempt, picked *connection) bool {
	if p.usable()+p.dialing >= cl.limits.ConnsPerEndpoint && (picked != nil || !p.anyMayGetDuplicateFor(a)) {
		return false
	}
	if picked == nil && cl.connCount >= cl.limits.UpstreamConns {
		cl.closeLongestIdle()
	}
	return cl.connCount < cl.limits.UpstreamConns
}

// closeLongestIdle closes the connection that has been idle for longest, to any endpoint.
func (cl *Client) closeLongestIdle() {
	var longest *connection
	for _, p := range cl.pools {
		for _, c := range p.conns {
			if len(c.inFlight) == 0 && (longest == nil || c.idleSince < longest.idleSince) {
				longest = c
			}
		}
	}
	if longest != nil {
		longest.close()
	}
}

// closeExpired closes connections that were idle for long, before the endpoint does.
func (cl *Client) closeExpired(p *pool) {
	for _, c := range slices.Clone(p.conns) {
		idle := cl.now() - c.idleSince
		if len(c.inFlight) == 0 && (idle > cl.limits.UpstreamIdleTimeout || c.draining && idle > cl.limits.UpstreamSilence) {
			c.close()
		}
	}
}

// HasUnreadInput returns whether a connection on which a response is awaited has received bytes that are not handed on
// yet.
func (cl *Client) HasUnreadInput() bool {
	for _, c := range cl.inFlight {
		if c.transport.HasUnreadInput() {
			return true
		}
	}
	return false
}

// SetMaxConnections changes how many connections there may be to all endpoints, and closes idle ones over that.
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

// write sends the request of an attempt, unless it may no longer be sent by now.
func (cl *Client) write(c *connection, a *core.Attempt) {
	if status, detail := cl.core.Permit(a); status != balancer.OK {
		cl.core.CompleteAttempt(a, core.AttemptResult{Status: status, Detail: detail})
		return
	}
	if !cl.core.AcquireSendPermission(a) { // another router must know of it first; the core sends it again then
		return
	}
	err := c.transport.WriteSync(appendRequest(nil, a))
	if netio.IsIncompleteWrite(err) { // the endpoint has not got it as a whole, so it can't run
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

// maxBrokenConns is how many connections may break under an attempt that was not written as a whole.
const maxBrokenConns = 3

// resend sends an attempt whose connection broke before it was written as a whole. Connections that were idle, or have
// just come up, are reset now and then; an endpoint that does so each time is not there.
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

// Cancel gives an attempt up. Its connection stays open: a close would give up all other attempts on it, and many at
// once would have to be opened again in the moment of a fault.
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

// CloseEndpoint closes the connections to an endpoint that is removed, or at whose address another process runs now.
// Those that await responses are closed after the last one.
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
	for a := p.nextWaiting(); a != nil; a = p.nextWaiting() {
		cl.complete(a, balancer.ConnectFailed)
	}
}
