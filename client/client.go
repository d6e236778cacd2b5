// Package client asks edge routers for objects and sends them orders, as the tools of directors do. It keeps one
// budget of time for a call over all its tries, marks retries as retries and bounds them, never repeats what may have
// taken effect, stays away when it is told to, and comes back to a restarted router at a time of its own.
//
// All choices are made in the package policy; this one owns the connections.
package client

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"hillknot/client/policy"
	"hillknot/internal/clock"
	"hillknot/internal/rpc"
)

// Class is a kind of requests that the routers serve.
type Class struct {
	Safe  bool          // a repeat harms nobody; else it may take effect twice
	Limit time.Duration // routers refuse to work longer on it
}

// Classes returns the classes of the routers at large.
func Classes() map[string]Class {
	return map[string]Class{
		"full-score":  {Safe: true, Limit: 5 * time.Second},
		"part-page":   {Safe: true, Limit: 3 * time.Second},
		"new-arrange": {Limit: 3 * time.Second},
	}
}

// Config sets up a client. Only Routers has to be given.
type Config struct {
	Routers   []string          // addresses, with ports
	Account   string            // that pays for the requests; empty: none is named
	Classes   map[string]Class  // default: Classes()
	Policy    *policy.Settings  // default: policy.Defaults(), with a random seed
	MaxAnswer int               // bytes of an answer; default: 240,000
	MaxBody   int               // bytes that a request brings; default: 48,000
	Observer  func(Observation) // called for what happens, never two at a time; it must not block or call the client
	// Dial opens a connection; default: TCP.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
}

// Request is one request. The zero values of the optional fields leave them out.
type Request struct {
	Class string
	Item  uint64        // the object
	Part  uint64        // of the object, from 0
	Group uint8         // of the object
	Have  string        // tag of the copy that the caller holds: it may be told that this is the one
	Body  []byte        // of an order; it must not be changed until Do returns
	Limit time.Duration // over all tries; default and most: the class's. The context's deadline counts too

	// To, if set, gets the bytes of the answer as they come. Once some have been handed over the call is not tried
	// again, unless To is a Rewinder.
	To io.Writer
}

// Rewinder is a Request.To that can forget what it was given.
type Rewinder interface{ Rewind() error }

// Sizer is a Request.To that wants to know how long an answer is before it comes.
type Sizer interface{ Size(bytes int) }

// Response is the answer to a request that was served.
type Response struct {
	Body      []byte // unless the request had To
	Size      int    // of the answer
	Unchanged bool   // the copy that the caller holds is the one
	Tries     int
	Took      time.Duration
	Router    string
}

// Client asks routers. It is safe for concurrent use.
type Client struct {
	cfg     Config
	set     policy.Settings
	classes map[string]int
	names   []string
	kinds   []Class
	start   time.Duration   // reading of package clock
	ctx     context.Context // of the dials
	cancel  context.CancelFunc
	work    sync.WaitGroup // goroutines of connections

	mu     sync.Mutex
	pol    *policy.Policy
	txns   *rand.ChaCha8
	open   map[*call]struct{}
	timer  *time.Timer
	armed  time.Duration // when the timer goes off; 0: it does not
	closed bool
	idle   chan struct{} // closed when nothing is open any more, once the client closes
	seen   []Observation // to be told when the lock is free
	stats  stats

	tell sync.Mutex // held while the observer is called
}

