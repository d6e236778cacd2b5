package netio

import (
	"errors"
	"fmt"
	"syscall"

	"hillknot/internal/clock"
)

// maxSmallMessage is the length up to which a message is sent whatever the budget says, so that an error can be
// sent in place of a long reply.
const maxSmallMessage = 256

// maxBatch is how many bytes are written at a time, or a single message.
const maxBatch = 256 << 10

// Send queues a message, which it keeps, to be written after those that were sent before. It never blocks. A peer
// that reads too slowly is cut off once too much waits for it: ErrClosed. Where too much waits for all peers
// together, nothing is queued and the connection stays open: ErrBudgetExceeded.
func (c *Conn) Send(b []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.queue.closed || !c.state.acceptsSends() {
		return ErrClosed
	}
	if c.queue.bytes > 0 && c.queue.bytes+len(b) > c.limits.MaxPendingBytes {
		go c.Close() // not from here: closing calls back and takes the lock
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

// startWriting has what is queued written, unless that is going on or has to wait. The caller holds c.mu.
func (c *Conn) startWriting() {
	if c.queue.writing || !c.queue.opened || len(c.queue.messages) == 0 {
		return
	}
	c.queue.writing = true
	go c.writeQueued()
}

// writeQueued writes what is queued until nothing is left or the transport has closed. Send starts it where no
// other runs.
func (c *Conn) writeQueued() {
	_ = c.transport.SetWriteTimeout(maxWriteTimeouts * c.limits.WriteTimeout) // the watch has the shorter one
	for {
		batch, size, linger := c.nextBatch()
		if linger {
			c.lingerClose()
		}
		if len(batch) == 0 {
			c.retireIfRequested()
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

// flushWatched is flush for a peer that may take its time, as long as it reads on.
func (c *Conn) flushWatched(batch [][]byte) error {
	if c.limits.WriteTimeout > 0 {
		defer c.watchWrite().end()
	}
	return c.flush(batch...)
}

// nextBatch takes messages off the queue, as many as are written at a time: a slow reader that reads on must not run
// into the bound of one write with all that waits. It returns none where the writer is to end, and then says whether the
// connection, which is flushed by that, is to linger.
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

// flush hands messages to the socket and waits until it has taken them.
func (c *Conn) flush(messages ...[]byte) error {
	c.flushMu.Lock()
	defer c.flushMu.Unlock()
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

// WriteSync writes before it returns. It blocks only while the socket's buffer is full, and for the write time-out
// at most, also where the peer reads on slowly: its caller has others to serve. After an error the connection is of no
// more use. It may not be mixed with Send.
func (c *Conn) WriteSync(b []byte) error {
	if err := c.flush(b); err != nil {
		c.Close()
		return fmt.Errorf("write: %w", err)
	}
	return nil
}

// IsIncompleteWrite says, of an error of WriteSync, that the peer surely does not get the whole message: the
// connection was closed before, or the system refused a part of it.
//
// Netpoll returns an error of the system only from its own first write, or as it registers for room for the rest;
// it then hands the part that it still holds to the system no more. Its own errors, of a time-out or a close while
// the rest waited for room, may have come as the last of the bytes went.
func IsIncompleteWrite(err error) bool {
	var errno syscall.Errno
	return errors.Is(err, ErrClosed) || errors.As(err, &errno) && errno < netpollErrors
}

// netpollErrors is the least number of the errors that netpoll makes up; those of the system are below.
const netpollErrors = 0x100
