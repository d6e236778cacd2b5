package discovery

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"time"

	"hillknot/internal/clock"
	"hillknot/internal/config"
	"hillknot/internal/logging"
	"hillknot/internal/netio"
)

// call is one call to the discovery service: a connection, the request on it, and the stream that answers it. It implements
// netio.Handler.
type call struct {
	watcher   *Watcher
	address   string
	startedAt time.Duration
	updated   chan<- struct{} // gets a value when the status has changed

	response response
	parser   eventParser
	consumed int // bytes that the parsers have taken

	// caughtUp is set once everything that the service had sent over this connection was read. Watcher.mu guards it.
	caughtUp bool

	mu         sync.Mutex
	conn       *netio.Conn // nil until the connection opens
	closed     bool        // the connection has ended
	cancelDial context.CancelFunc
	current    callStatus
}

// dialFunc opens a connection, as netio.DialContext does.
type dialFunc func(ctx context.Context, address string, limits config.ConnLimits, budget *netio.Budget,
	newHandler func(*netio.Conn) netio.Handler) (*netio.Conn, error)

// callPhase is a step in the life of a call. A call that fails ends from any phase.
type callPhase uint8

const (
	callDialing  callPhase = iota // the connection is being opened
	callWaiting                   // the request may have been sent, and is not answered
	callAnswered                  // the stream has begun
	callEnded
)

// callStatus is what a callSet needs to know of a call. All times are readings of package clock.
type callStatus struct {
	phase      callPhase
	position   int64         // the call has requested the events after it
	progressAt time.Duration // when the connection opened, bytes were last received, or the call ended
	received   bool          // any bytes were received
	err        error         // why the call has ended
}

var (
	// errSilent says that the service sent nothing for limits.DiscoverySilence.
	errSilent = errors.New("discovery service is silent")
	// errUnanswered says that a call was not answered for limits.DiscoveryCallTimeout.
	errUnanswered = errors.New("call not answered")
	// errConnectionEnded says that the service or the router has closed the connection of a call.
	errConnectionEnded = fmt.Errorf("connection ended: %w", netio.ErrClosed)
	// errCallDropped is the error of a call that is no longer needed.
	errCallDropped = errors.New("call no longer needed")
)

// maxUnansweredBytes is how many bytes a call may receive until it counts as answered although they end no line of the stream.
const maxUnansweredBytes = 16 << 10

// startCall starts a call to an address. updated gets a value when its status changes.
func (w *Watcher) startCall(address string, updated chan<- struct{}) *call {
	ctx, cancel := context.WithTimeout(context.Background(), w.limits.DiscoveryCallTimeout)
	now := clock.Now()
	c := &call{watcher: w, address: address, startedAt: now, updated: updated, cancelDial: cancel}
	c.current.progressAt = now
	c.response = newResponse(w.limits.DiscoveryLineBytes, c.receive)
	go func() {
		defer logging.ReportPanic(log)
		defer cancel()
		c.open(ctx)
	}()
	return c
}

// open opens the connection and sends the request.
func (c *call) open(ctx context.Context) {
	limits := c.watcher.limits
	budget := netio.NewBudget(2 * limits.DiscoveryLineBytes)
	conn, err := c.watcher.dial(ctx, c.address, limits.Discovery, budget, c.attach)
	if err != nil {
		c.end(err)
		return
	}
	position := c.watcher.Position()
	if !c.beginWaiting(position) {
		c.end(errConnectionEnded)
		return
	}
	if err := conn.WriteSync(appendWatchRequest(nil, c.address, position)); err != nil {
		c.end(err)
	}
}

// attach makes the call the handler of its connection.
func (c *call) attach(conn *netio.Conn) netio.Handler {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn = conn
	return c
}

// beginWaiting records that the connection is open. It returns false if the call or the connection has ended meanwhile.
func (c *call) beginWaiting(position int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.current.phase == callEnded {
		return false
	}
	c.current.phase, c.current.position, c.current.progressAt = callWaiting, position, clock.Now()
	c.notify()
	return true
}

