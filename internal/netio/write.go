package netio

import (
	"errors"
	"fmt"
	"syscall"

	"hillknot/internal/clock"
)

// Writing, bounded in bytes and in time.

// Send queues bytes, which it keeps, to be written in their order. It never blocks: a peer that reads too
// slowly is cut off once too much waits for it. Where too much waits for all together, nothing is queued and the
// connection goes on: a short word in place of a long answer can still be sent.
func (c *Conn) Send(b []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.shut && !c.owing {
		return ErrClosed
	}
	if c.pending > 0 && c.pending+len(b) > c.lim.Pending {
		go c.Close() // not from here: closing calls back and takes the lock
		return ErrClosed
	}
	if !c.budget.take(len(b)) {
		if len(b) > shortWord {
			return ErrBudgetExceeded
		}
		c.budget.add(len(b))
	}
	c.queue, c.pending = append(c.queue, b), c.pending+len(b)
	if !c.writing {
		c.writing = true
		go c.write()
	}
	return nil
}

// shortWord is the length up to which a message is sent whatever else waits.
const shortWord = 256

// writePiece is how many bytes are written under one time-out, or a single message.
const writePiece = 256 << 10

// SendAndClose sends bytes and ends the connection once all is written.
func (c *Conn) SendAndClose(b []byte) {
	if err := c.Send(b); err != nil {
		return // closed, or about to be
	}
	c.CloseAfterWrites()
}

// CloseAfterWrites ends the connection once all is written that was sent. Nothing more is handed on or sent from now on.
func (c *Conn) CloseAfterWrites() {
	c.mu.Lock()
	c.shut, c.owing, c.last = true, false, true
	done := !c.writing
	c.mu.Unlock()
	c.notifyClosed()
	if done {
		c.lingerClose()
	}
}

func (c *Conn) write() {
	for {
		c.mu.Lock()
		// A piece at a time: a slow reader that reads on must not run into the time-out with all that waits.
		n, size := 0, 0
		for n < len(c.queue) && (n == 0 || size+len(c.queue[n]) <= writePiece) {
			size += len(c.queue[n])
			n++
		}
		q := c.queue[:n]
		c.queue = c.queue[n:]
		if len(q) == 0 || c.closed {
			c.writing = false
			if c.closed {
				c.drop()
			}
			last := c.last
			c.mu.Unlock()
			if last {
				c.lingerClose()
			}
			c.closeIfLeaving()
			return
		}
		c.mu.Unlock()
		if err := c.flush(q...); err != nil {
			c.Close()
		}
		clear(q) // what was written is free to go
		c.mu.Lock()
		c.pending -= size
		c.budget.add(-size)
		c.mu.Unlock()
	}
}

func (c *Conn) flush(bs ...[]byte) error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if c.down || !c.nc.IsActive() {
		return ErrClosed
	}
	c.active.Store(int64(clock.Now()))
	w := c.nc.Writer()
	for _, b := range bs {
		if _, err := w.WriteBinary(b); err != nil {
			return err
		}
	}
	return w.Flush()
}

// WriteSync writes before it returns. It blocks only while the socket's buffer is full, and for the write
// time-out at most; after an error the connection is of no more use. It may not be mixed with Send.
func (c *Conn) WriteSync(b []byte) error {
	if err := c.flush(b); err != nil {
		c.Close()
		return fmt.Errorf("write: %w", err)
	}
	return nil
}

// IsIncompleteWrite tells, of an error of WriteNow, whether the bytes surely have not gone out whole: the connection was closed
// before, or the system refused a part of them. Netpoll reports an error of the system only from its own first write, or
// as it asks to be told of room for the rest; it holds a part then that is handed to the system no more. Its own
// errors, of a time-out or a close while the rest waited for room, may have come as the last of the bytes went.
func IsIncompleteWrite(err error) bool {
	var errno syscall.Errno
	return errors.Is(err, ErrClosed) || errors.As(err, &errno) && errno < netpollErrors
}

// netpollErrors is the least number of the errors that netpoll makes up; those of the system are below.
const netpollErrors = 0x100
