// Package upstream carries attempts to page caches: ASK and QUIT out, one answer for each attempt in, over
// a small pool of connections for each cache.
package upstream

import (
	"errors"
	"log/slog"
	"slices"
	"syscall"
	"time"

	"hillknot/balancer"
	"hillknot/internal/config"
	"hillknot/internal/core"
	"hillknot/internal/netio"
)

// Core is what the client reports to. Its methods but Post are called on the core's goroutine.
type Core interface {
	Post(f func())
	Permit(a *core.Attempt) (balancer.Status, balancer.Detail)
	AcquireLease(a *core.Attempt) bool
	CompleteAttempt(a *core.Attempt, e core.AttemptResult)
	AttemptWritten(a *core.Attempt)
}

// Client implements core.Upstream. All its methods belong to the core's goroutine.
type Client struct {
	core   Core
	lim    config.Limits
	budget *netio.Budget
	clock  func() time.Duration
	pools  map[*core.Endpoint]*pool
	at     map[*core.Attempt]*conn // attempts that were written
	conns  int                     // connections that are up or being dialed
	dialer dialFunc
}

// dialFunc opens a connection; see netio.Dial.
type dialFunc func(addr string, timeout time.Duration, lim config.Conn, budget *netio.Budget, h func(*netio.Conn) netio.Handler) (*netio.Conn, error)

// New returns a client. The budget bounds the answers that are coming in.
func New(c Core, lim config.Limits, budget *netio.Budget, clock func() time.Duration) *Client {
	return &Client{core: c, lim: lim, budget: budget, clock: clock, pools: map[*core.Endpoint]*pool{}, at: map[*core.Attempt]*conn{}, dialer: netio.Dial}
}

// pool holds the connections to one cache. Attempts wait only while dials are under way.
type pool struct {
	addr    string
	conns   []*conn
	dialing int
	waiting []*core.Attempt
	dead    bool
	past    recentRequests // requests given up here lately
}

// conn is a connection. It carries one attempt at a time as long as the pool may grow, so that a long answer
// keeps no other waiting.
type conn struct {
	cl    *Client
	p     *pool
	nc    *netio.Conn
	open  map[string]*core.Attempt
	quit  bool // takes nothing new
	idled time.Duration
	since time.Duration  // it owes answers since then, or since the latest that came
	said  recentRequests // requests that were answered here lately, and not served
}

// silent tells whether answers are owed and none has come for long, as on a connection that was cut off without
// a sign: others to the same cache may be well.
func (c *conn) silent() bool {
	return len(c.open) > 0 && c.cl.clock()-c.since > c.cl.lim.UpstreamSilent
}

// recentRequests remembers requests for one to two times the longest of all, or for less where there are very many.
//
// One holds what was given up at a cache, by a QUIT or by closing its connection. A cache reads its
// connections in no set order: the same request asked for again on another could reach it before it has read
// the QUIT or the close, and it would hold two copies at once. On the same connection an answer could cross the
// QUIT and be taken for the new one. So the same is not asked for again there.
//
// Another holds what was answered on a connection and not served. An answer may come twice, and the second one late: it
// would be taken for the end of the next attempt, which may be running.
type recentRequests struct {
	txns   [2]map[string]bool // young and old
	turned time.Duration
}

func (p *recentRequests) add(txn string, now, longest time.Duration) {
	if p.txns[0] == nil || now-p.turned > longest || len(p.txns[0]) >= pastMost {
		p.txns[0], p.txns[1], p.turned = map[string]bool{}, p.txns[0], now
	}
	p.txns[0][txn] = true
}

// pastMost bounds each of the two: who asks and gives up as fast as it can must not fill the memory.
const pastMost = 1 << 12

func (p *recentRequests) has(txn string) bool { return p.txns[0][txn] || p.txns[1][txn] }

