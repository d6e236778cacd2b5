package netio

import (
	"errors"
	"fmt"
	"syscall"

	"hillknot/internal/clock"
)

// maxSmallMessage is the length in bytes up to which a message is sent even if it exceeds the budget, so that an error can
// be sent in place of a long reply.
const maxSmallMessage = 256

// maxBatch is the maximum number of bytes that are written at a time. A longer message is written by itself.
const maxBatch = 256 << 10

// Send queues a message to be written after those that were sent before. It keeps b and never blocks.
//
// If too many bytes are already queued for the peer, which reads too slowly, Send closes the connection and returns
// ErrClosed. If the message exceeds the shared budget, Send queues nothing, leaves the connection open and returns
// ErrBudgetExceeded.
func (c *Conn) Send(b []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.queue.closed || c.queue.overflowed || !c.state.acceptsSends() {
		return ErrClosed
	}
	if c.queue.bytes > 0 && c.queue.bytes+len(b) > c.limits.MaxPendingBytes {
		c.queue.overflowed = true
		c.recordClose(closeTooMuchPending)
		go c.Close() // in a goroutine, because closing calls back and locks c.mu
		return ErrClosed
	}
	if !c.budget.take(len(b)) {
		if len(b) > maxSmallMessage {
			return ErrBudgetExceeded
		}
		c.budget.add(len(b))
	}
	c.queue.messages, c.queue.bytes = append(c.queue.messages, b), c.queue.bytes+len(b)
	c.startWriting()
	return nil
}

// startWriting starts a goroutine that writes the queued messages, unless one is running, the transport can't be written to
// yet or the queue is empty. The caller holds c.mu.
func (c *Conn) startWriting() {
	if c.queue.writing || !c.queue.opened || len(c.queue.messages) == 0 {
		return
	}
	c.queue.writing = true
	go c.writeQueued()
}

// writeQueued writes queued messages until none is left or the transport has closed. At most one goroutine runs it.
func (c *Conn) writeQueued() {
	defer c.recoverAndClose()
	_ = c.transport.SetWriteTimeout(maxWriteTimeoutsPerWrite * c.limits.WriteTimeout) // writeWatch applies WriteTimeout
	for {
		batch, size, linger := c.nextBatch()
		if linger {
			c.lingerClose()
		}
		if len(batch) == 0 {
			c.notifyDrained()
			c.closeIdleIfRequested()
			return
		}
		if err := c.flushWatched(batch); err != nil {
			c.Close()
		}
		clear(batch) // the messages can be freed
		c.mu.Lock()
		c.queue.bytes -= size
		c.budget.add(-size)
		c.mu.Unlock()
	}
}

// PendingBytes returns how many bytes wait to be written.
func (c *Conn) PendingBytes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.queue.bytes
}

// notifyDrained tells a DrainHandler that nothing waits to be written.
func (c *Conn) notifyDrained() {
	if h, ok := c.handler.(DrainHandler); ok {
		h.Drained()
	}
}

// flushWatched is like flush, but lets a slow peer take longer than the write timeout as long as it keeps reading.
func (c *Conn) flushWatched(batch [][]byte) error {
	if c.limits.WriteTimeout > 0 {
		defer c.watchWrite().end()
	}
	return c.flush(batch...)
}

// nextBatch takes the messages for the next write off the queue. It limits their size, because a slow peer that keeps
// reading must not exceed the time limit of a single write with the whole queue. An empty batch means that the writer
// must end; linger then reports whether the connection, which is now flushed, must linger.
func (c *Conn) nextBatch() (batch [][]byte, size int, linger bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, messages := 0, c.queue.messages
	for n < len(messages) && (n == 0 || size+len(messages[n]) <= maxBatch) {
		size += len(messages[n])
		n++
	}
	c.queue.messages = messages[n:]
	if n > 0 && !c.queue.closed {
		return messages[:n], size, false
	}
	c.queue.writing = false
	if c.queue.closed {
		c.dropQueue()
	}
	return nil, 0, c.state == stateFlushing
}

// flush writes messages to the socket and waits until the socket's send buffer has taken them.
func (c *Conn) flush(messages ...[]byte) error {
	c.flushMu.Lock()
	defer c.flushMu.Unlock()
	return c.flushLocked(messages...)
}

// flushLocked is flush for a caller that holds flushMu.
func (c *Conn) flushLocked(messages ...[]byte) error {
	if c.buffersFreed || !c.transport.IsActive() {
		return ErrClosed
	}
	c.lastActive.Store(int64(clock.Now()))
	writer := c.transport.Writer()
	for _, b := range messages {
		if _, err := writer.WriteBinary(b); err != nil {
			return err
		}
	}
	return writer.Flush()
}

// WriteSync writes a message before it returns. It blocks only while the socket's send buffer is full, and at most for the
// write timeout even if the peer keeps reading slowly, because its caller has other connections to serve. An error closes
// the connection. WriteSync must not be used on a connection on which Send is used.
func (c *Conn) WriteSync(b []byte) error {
	return c.WriteSyncIf(func() bool { return true }, b)
}

// ErrOutdated is returned by WriteSyncIf when the message was not to be written any more.
var ErrOutdated = errors.New("message outdated")

// WriteSyncIf is WriteSync for a message that an event can make outdated at any moment, such as a stop of the process. It calls
// isCurrent right before it passes the message to the system. If that returns false, WriteSyncIf writes nothing, leaves the
// connection open and returns ErrOutdated.
func (c *Conn) WriteSyncIf(isCurrent func() bool, b []byte) error {
	c.flushMu.Lock()
	if !isCurrent() {
		c.flushMu.Unlock()
		return ErrOutdated
	}
	err := c.flushLocked(b)
	c.flushMu.Unlock()
	if err != nil {
		c.Close()
		return fmt.Errorf("write: %w", err)
	}
	return nil
}

// IsIncompleteWrite reports whether an error of WriteSync proves that the peer does not get the whole message: the
// connection was closed before, or the system rejected a part of the message.
//
// Netpoll returns a system error only from its own first write, or when it registers to be notified of free buffer space
// for the rest; in both cases it no longer passes the part that it still holds to the system. Its own errors, for a timeout
// or a close while the rest waited for buffer space, do not prove that: the last bytes may have been written at the same
// moment.
func IsIncompleteWrite(err error) bool {
	var errno syscall.Errno
	return errors.Is(err, ErrClosed) || errors.As(err, &errno) && errno < firstNetpollErrno
}

// firstNetpollErrno is the lowest error number that netpoll defines itself. Error numbers of the system are lower.
const firstNetpollErrno = 0x100