// New returns a client. It connects when it is first used.
func New(cfg Config) (*Client, error) {
	if len(cfg.Routers) == 0 || len(cfg.Routers) > maxRouters {
		return nil, fmt.Errorf("client: Routers has %d addresses, not 1 to %d", len(cfg.Routers), maxRouters)
	}
	for _, a := range cfg.Routers {
		if _, _, err := net.SplitHostPort(a); err != nil {
			return nil, fmt.Errorf("client: Routers: %w", err)
		}
	}
	if cfg.Classes == nil {
		cfg.Classes = Classes()
	}
	if cfg.MaxAnswer == 0 {
		cfg.MaxAnswer = 240_000
	}
	if cfg.MaxBody == 0 {
		cfg.MaxBody = 48_000
	}
	if cfg.MaxAnswer < 0 || cfg.MaxAnswer > 1<<28 || cfg.MaxBody < 0 || cfg.MaxBody > 1<<28 {
		return nil, errors.New("client: MaxAnswer or MaxBody is out of range")
	}
	if cfg.Dial == nil {
		cfg.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
			return new(net.Dialer).DialContext(ctx, "tcp", addr)
		}
	}
	var seed [32]byte
	_, _ = crand.Read(seed[:]) // it never fails: the program ends first
	c := &Client{cfg: cfg, classes: map[string]int{}, start: clock.Now(), txns: rand.NewChaCha8(seed), open: map[*call]struct{}{},
		idle: make(chan struct{})}
	if cfg.Policy != nil {
		c.set = *cfg.Policy
	} else {
		c.set = policy.Defaults()
		c.set.Seed = binary.LittleEndian.Uint64(seed[:]) ^ c.txns.Uint64()
	}
	if err := c.set.Check(); err != nil {
		return nil, fmt.Errorf("client: Policy: %w", err)
	}
	for name, k := range cfg.Classes {
		if name == "" || name == "health" || len(name) > 64 || k.Limit <= 0 || k.Limit > time.Hour {
			return nil, fmt.Errorf("client: Classes: %q with limit %v can't be used", name, k.Limit)
		}
		c.classes[name] = len(c.names)
		c.names, c.kinds = append(c.names, name), append(c.kinds, k)
	}
	c.pol = policy.New(c.set, len(cfg.Routers), len(c.names))
	c.stats.init(len(c.names))
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c, nil
}

const maxRouters = 1024

// now is the time of the policy's clock: never 0, which stands for "not".
func (c *Client) now() time.Duration { return clock.Now() - c.start + time.Second }

// call is a request on its way.
type call struct {
	req   *Request
	class int
	begun time.Duration
	pc    *policy.Call
	wire  *conn  // on which it is out
	txn   uint64 // of its latest try
	lost  uint64 // of the first try whose router was lost
	id    uint32 // there
	done  chan struct{}

	end  policy.Outcome
	word string // the router's, of a failure
	resp Response

	// Of an answer that comes in, for a request with To.
	body    []byte // all of it, once it is known how long it is
	have    int    // bytes of body that have come
	try     int    // counts the answers that began
	more    chan struct{}
	written bool // something was handed to To
}

// Do sends a request and returns its answer. It ends when the context does, or the request's time is over, and tells
// by the error what became of it: see Error.
func (c *Client) Do(ctx context.Context, req Request) (Response, error) {
	class, ok := c.classes[req.Class]
	switch {
	case !ok:
		return Response{}, &Error{Kind: ErrRequest, Text: fmt.Sprintf("no class %q", req.Class)}
	case len(req.Body) > c.cfg.MaxBody:
		return Response{}, &Error{Kind: ErrRequest, Text: fmt.Sprintf("a body of %d bytes, over %d", len(req.Body), c.cfg.MaxBody)}
	case !tag(req.Have):
		return Response{}, &Error{Kind: ErrRequest, Text: "Have is no tag"}
	case req.Limit < 0:
		return Response{}, &Error{Kind: ErrRequest, Text: "Limit is negative"}
	}
	if ctx.Err() != nil {
		return Response{}, &Error{Kind: ErrCanceled, Cause: context.Cause(ctx)}
	}
	q := &call{req: &req, class: class, done: make(chan struct{})}
	if req.To != nil {
		q.more = make(chan struct{}, 1)
	}
	limit := c.kinds[class].Limit
	if req.Limit > 0 {
		limit = min(limit, req.Limit)
	}
	if at, ok := ctx.Deadline(); ok {
		limit = min(limit, clock.Until(at))
	}
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return Response{}, &Error{Kind: ErrClosed}
	}
	q.begun = c.now()
	c.open[q] = struct{}{}
	q.pc = c.pol.StartCall(q.begun, policy.CallSpec{Class: class, Idempotent: c.kinds[class].Safe, Deadline: q.begun + limit, UserData: q})
	c.settle()
	c.unlock()
	if err := c.await(ctx, q); err != nil {
		return Response{Tries: q.end.Attempts, Took: q.resp.Took}, err
	}
	return q.resp, nil
}