// Send writes the attempt, at once or when a connection is up.
func (cl *Client) Send(a *core.Attempt) {
	p := cl.pools[a.Endpoint]
	if p == nil {
		p = &pool{addr: a.Endpoint.Addr}
		cl.pools[a.Endpoint] = p
	}
	cl.closeIdle(p)
	if p.past.has(a.Request.Txn) { // turned away unseen: it goes to another cache
		cl.core.CompleteAttempt(a, core.AttemptResult{Status: balancer.Rejected})
		return
	}
	c := p.pick(a)
	room := p.live()+p.dialing < cl.lim.ConnsPerCache || c == nil && p.barred(a)
	if room && c == nil && cl.conns >= cl.lim.CacheConns {
		cl.closeOldestIdle()
	}
	room = room && cl.conns < cl.lim.CacheConns
	switch {
	case room && (c == nil || len(c.open) > 0):
		p.waiting = append(p.waiting, a)
		cl.dial(p)
	case c != nil:
		cl.write(c, a)
	case p.dialing > 0: // it shares what comes up
		p.waiting = append(p.waiting, a)
	default: // this router has no more connections, which is not the cache's fault
		cl.core.CompleteAttempt(a, core.AttemptResult{Status: balancer.Rejected})
	}
}

// closeOldestIdle closes the connection that has been idle for longest, to any cache.
func (cl *Client) closeOldestIdle() {
	var oldest *conn
	for _, p := range cl.pools {
		for _, c := range p.conns {
			if len(c.open) == 0 && (oldest == nil || c.idled < oldest.idled) {
				oldest = c
			}
		}
	}
	if oldest != nil {
		oldest.retire()
	}
}

// pick returns the connection with the fewest attempts on it, of those that can take this one; of idle ones the one that was
// used last, as a cache may have just closed one that has been idle for long.
func (p *pool) pick(a *core.Attempt) (best *conn) {
	for _, c := range p.conns {
		if !c.quit && !c.silent() && c.open[a.Request.Txn] == nil && !c.barred(a) &&
			(best == nil || len(c.open) < len(best.open) || len(c.open) == len(best.open) && c.idled > best.idled) {
			best = c
		}
	}
	return best
}

// barred tells whether an attempt goes out on any connection but this one: what is answered here twice could prove that it
// never ran, and it would run again.
func (c *conn) barred(a *core.Attempt) bool { return a.NonIdempotent && c.said.has(a.Request.Txn) }

// barred tells whether there is a connection that would do, but for that.
func (p *pool) barred(a *core.Attempt) bool {
	return slices.ContainsFunc(p.conns, func(c *conn) bool { return c.barred(a) })
}

// live is how many connections are of use.
func (p *pool) live() (n int) {
	for _, c := range p.conns {
		if !c.quit && !c.silent() {
			n++
		}
	}
	return n
}

// closeIdle closes connections that were idle for long, before the cache does.
func (cl *Client) closeIdle(p *pool) {
	for _, c := range slices.Clone(p.conns) {
		idle := cl.clock() - c.idled
		if len(c.open) == 0 && (idle > cl.lim.UpstreamIdle || c.quit && idle > cl.lim.UpstreamSilent) {
			c.retire()
		}
	}
}

// HasBacklog tells whether a connection on which answers are owed has brought something that is not handed on yet. It belongs to
// the core's goroutine.
func (cl *Client) HasBacklog() bool {
	for _, c := range cl.at {
		if c.nc.HasUnreadInput() {
			return true
		}
	}
	return false
}

// SetMaxConnections changes how many connections there may be, and closes idle ones over that.
func (cl *Client) SetMaxConnections(conns int) {
	cl.lim.CacheConns = conns
	for _, p := range cl.pools {
		for _, c := range slices.Clone(p.conns) {
			if cl.conns > conns && len(c.open) == 0 {
				c.retire()
			}
		}
	}
}

func (cl *Client) dial(p *pool) {
	p.dialing++
	cl.conns++
	go func() {
		var c *conn
		_, err := cl.dialer(p.addr, cl.lim.Connect, cl.lim.Upstream, cl.budget, func(nc *netio.Conn) netio.Handler {
			c = &conn{cl: cl, p: p, nc: nc, open: map[string]*core.Attempt{}}
			return c
		})
		cl.core.Post(func() { cl.dialed(p, c, err) })
	}()
}

