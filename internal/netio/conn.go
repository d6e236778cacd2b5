// Package netio puts connections of netpoll behind the two things that every protocol of the router needs: a
// handler that consumes input straight from the read buffer, and writes that are bounded in bytes and in time.
//
// Server accepts connections and Dial opens them; both make a Conn. A Conn ends in stages (see connState): it stops
// handing input to its handler, lets the pending replies be sent, flushes what is queued, and then closes in a way
// that does not reset the connection under the last reply.
package netio

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"

	"hillknot/internal/clock"
	"hillknot/internal/config"
	"hillknot/internal/logging"
)

var log = logging.For("netio")

// ErrClosed says that the connection is closed, or that nothing more may be sent on it.
var ErrClosed = errors.New("connection closed")

// Handler is a protocol's side of one connection.
type Handler interface {
	// Consume is handed all input that has not been consumed yet. It returns how many bytes it consumed, and how
	// many bytes it wants to see before the next call (0: any more). buf is valid during the call only. An error
	// closes the connection once its pending replies are sent. Calls come one after the other.
	Consume(buf []byte) (used, want int, err error)
	// Closed is called once, as soon as no more input will be handed on, and at the latest after the connection has
	// closed.
	Closed()
}

// InputErrorHandler is a Handler that is notified when Consume's error ends the input. The connection stays open
// until its pending replies are sent.
type InputErrorHandler interface{ InputFailed() }

// OpenHandler is a Handler that is notified once a connection that was accepted can be written to.
type OpenHandler interface{ Opened() }

// Conn is one connection. Its methods may be called from any goroutine, but for WriteSync, which may not be mixed
// with Send.
type Conn struct {
	transport netpoll.Connection
	handler   Handler
	limits    config.ConnLimits
	budget    *Budget

	mu             sync.Mutex
	state          connState
	delivering     bool // the handler is consuming input
	retireWhenIdle bool // CloseWhenIdle was called, and the connection has not been looked at since
	queue          sendQueue

	input          inputProgress
	lastActive     atomic.Int64 // reading of package clock when bytes last came or went
	pendingReplies atomic.Int32 // replies that the handler has yet to give
	evicted        atomic.Bool  // it closes to make room, or has closed

	closeOnce  sync.Once // runs what follows from the end of the transport
	notifyOnce sync.Once // calls Handler.Closed
	lingerOnce sync.Once // starts the lingering close

	flushMu      sync.Mutex // held while netpoll's output buffer is used
	buffersFreed bool       // netpoll is about to free that buffer
}

// sendQueue holds what waits to be written. Conn.mu guards it.
type sendQueue struct {
	messages [][]byte
	bytes    int  // of messages, and of those that are being written
	opened   bool // the transport can be written to; until then messages wait
	writing  bool // a goroutine is writing, see Conn.writeQueued
	closed   bool // the transport has closed: nothing of it will be written
}

func newConn(transport netpoll.Connection, limits config.ConnLimits, budget *Budget) *Conn {
	_ = transport.SetReadTimeout(limits.ReadTimeout)   // netpoll's setters only store the value
	_ = transport.SetWriteTimeout(limits.WriteTimeout) // and return nil
	c := &Conn{transport: transport, limits: limits, budget: budget}
	c.lastActive.Store(int64(clock.Now()))
	return c
}

// open says that the transport can be written to, and has what was sent before that written.
func (c *Conn) open() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue.opened = true
	c.startWriting()
}

// RemoteAddr is the peer's address.
func (c *Conn) RemoteAddr() net.Addr { return c.transport.RemoteAddr() }

// AddPendingReplies counts replies that the handler has yet to give (n over 0), or has given (n below 0). A
// connection without any may be closed for being idle, or to make room; one that is in CloseAfterReplies flushes
// after the last.
func (c *Conn) AddPendingReplies(n int) {
	if c.pendingReplies.Add(int32(n)) <= 0 {
		c.flushIfAnswered()
	}
}

// hasPendingReplies says whether the handler has yet to give a reply.
func (c *Conn) hasPendingReplies() bool { return c.pendingReplies.Load() > 0 }

// idleFor returns for how long nothing has moved, and whether the connection could be closed for that: nothing
// waits to be written, and no reply is pending.
func (c *Conn) idleFor(now time.Duration) (idle time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now - time.Duration(c.lastActive.Load()), c.queue.bytes == 0 && c.pendingReplies.Load() == 0
}

// HasUnreadInput says whether bytes have come that the handler has not consumed, in the socket or in the read
// buffer. Where the system does not say, there are none. A close at the same moment may make it wrong, once.
func (c *Conn) HasUnreadInput() bool { return c.HasUnreadInputBeyond(0) }

// HasUnreadInputBeyond is HasUnreadInput for a handler within Consume that is being handed n bytes: it says whether
// more than these have come.
func (c *Conn) HasUnreadInputBeyond(n int) bool {
	if fd, ok := c.socket(); ok {
		if unread, err := unix.IoctlGetInt(fd, unix.TIOCINQ); err == nil && unread > 0 {
			return true
		}
	}
	return c.transport.Reader().Len() > n
}

// socket returns the descriptor of a connection that has not closed.
func (c *Conn) socket() (fd int, ok bool) {
	if s, has := c.transport.(interface{ Fd() int }); has && c.transport.IsActive() {
		return s.Fd(), true
	}
	return -1, false
}
