// Package netio puts netpoll's connections behind the two things that every wire here needs: a parser
// that is handed what has come in as slices of the read buffer, and writes that are bounded in bytes and
// in time.
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
)

// One connection: what it owes, and how it ends.

// ErrClosed says that the connection is closed.
var ErrClosed = errors.New("connection closed")

// Handler is what a wire makes of a connection.
type Handler interface {
	// Consume is handed all that has come in and not been used up. It returns how much it used and how many
	// bytes it wants to see before it is called again (0: any more). The slice is valid for the call only.
	// An error closes the connection.
	Consume(buf []byte) (used, want int, err error)
	// Closed is called once, after the connection has closed for whatever reason, or as soon as nothing more is handed on.
	Closed()
}

// InputErrorHandler is a Handler that wants to know that nothing more can be read on a connection, which ends once all that is owed
// on it is answered.
type InputErrorHandler interface{ InputFailed() }

// OpenHandler is a Handler that wants to know when a connection that was accepted is up.
type OpenHandler interface{ Opened() }

// Conn is one connection.
type Conn struct {
	nc      netpoll.Connection
	h       Handler
	lim     config.Conn
	budget  *Budget
	mu      sync.Mutex
	queue   [][]byte
	pending int
	writing bool
	shut    bool // nothing that comes in is handed on any more
	owing   bool // it is shut, and ends once nothing is owed on it; what is owed can still be sent
	taking  bool // the handler has what came in
	leave   bool // it is retired once all is written, if it rests by then
	last    bool // it ends once all is written
	closed  bool
	close   sync.Once
	told    sync.Once // the handler that it has closed
	linger  sync.Once
	kept    int          // bytes of a message that is not whole yet, which the handler has seen
	thrown  int          // bytes that came in once it was shut
	active  atomic.Int64 // reading of package clock when bytes last came or went
	spoke   atomic.Bool  // a whole message has come
	half    atomic.Int64 // reading of package clock when a message began that is not whole yet; 0: there is none
	owed    atomic.Int32 // answers that the handler has yet to give
	evicted atomic.Bool  // it closes to make room, or has closed

	writeMu sync.Mutex // held while netpoll's output buffer is used
	down    bool       // netpoll is about to free that buffer
}

func newConn(nc netpoll.Connection, lim config.Conn, budget *Budget) *Conn {
	_ = nc.SetReadTimeout(lim.Read)   // netpoll's setters only store the value
	_ = nc.SetWriteTimeout(lim.Write) // and return nil
	c := &Conn{nc: nc, lim: lim, budget: budget}
	c.active.Store(int64(clock.Now()))
	return c
}

// AddPendingReplies counts answers that the handler owes, or has given. A connection on which none is owed may be closed
// for being idle, or to make room; one that ends does so once none is.
func (c *Conn) AddPendingReplies(n int) {
	if c.owed.Add(int32(n)) <= 0 {
		c.closeSettled()
	}
}

// closeSettled ends a connection that CloseOwed has left open, once nothing is owed on it and nothing is being handed on.
func (c *Conn) closeSettled() {
	c.mu.Lock()
	now := c.owing && !c.taking && c.owed.Load() <= 0
	c.mu.Unlock()
	if now {
		c.CloseAfterWrites()
	}
}

// CloseAfterReplies ends the connection behind the answers that are owed on it: nothing more is handed on, and what was handed on is
// answered. Where none is owed, it is CloseBehind.
func (c *Conn) CloseAfterReplies(why CloseReason) {
	c.traceClose(why)
	c.mu.Lock()
	c.shut = true
	wait := c.taking || c.owed.Load() > 0
	c.owing = c.owing || wait
	c.mu.Unlock()
	if !wait {
		c.CloseAfterWrites()
	}
}

// idleFor tells for how long nothing has moved on a connection on which nothing is owed.
func (c *Conn) idleFor(now time.Duration) (idle time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now - time.Duration(c.active.Load()), c.pending == 0 && c.owed.Load() == 0
}

// CloseWhenIdle retires the connection behind what was sent, unless by then more is owed on it or something is coming in.
func (c *Conn) CloseWhenIdle() {
	c.mu.Lock()
	c.leave = true
	c.mu.Unlock()
	c.closeIfLeaving()
}

// closeIfLeaving does what Leave asked for, once nothing is being written or handed on.
func (c *Conn) closeIfLeaving() {
	c.mu.Lock()
	now := c.leave && !c.writing && !c.taking
	c.leave = c.leave && !now
	c.mu.Unlock()
	if now {
		c.retire(closeLeaving, false)
	}
}

// ending tells whether the connection is shut.
func (c *Conn) ending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.shut
}

// shutIfIdle shuts a connection on which nothing is owed, waits or comes in, and tells whether it did. All in one step: a request
// that was handed on is answered, and one that comes after it crosses the close and is handed to nobody. With half, one
// that is in the middle of a message rests too.
func (c *Conn) shutIfIdle(half bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.shut || c.taking || c.pending > 0 || c.owed.Load() > 0 || !half && (c.half.Load() > 0 || c.HasUnreadInput()) {
		return false
	}
	c.shut = true
	return true
}

// retire ends a connection that rests.
func (c *Conn) retire(why CloseReason, half bool) {
	if c.shutIfIdle(half) {
		c.traceClose(why)
		c.lingerClose()
	}
}

// notifyClosed tells the handler that nothing more is handed on.
func (c *Conn) notifyClosed() { c.told.Do(c.h.Closed) }

// HasUnreadInput tells whether bytes have come that the handler has not taken yet, in the socket or behind it. Where the system
// does not say, there are none. A close in this moment may make it wrong, once.
func (c *Conn) HasUnreadInput() bool { return c.HasUnreadInputBeyond(0) }

// HasUnreadInputBeyond is Unread for a handler that is being handed so many bytes: it tells whether more than these have come.
func (c *Conn) HasUnreadInputBeyond(handed int) bool {
	if fd, ok := c.nc.(interface{ Fd() int }); ok && c.nc.IsActive() {
		if n, err := unix.IoctlGetInt(fd.Fd(), unix.TIOCINQ); err == nil && n > 0 {
			return true
		}
	}
	return c.nc.Reader().Len() > handed
}

// RemoteAddr is the peer's address.
func (c *Conn) RemoteAddr() net.Addr { return c.nc.RemoteAddr() }

// Close closes the connection at once. What has not been read resets it.
func (c *Conn) Close() {
	c.mu.Lock()
	c.shut = true
	c.mu.Unlock()
	_ = c.nc.Close() // what can fail here is a connection that is closed already
}

// closing is netpoll's call before it frees its buffers. It guards against a write to a buffer that is gone,
// which panics in netpoll: a peer may end the connection at any moment of a write.
func (c *Conn) closing(netpoll.Connection) error {
	c.close.Do(func() {
		c.writeMu.Lock() // a write that waits has been woken by now
		c.down = true
		c.writeMu.Unlock()
		c.mu.Lock()
		c.closed = true
		if !c.writing {
			c.drop()
		}
		c.mu.Unlock()
		c.notifyClosed()
	})
	return nil
}

// drop forgets what waits to be written.
func (c *Conn) drop() {
	c.budget.add(-c.pending)
	c.queue, c.pending = nil, 0
}