// dialed takes a new connection in, or what came of it.
func (cl *Client) dialed(p *pool, c *conn, err error) {
	p.dialing--
	switch {
	case err != nil:
		cl.conns--
		slog.Debug("page cache not reached", "addr", p.addr, "err", err)
		failed := balancer.ConnectFailed
		if exhausted(err) { // this router's fault, not the cache's
			failed = balancer.Rejected
		}
		if a := p.next(nil); a != nil {
			cl.core.CompleteAttempt(a, core.AttemptResult{Status: failed})
		}
		cl.share(p, failed)
	case p.dead:
		cl.conns--
		c.nc.Close()
	case c.quit: // it broke before anything was written, and is to take up no place
		cl.conns--
		if a := p.next(nil); a != nil {
			cl.again(a)
		}
		cl.share(p, balancer.ConnectFailed)
	default:
		p.conns = append(p.conns, c)
		cl.free(c)
		cl.share(p, balancer.ConnectFailed)
	}
}

// share finds a place for those who wait beyond the dials that are under way: on what is up. Where nothing is, and nothing is
// to come, they have failed.
func (cl *Client) share(p *pool, failed balancer.Status) {
	for len(p.waiting) > p.dialing {
		a := p.next(nil)
		if c := p.pick(a); c != nil {
			cl.write(c, a)
		} else if p.dialing > 0 {
			p.waiting = append(p.waiting, a)
			return
		} else {
			cl.core.CompleteAttempt(a, core.AttemptResult{Status: failed})
		}
	}
}

// exhausted tells whether a dial failed for want of something that this process has no more of.
func exhausted(err error) bool {
	return slices.ContainsFunc(ownErrors, func(e syscall.Errno) bool { return errors.Is(err, e) })
}

// ownErrors are errors of socket(2) and connect(2) that come of this machine alone: it lacks descriptors, memory, ports or a
// network, or its rules forbid the call. Each router would else take all page caches to be bad at once.
var ownErrors = []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.EADDRINUSE,
	syscall.EAGAIN, syscall.EINTR, syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EACCES, syscall.EPERM}

// next takes the first attempt that waits, for a connection, or for none.
func (p *pool) next(c *conn) *core.Attempt {
	i := slices.IndexFunc(p.waiting, func(a *core.Attempt) bool { return c == nil || !c.barred(a) })
	if i < 0 {
		return nil
	}
	a := p.waiting[i]
	p.waiting = slices.Delete(p.waiting, i, i+1)
	return a
}

// free gives a connection with nothing on it to who waits.
func (cl *Client) free(c *conn) {
	c.idled = cl.clock()
	for !c.quit && len(c.open) == 0 {
		a := c.p.next(c)
		if a == nil {
			return
		}
		cl.write(c, a)
	}
}

// write sends the request, unless it may no longer be sent by now.
func (cl *Client) write(c *conn, a *core.Attempt) {
	if s, n := cl.core.Permit(a); s != balancer.OK {
		cl.core.CompleteAttempt(a, core.AttemptResult{Status: s, Detail: n})
		return
	}
	if !cl.core.AcquireLease(a) { // others must know of it first; it is sent anew then
		return
	}
	err := c.nc.WriteSync(appendAsk(nil, a))
	if netio.IsIncompleteWrite(err) { // it has not come to the cache, so it can't run
		c.lost()
		cl.again(a)
		return
	}
	if len(c.open) == 0 {
		c.since = cl.clock()
	}
	c.open[a.Request.Txn] = a
	cl.at[a] = c
	if err != nil {
		c.lost()
		return
	}
	cl.core.AttemptWritten(a)
}

// again sends an attempt whose connection broke before it was written whole. Connections that were idle, or
// have just come up, are reset now and then; a cache that does so each time is not there.
func (cl *Client) again(a *core.Attempt) {
	s, n := cl.core.Permit(a)
	if a.BrokenConns++; a.BrokenConns > maxBroken && s == balancer.OK {
		s = balancer.ConnectFailed
	}
	if s != balancer.OK {
		cl.core.CompleteAttempt(a, core.AttemptResult{Status: s, Detail: n})
		return
	}
	cl.Send(a)
}

// maxBroken is how many connections may break under an attempt that was not written whole.
const maxBroken = 3