// await waits for the end of a call, and hands on what comes of its answer meanwhile.
func (c *Client) await(ctx context.Context, q *call) error {
	var cause error
	gone := ctx.Done()
	for handed, try := 0, 0; ; {
		select {
		case <-q.done:
			if q.end.Verdict == policy.Served && q.req.To != nil {
				if _, _, err := c.pass(q, handed, try); err != nil {
					return &Error{Kind: ErrSink, Cause: err, Tries: q.end.Attempts}
				}
			}
			return c.outcome(q, cause)
		case <-q.more:
			var err error
			if handed, try, err = c.pass(q, handed, try); err != nil {
				c.withdraw(q)
				<-q.done
				return &Error{Kind: ErrSink, Cause: err, Tries: q.end.Attempts}
			}
		case <-gone:
			gone, cause = nil, context.Cause(ctx)
			c.withdraw(q)
		}
	}
}

func (c *Client) withdraw(q *call) {
	c.mu.Lock()
	c.pol.CancelCall(c.now(), q.pc)
	c.settle()
	c.unlock()
}

// pass hands on what has come of an answer. An answer that begins anew is handed over from its start.
func (c *Client) pass(q *call, handed, try int) (int, int, error) {
	c.mu.Lock()
	body, now := q.body[:q.have], q.try // the rest of it is being filled meanwhile
	_, again := q.req.To.(Rewinder)
	if len(body) > 0 {
		q.written = true
		if !again {
			q.pc.ForbidRetry()
		}
	}
	c.mu.Unlock()
	if now != try && handed > 0 {
		if err := q.req.To.(Rewinder).Rewind(); err != nil { // without one, there is no second answer
			return 0, now, err
		}
		handed = 0
	}
	if handed == len(body) {
		return handed, now, nil
	}
	if s, ok := q.req.To.(Sizer); ok && handed == 0 {
		s.Size(cap(body))
	}
	n, err := q.req.To.Write(body[handed:])
	if err == nil && n < len(body)-handed {
		err = io.ErrShortWrite
	}
	return handed + n, now, err
}

// tag tells whether the tag of a copy can be sent.
func tag(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] >= 0x7f || s[i] == ',' || s[i] == '=' {
			return false
		}
	}
	return len(s) <= 64
}

// Health asks each router that the client knows whether it takes clients, on connections of their own. It returns an
// error for each that does not, or does not say so in the time that the policy gives, nil for the others.
func (c *Client) Health(ctx context.Context) []error {
	ctx, cancel := context.WithTimeout(ctx, c.set.DialWait+c.set.CheckWait)
	defer cancel()
	out := make([]error, len(c.cfg.Routers))
	var all sync.WaitGroup
	for i, addr := range c.cfg.Routers {
		all.Go(func() { out[i] = askHealth(ctx, c.cfg.Dial, addr) })
	}
	all.Wait()
	return out
}

// ErrNotReady says that a router takes no clients now.
var ErrNotReady = errors.New("takes no clients now")

func askHealth(ctx context.Context, dial func(context.Context, string) (net.Conn, error), addr string) error {
	nc, err := dial(ctx, addr)
	if err != nil {
		return err
	}
	defer nc.Close()
	stop := context.AfterFunc(ctx, func() { _ = nc.SetDeadline(clock.Past()) })
	defer stop()
	if _, err := nc.Write(rpc.AppendHealthRequest(nil, 1)); err != nil {
		return err
	}
	buf := make([]byte, 0, headMost)
	for len(buf) < cap(buf) {
		n, err := nc.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		h, progress, bad := rpc.ParseResponseHeader(buf, headMost, 0)
		complete := progress.Consumed > 0
		switch {
		case bad != nil:
			return bad
		case complete && (h.ID != 1 || h.Kind != rpc.ResponseHealth):
			return rpc.ErrMalformed
		case complete && !h.Ready:
			return ErrNotReady
		case complete:
			return nil
		case err != nil:
			if ctx.Err() != nil {
				return context.Cause(ctx)
			}
			return err
		}
	}
	return rpc.ErrMalformed
}