// noteReceived records that bytes were received; answered says whether the stream has begun.
func (c *call) noteReceived(answered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current.phase == callEnded {
		return
	}
	if answered {
		c.current.phase = callAnswered
	}
	c.current.received, c.current.progressAt = true, clock.Now()
	c.notify()
}

// end ends the call and closes its connection. Only the first error counts.
func (c *call) end(err error) {
	c.mu.Lock()
	if c.current.phase != callEnded {
		c.current.phase, c.current.err, c.current.progressAt = callEnded, err, clock.Now()
		c.notify()
	}
	conn := c.conn
	c.mu.Unlock()
	c.cancelDial()
	if conn != nil {
		conn.Close()
	}
}

// notify has the callSet look at the status. The caller holds mu.
func (c *call) notify() {
	select {
	case c.updated <- struct{}{}:
	default: // the previous value was not taken yet
	}
}

// status returns the current status.
func (c *call) status() callStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

// hasUnreadInput reports whether bytes of the service wait to be read.
func (c *call) hasUnreadInput() bool {
	c.mu.Lock()
	conn := c.conn
	c.mu.Unlock()
	return conn != nil && conn.HasUnreadInput()
}

// hasPendingInput reports whether bytes of the service wait to be read, or are being parsed.
func (c *call) hasPendingInput() bool {
	c.mu.Lock()
	conn := c.conn
	c.mu.Unlock()
	return conn != nil && conn.HasPendingInput()
}

// silentAt returns when the service counts as silent if no more bytes of it are received. Bytes that have arrived and wait to be
// read, or are being parsed, put that off, but not for longer than limits.DiscoverySilence.
func (c *call) silentAt(now time.Duration) time.Duration {
	silence := c.watcher.limits.DiscoverySilence
	// Looked up before the status, so that bytes that are parsed meanwhile show in one of the two.
	isPending := c.hasPendingInput()
	due := c.status().progressAt + silence
	if isPending && now >= due && now < due+silence {
		return now + netio.PendingInputDelay
	}
	return due
}

// silenceError returns the error of a call on which nothing was received for a time. It says whether bytes of the service
// wait, which would be a fault of this process and not of the service.
func (c *call) silenceError() error {
	silence := c.watcher.limits.DiscoverySilence
	if c.hasPendingInput() {
		return fmt.Errorf("%w: received nothing for %v, but bytes wait to be read or parsed", errSilent, 2*silence)
	}
	return fmt.Errorf("%w: received nothing for %v", errSilent, silence)
}

// appendWatchRequest appends the HTTP request for the events after a position.
func appendWatchRequest(b []byte, address string, position int64) []byte {
	b = append(b, "GET /journal HTTP/1.1\r\nHost: "...)
	b = append(b, address...)
	b = append(b, "\r\nAccept: text/event-stream\r\nConnection: close\r\nLast-Event-ID: "...)
	b = strconv.AppendInt(b, position, 10)
	return append(b, "\r\n\r\n"...)
}

// Consume implements netio.Handler.
func (c *call) Consume(buf []byte) (used, needed int, err error) {
	readAt := clock.Now()
	complete := !c.hasUnreadInput()
	used, err = c.response.consume(buf)
	c.watcher.queue.flushPaced()
	c.consumed += used
	c.noteReceived(c.response.events.hasLine || c.consumed+len(buf)-used > maxUnansweredBytes)
	if err != nil {
		log.Warn("discovery stream unreadable", logging.KeyError, err)
	}
	if complete && used == len(buf) && c.response.events.atBoundary() {
		c.watcher.noteCaughtUp(c, readAt)
	}
	return used, 0, err
}

// Closed implements netio.Handler. A connection that ends before it is open may have a reason that is only known in the end of the
// dial, so open ends the call then.
func (c *call) Closed() {
	c.mu.Lock()
	c.closed = true
	dialing := c.current.phase == callDialing
	c.mu.Unlock()
	if !dialing {
		c.end(errConnectionEnded)
	}
}

// receive parses an event and hands it to the watcher. The id of a server-sent event is its position.
func (c *call) receive(id, data []byte) error {
	e, parseErr := c.parser.parse(data)
	if position, err := strconv.ParseInt(string(id), 10, 64); err == nil {
		e.position = position
	}
	return c.watcher.receive(e, parseErr)
}
