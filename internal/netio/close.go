package netio

import (
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"

	"hillknot/internal/clock"
)

// This file holds the ways in which this side closes a connection, and the cleanup after the transport has closed.

// Close closes the connection immediately. If input is still unread, the peer sees a reset.
func (c *Conn) Close() {
	c.mu.Lock()
	c.state = c.state.after(stepClose)
	c.mu.Unlock()
	_ = c.transport.Close() // fails only if the connection is already closed
}

// CloseAfterReplies closes the connection once its pending replies are sent: the handler gets no more input, and answers
// the input that it already has. If no reply is pending, CloseAfterReplies does the same as CloseAfterWrites.
func (c *Conn) CloseAfterReplies(reason CloseReason) {
	c.mu.Lock()
	wasOpen := c.state.acceptsInput()
	wait := c.delivering || c.hasPendingReplies()
	step := stepClose
	if wait {
		step = stepAwaitReplies
	}
	c.state = c.state.after(step)
	c.mu.Unlock()
	if wasOpen {
		c.recordClose(reason)
	}
	if !wait {
		c.CloseAfterWrites()
	}
}

// flushIfAnswered continues CloseAfterReplies once no reply is pending and the handler is not consuming input.
func (c *Conn) flushIfAnswered() {
	c.mu.Lock()
	answered := c.state == stateAwaitingReplies && !c.delivering && !c.hasPendingReplies()
	c.mu.Unlock()
	if answered {
		c.CloseAfterWrites()
	}
}

// CloseAfterWrites closes the connection once all queued messages are written. From the time of the call, the handler
// gets no more input and nothing more can be sent.
func (c *Conn) CloseAfterWrites() {
	c.mu.Lock()
	c.state = c.state.after(stepFlush)
	written := !c.queue.writing && len(c.queue.messages) == 0
	c.mu.Unlock()
	c.notifyClosed()
	if written {
		c.lingerClose()
	}
}

// SendAndClose sends a message and closes the connection once all queued messages are written.
func (c *Conn) SendAndClose(b []byte) {
	if err := c.Send(b); err != nil {
		return // already closed or closing
	}
	c.CloseAfterWrites()
}

// CloseWhenIdle closes the connection once all queued messages are written, unless by then a reply is pending or input
// has arrived. In that case the connection stays open until CloseWhenIdle is called again.
func (c *Conn) CloseWhenIdle() {
	c.mu.Lock()
	c.idleCloseRequested = true
	c.mu.Unlock()
	c.closeIdleIfRequested()
}

// closeIdleIfRequested handles a call of CloseWhenIdle, once no message is being written and the handler is not consuming
// input.
func (c *Conn) closeIdleIfRequested() {
	c.mu.Lock()
	now := c.idleCloseRequested && !c.queue.writing && !c.delivering
	c.idleCloseRequested = c.idleCloseRequested && !now
	c.mu.Unlock()
	if now {
		c.closeIfIdle(closeDraining, keepPartial)
	}
}

// closeIfIdle closes the connection if it is idle.
func (c *Conn) closeIfIdle(reason CloseReason, partial partialPolicy) {
	if c.markClosingIfIdle(partial) {
		c.recordClose(reason)
		c.lingerClose()
	}
}

// partialPolicy determines whether a connection counts as idle while an incoming message is incomplete.
type partialPolicy uint8

const (
	keepPartial    partialPolicy = iota // the connection is not idle
	dropUnfinished                      // the connection is idle unless more bytes of the message wait to be read
	dropPartial                         // the connection is idle, and the incomplete message is lost
)

// markClosingIfIdle moves the connection to stateClosing if no reply is pending, nothing waits to be written and no input
// has arrived (see partialPolicy). It reports whether it did. The check and the change are atomic: a request that the
// handler got before is answered, and a request that arrives later is discarded.
func (c *Conn) markClosingIfIdle(partial partialPolicy) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.state.acceptsInput() || c.delivering || c.queue.bytes > 0 || c.hasPendingReplies() {
		return false
	}
	if partial == keepPartial && c.input.isPartial() || partial != dropPartial && c.HasUnreadInput() {
		return false
	}
	c.state = c.state.after(stepClose)
	return true
}

// hasUnacknowledgedOutput reports whether the socket's send buffer still holds bytes for the peer, on a connection that
// was active within the write timeout. Closing the connection could lose these bytes: input that arrives during the close
// resets the connection, and the system then discards what it has not delivered.
func (c *Conn) hasUnacknowledgedOutput() bool {
	sinceWritten := clock.Now() - time.Duration(c.lastActive.Load())
	return sinceWritten < c.limits.WriteTimeout && c.writeProgress().queued > 0
}

// isEnding reports whether this side is closing the connection.
func (c *Conn) isEnding() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.state.acceptsInput()
}

// maxDiscard is how many bytes of input are discarded from a peer that keeps sending after this side has stopped reading,
// before the connection is closed. maxDiscardWithPendingReplies applies instead while replies to the peer are pending.
const (
	maxDiscard                   = 256 << 10
	maxDiscardWithPendingReplies = 8 << 20
)

// lingerClose shuts down the write side of a closing connection. Input is discarded until the peer has closed its own
// side or the linger timeout expires: a close with unread input would reset the connection, and the peer could lose the
// last bytes written.
func (c *Conn) lingerClose() {
	c.notifyClosed()
	c.closing.linger.Do(func() {
		if c.limits.LingerTimeout <= 0 || !c.shutdownWrites() {
			c.Close()
			return
		}
		time.AfterFunc(c.limits.LingerTimeout, c.Close)
	})
}

// shutdownWrites sends the end of the stream to the peer. It reports whether it could.
func (c *Conn) shutdownWrites() bool {
	c.flushMu.Lock()
	defer c.flushMu.Unlock()
	fd, ok := c.socket()
	return ok && !c.buffersFreed && unix.Shutdown(fd, unix.SHUT_WR) == nil
}

// notifyClosed calls Handler.Closed, once.
func (c *Conn) notifyClosed() { c.closing.notify.Do(c.handler.Closed) }

// transportClosed is netpoll's callback before it frees its buffers. Writing to a freed buffer panics in netpoll, and a
// peer may close the connection at any time during a write, so flushMu serializes the two.
func (c *Conn) transportClosed(netpoll.Connection) error {
	defer recoverHandler()
	c.closing.cleanup.Do(func() {
		if c.task != nil {
			c.task.release() // netpoll's cleanup, which follows, waits until the poller is done with the connection
		}
		c.input.timer.end()
		c.reserve(0) // read can't run any more
		c.input.partial = nil
		c.flushMu.Lock() // does not block for long: a write that waits for buffer space has already been woken
		c.buffersFreed = true
		c.flushMu.Unlock()
		c.mu.Lock()
		c.queue.closed = true
		if !c.queue.writing {
			c.dropQueue()
		}
		c.mu.Unlock()
		c.notifyClosed()
	})
	return nil
}

// dropQueue discards all queued messages. The caller holds c.mu.
func (c *Conn) dropQueue() {
	c.budget.add(-c.queue.bytes)
	c.queue.messages, c.queue.bytes = nil, 0
}