// Close ends the client: it takes nothing new, waits until what is open has ended or the context has, withdraws the
// rest, and returns when all its goroutines have ended. The error says whether something was withdrawn.
func (c *Client) Close(ctx context.Context) error {
	c.mu.Lock()
	first := !c.closed
	c.closed = true
	if first && len(c.open) == 0 {
		close(c.idle)
	}
	c.unlock()
	var err error
	select {
	case <-c.idle:
	case <-ctx.Done():
		err = fmt.Errorf("client: close: %w", context.Cause(ctx))
	}
	c.mu.Lock()
	for q := range c.open {
		c.pol.CancelCall(c.now(), q.pc)
	}
	c.settle()
	c.pol.CloseAll(c.now())
	c.settle()
	if c.timer != nil {
		c.timer.Stop()
	}
	c.unlock()
	c.cancel()
	c.work.Wait()
	return err
}

// ---- Carrying out what the policy decides ----

// settle does what the policy asks for, until it asks for nothing more, and sets the timer. The lock is held.
func (c *Client) settle() {
	for acts := c.pol.Actions(); len(acts) > 0; acts = c.pol.Actions() {
		for _, a := range acts {
			c.act(a)
		}
	}
	at, ok := c.pol.NextTick()
	if !ok || c.armed > 0 && c.armed <= at {
		return // a timer that goes off too early does no harm
	}
	c.armed = at
	if in := max(at-c.now(), 0); c.timer == nil {
		c.timer = time.AfterFunc(in, c.tick)
	} else {
		c.timer.Reset(in)
	}
}

func (c *Client) tick() {
	c.mu.Lock()
	c.armed = 0
	if !c.closed || len(c.open) > 0 {
		c.pol.Tick(c.now())
		c.settle()
	}
	c.unlock()
}

func (c *Client) act(a policy.Action) {
	switch a.Kind {
	case policy.ActionDial:
		n := &conn{c: c, pn: a.Conn, addr: c.cfg.Routers[a.Router], calls: map[uint32]*call{}, wake: make(chan struct{}, 1)}
		n.pn.UserData = n
		c.work.Add(1)
		go n.run()
	case policy.ActionCheckHealth:
		n := a.Conn.UserData.(*conn)
		n.queue(item{kind: sendCheck})
	case policy.ActionSend:
		n, q := a.Conn.UserData.(*conn), a.Call.UserData.(*call)
		n.nextID++
		q.wire, q.id = n, n.nextID
		n.calls[q.id] = q
		n.queue(item{kind: sendCall, call: q, id: q.id, second: a.Retry})
		c.observe(Observation{What: Tried, Router: n.addr, Class: c.names[q.class], Retry: a.Retry})
	case policy.ActionCancel:
		a.Conn.UserData.(*conn).cancel(a.Call.UserData.(*call))
	case policy.ActionClose:
		a.Conn.UserData.(*conn).shut()
	case policy.ActionFinish:
		c.finish(a.Call.UserData.(*call), a.Outcome)
	}
}

// finish ends a call for its caller.
func (c *Client) finish(q *call, e policy.Outcome) {
	q.end = e
	q.resp.Tries, q.resp.Took = e.Attempts, c.now()-q.begun
	if e.Verdict != policy.Served && q.req.To == nil {
		q.resp.Body = nil
	}
	delete(c.open, q)
	c.stats.ended(q, e)
	c.observe(Observation{What: Ended, Router: q.resp.Router, Class: c.names[q.class], Tries: e.Attempts, Took: q.resp.Took, Verdict: e.Verdict})
	close(q.done)
	if c.closed && len(c.open) == 0 {
		close(c.idle)
	}
}