// Cancel gives an attempt up. Its connection is kept: a close would give up all else on it, and many at once
// would have to be opened anew in the moment of a trouble.
func (cl *Client) Cancel(a *core.Attempt) {
	c := cl.at[a]
	if c == nil {
		if p := cl.pools[a.Endpoint]; p != nil {
			if i := slices.Index(p.waiting, a); i >= 0 {
				p.waiting = slices.Delete(p.waiting, i, i+1)
			}
		}
		return
	}
	c.quit = c.quit || c.silent() // nothing is asked for on it again
	c.idled = cl.clock()
	c.done(a)
	c.p.past.add(a.Request.Txn, cl.clock(), cl.lim.Longest)
	if err := c.nc.WriteSync(appendQuit(nil, a.Request.Txn)); err != nil {
		c.lost()
	} else if c.p.dead && len(c.open) == 0 {
		c.retire()
	} else if len(c.open) == 0 {
		cl.free(c)
	}
}

// CloseEndpoint drops the connections to a cache that has gone or is another now.
func (cl *Client) CloseEndpoint(m *core.Endpoint) {
	p := cl.pools[m]
	if p == nil {
		return
	}
	p.dead = true
	delete(cl.pools, m)
	for _, c := range slices.Clone(p.conns) {
		if c.quit = true; len(c.open) == 0 {
			c.retire()
		}
	}
	for a := p.next(nil); a != nil; a = p.next(nil) {
		cl.core.CompleteAttempt(a, core.AttemptResult{Status: balancer.ConnectFailed})
	}
}

func (c *conn) done(a *core.Attempt) {
	delete(c.open, a.Request.Txn)
	delete(c.cl.at, a)
}

// retire closes the connection and takes it out of its pool.
func (c *conn) retire() {
	c.nc.Close()
	if i := slices.Index(c.p.conns, c); i >= 0 {
		c.p.conns = slices.Delete(c.p.conns, i, i+1)
		c.cl.conns--
	}
}

// lost ends what is open on a connection that is of no more use: it may have run.
func (c *conn) lost() {
	c.quit = true
	c.retire()
	for _, a := range c.open {
		c.done(a)
		c.p.past.add(a.Request.Txn, c.cl.clock(), c.cl.lim.Longest)
		c.cl.core.CompleteAttempt(a, core.AttemptResult{Status: balancer.Reset})
	}
}

// Consume implements netio.Handler.
func (c *conn) Consume(buf []byte) (used, want int, err error) {
	for {
		a, n, want, err := parse(buf[used:], c.cl.lim.AnswerLine, c.cl.lim.Object)
		if err != nil || n == 0 {
			return used, want, err
		}
		e, err := a.end()
		if err != nil {
			return used, 0, err
		}
		used += n
		id := string(a.id)
		c.cl.core.Post(func() { c.answered(id, e) })
	}
}

// Closed implements netio.Handler.
func (c *conn) Closed() { c.cl.core.Post(c.lost) }

// answered ends an attempt; an answer that crossed a QUIT is for nobody.
func (c *conn) answered(id string, e core.AttemptResult) {
	c.since = c.cl.clock()
	a := c.open[id]
	if a == nil {
		return
	}
	c.done(a)
	if e.Status != balancer.OK {
		if c.said.has(id) { // it may be the same answer once more: the attempt is given up before another is sent
			c.p.past.add(id, c.since, c.cl.lim.Longest)
			if err := c.nc.WriteSync(appendQuit(nil, id)); err != nil {
				c.cl.core.CompleteAttempt(a, e)
				c.lost()
				return
			}
		}
		c.said.add(id, c.since, c.cl.lim.Longest)
	}
	if e.NotModified && (a.Request.ETag == "" || e.ETag != a.Request.ETag) { // of a copy that this client does not have: spoilt
		c.cl.core.CompleteAttempt(a, core.AttemptResult{Status: balancer.Reset})
		c.lost()
		return
	}
	c.cl.core.CompleteAttempt(a, e)
	switch {
	case len(c.open) > 0:
	case c.quit:
		c.retire()
	default:
		c.cl.free(c)
	}
}
