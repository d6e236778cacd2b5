// Package netio wraps connections of netpoll for the protocols of the router. It provides what each of them needs: a
// handler that consumes input directly from the read buffer, and writes that are bounded in bytes and in time.
//
// Server accepts connections and Dial opens them; both create a Conn. A Conn closes in stages (see connState): it stops
// passing input to its handler, waits until the pending replies are sent, flushes its queue, and then closes without a
// reset that could lose the last reply.
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

// ErrClosed is returned when a connection is closed, or is closing and accepts no more messages.
var ErrClosed = errors.New("connection closed")

// Handler implements a protocol on one connection.
type Handler interface {
	// Consume gets all input that has not been consumed yet. It returns how many bytes it consumed, and how many bytes
	// buf must hold at the next call (0: any number more than now). buf is valid only during the call. An error closes
	// the connection once its pending replies are sent. Calls are never concurrent.
	//
	// Consume must not block: no other connection of this process is read meanwhile.
	Consume(buf []byte) (used, needed int, err error)
	// Closed is called once, as soon as Consume will not be called again, and at the latest after the connection has
	// closed.
	Closed()
}

// InputErrorHandler is a Handler whose InputFailed method is called after an error of Consume. The connection stays open
// until its pending replies are sent.
type InputErrorHandler interface{ InputFailed() }

// OpenHandler is a Handler whose Opened method is called once an accepted connection can be written to.
type OpenHandler interface{ Opened() }

// DrainHandler is a Handler whose Drained method is called, in any goroutine, whenever all that was sent has been written.
type DrainHandler interface{ Drained() }

// Conn is one connection. Its methods may be called from any goroutine, except that WriteSync must not be used on a
// connection on which Send is used.
type Conn struct {
	transport netpoll.Connection
	origin    connOrigin
	handler   Handler
	limits    config.ConnLimits
	budget    *Budget
	task      *gateTask // the latest task that read input; only that task and the cleanup after it use it

	mu                 sync.Mutex
	state              connState
	delivering         bool // the handler is consuming input
	idleCloseRequested bool // CloseWhenIdle was called, and the idle check that it requests is still due
	queue              sendQueue

	input          inputProgress
	lastActive     atomic.Int64 // reading of package clock when bytes were last received or written
	pendingReplies atomic.Int32 // replies that the handler has not given yet
	evicted        atomic.Bool  // the connection was evicted, or has closed

	closing closeSteps

	flushMu      sync.Mutex // held while netpoll's output buffer is in use
	buffersFreed bool       // netpoll has freed that buffer or is about to; guarded by flushMu
}

// connOrigin says where a connection comes from.
type connOrigin struct {
	remote net.Addr // the peer's address
	dialed bool     // this side has opened the connection
}

// closeSteps holds the steps of a close that are taken once.
type closeSteps struct {
	cleanup sync.Once // after the transport has closed
	notify  sync.Once // calls Handler.Closed
	linger  sync.Once // starts the lingering close
}

// sendQueue holds the messages that wait to be written. Conn.mu guards it.
type sendQueue struct {
	messages [][]byte
	bytes    int  // size of messages and of the batch that is being written
	opened   bool // the transport can be written to; until then messages wait
	writing  bool // a goroutine runs Conn.writeQueued
	closed   bool // the transport has closed, and messages will not be written any more
	// overflowed: too many bytes waited, and the connection is being closed
	overflowed bool
}

func newConn(transport netpoll.Connection, limits config.ConnLimits, budget *Budget) *Conn {
	_ = transport.SetWriteTimeout(limits.WriteTimeout) // only stores the value and returns nil
	c := &Conn{transport: transport, limits: limits, budget: budget}
	c.lastActive.Store(int64(clock.Now()))
	return c
}

// open records that the transport can be written to, and starts writing the messages that were sent earlier.
func (c *Conn) open() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue.opened = true
	c.startWriting()
}

// RemoteAddr returns the peer's address.
func (c *Conn) RemoteAddr() net.Addr { return c.origin.remote }

// AddPendingReplies adds n to the number of replies that the handler still has to give. The handler passes a negative n
// after it has given replies. A connection without pending replies may be closed as idle or evicted; one on which
// CloseAfterReplies was called flushes after the last reply.
func (c *Conn) AddPendingReplies(n int) {
	if c.pendingReplies.Add(int32(n)) <= 0 {
		c.flushIfAnswered()
	}
}

// hasPendingReplies reports whether the handler still has to give a reply.
func (c *Conn) hasPendingReplies() bool { return c.pendingReplies.Load() > 0 }

// idleFor returns how long nothing has been received or written, and whether the connection may be closed as idle: nothing
// waits to be written, and no reply is pending.
func (c *Conn) idleFor(now time.Duration) (idle time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now - time.Duration(c.lastActive.Load()), c.queue.bytes == 0 && c.pendingReplies.Load() == 0
}

// HasUnreadInput reports whether bytes have arrived that were not passed to the handler yet. During a call of Consume, it
// reports whether more than the handler has got have arrived. If the system cannot report the bytes that arrived, those that
// netpoll has just read out of the socket and not put into its buffer yet are not seen. A concurrent close may make a single
// result wrong.
func (c *Conn) HasUnreadInput() bool {
	if c.transport.Reader().Len() > 0 {
		return true
	}
	fd, ok := c.socket()
	if !ok {
		return false
	}
	taken := c.input.taken.Load()
	if info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil && info.Bytes_received > 0 {
		return info.Bytes_received > taken+endOfStream(info)
	}
	unread, err := unix.IoctlGetInt(fd, unix.TIOCINQ)
	return err == nil && unread > 0
}

// PeerClosed reports whether a peer that has sent something has closed its side or reset the connection, even if what it sent is not
// read yet. If the system can't report the bytes that arrived, it is assumed that the peer is there.
func (c *Conn) PeerClosed() bool {
	fd, ok := c.socket()
	if !ok {
		return true
	}
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	return err == nil && info.Bytes_received > 0 && (info.State == tcpClosed || endOfStream(info) > 0)
}

// endOfStream returns how much the end of the peer's stream adds to the received bytes that the system reports.
func endOfStream(info *unix.TCPInfo) uint64 {
	switch info.State {
	case tcpCloseWait, tcpLastAck, tcpClosing, tcpTimeWait:
		return 1
	}
	return 0
}

// States of a TCP connection in which the peer's stream has ended, as the system numbers them; in tcpClosed it may have been reset.
const (
	tcpTimeWait  = 6
	tcpClosed    = 7
	tcpCloseWait = 8
	tcpLastAck   = 9
	tcpClosing   = 11
)

// socket returns the descriptor of the connection, or false if the connection has closed.
func (c *Conn) socket() (fd int, ok bool) {
	if s, has := c.transport.(interface{ Fd() int }); has && c.transport.IsActive() {
		return s.Fd(), true
	}
	return -1, false
}
