package netio

import (
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"

	"hillknot/internal/clock"
)

// The ways in which a connection is closed from our side, and what follows from its end.

// Close closes the connection at once. Input that has not been read resets it.
func (c *Conn) Close() {
	c.mu.Lock()
	c.state = c.state.after(stepShut)
	c.mu.Unlock()
	_ = c.transport.Close() // what can fail here is a connection that is closed already
}

// CloseAfterReplies closes the connection once its pending replies are sent: no more input is handed on, and what
// was handed on is answered. Where no reply is pending, it is CloseAfterWrites.
func (c *Conn) CloseAfterReplies(reason CloseReason) {
	c.traceClose(reason)
	c.mu.Lock()
	wait := c.delivering || c.hasPendingReplies()
	step := stepShut
	if wait {
		step = stepAwaitReplies
	}
	c.state = c.state.after(step)
	c.mu.Unlock()
	if !wait {
		c.CloseAfterWrites()
	}
}

// flushIfAnswered goes on with CloseAfterReplies once no reply is pending and no input is being handed on.
func (c *Conn) flushIfAnswered() {
	c.mu.Lock()
	answered := c.state == stateAwaitingReplies && !c.delivering && !c.hasPendingReplies()
	c.mu.Unlock()
	if answered {
		c.CloseAfterWrites()
	}
}

// CloseAfterWrites closes the connection once all that was sent is written. From now on, no input is handed on and
// nothing can be sent.
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

// SendAndClose sends a message and closes the connection once all is written.
func (c *Conn) SendAndClose(b []byte) {
	if err := c.Send(b); err != nil {
		return // closed, or about to be
	}
	c.CloseAfterWrites()
}

// CloseWhenIdle closes the connection once what was sent is written, unless by then a reply is pending or input has
// come. It then stays open until CloseWhenIdle is called again.
func (c *Conn) CloseWhenIdle() {
	c.mu.Lock()
	c.retireWhenIdle = true
	c.mu.Unlock()
	c.retireIfRequested()
}

// retireIfRequested does what CloseWhenIdle requests, once nothing is being written or handed on.
func (c *Conn) retireIfRequested() {
	c.mu.Lock()
	now := c.retireWhenIdle && !c.queue.writing && !c.delivering
	c.retireWhenIdle = c.retireWhenIdle && !now
	c.mu.Unlock()
	if now {
		c.retire(closeDraining, keepPartial)
	}
}

// retire closes the connection if it is idle.
func (c *Conn) retire(reason CloseReason, partial partialMessage) {
	if c.shutIfIdle(partial) {
		c.traceClose(reason)
		c.lingerClose()
	}
}

// partialMessage says whether a connection that is in the middle of a message counts as idle.
type partialMessage uint8

const (
	keepPartial partialMessage = iota // it is not idle
	dropPartial                       // it is idle, and the message is lost
)

// shutIfIdle shuts a connection on which no reply is pending, nothing waits to be written and no input has come,
// and says whether it did. It is one step: a request that was handed on before is answered, and one that comes
// later crosses our close and is handed to nobody.
func (c *Conn) shutIfIdle(partial partialMessage) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.state.acceptsInput() || c.delivering || c.queue.bytes > 0 || c.hasPendingReplies() {
		return false
	}
	if partial == keepPartial && (c.input.isPartial() || c.HasUnreadInput()) {
		return false
	}
	c.state = c.state.after(stepShut)
	return true
}

// hasUnacknowledgedOutput says whether the peer has yet to take some of what was written within the write time-out. To close
// the connection could lose it: input that crosses the close resets the connection, and what the system still holds goes
// with it.
func (c *Conn) hasUnacknowledgedOutput() bool {
	sinceWritten := clock.Now() - time.Duration(c.lastActive.Load())
	return sinceWritten < c.limits.WriteTimeout && c.writeProgress().queued > 0
}

// isEnding says whether the connection is being closed from our side.
func (c *Conn) isEnding() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.state.acceptsInput()
}

// lingerMost is how many bytes of input are discarded from a peer that sends on after our end, before it is cut
// off. pendingMost is that while replies to it are pending.
const (
	lingerMost  = 256 << 10
	pendingMost = 8 << 20
)

// lingerClose ends our side of a connection that is shut. Input is discarded until the peer has ended its own side,
// or the linger time is over: a close over unread input would reset the connection, and the peer could lose what
// was written last.
func (c *Conn) lingerClose() {
	c.notifyClosed()
	c.lingerOnce.Do(func() {
		if c.limits.LingerTimeout <= 0 || !c.shutdownWrites() {
			c.Close()
			return
		}
		time.AfterFunc(c.limits.LingerTimeout, c.Close)
	})
}

// shutdownWrites tells the peer that nothing more comes.
func (c *Conn) shutdownWrites() bool {
	c.flushMu.Lock()
	defer c.flushMu.Unlock()
	fd, ok := c.socket()
	return ok && !c.buffersFreed && unix.Shutdown(fd, unix.SHUT_WR) == nil
}

// notifyClosed tells the handler that no more input is handed on.
func (c *Conn) notifyClosed() { c.notifyOnce.Do(c.handler.Closed) }

// transportClosed is netpoll's call before it frees its buffers. A write to a buffer that is gone panics in
// netpoll, and a peer may close the connection at any moment of a write: hence flushMu.
func (c *Conn) transportClosed(netpoll.Connection) error {
	c.closeOnce.Do(func() {
		c.flushMu.Lock() // a write that waits for room has been woken by now
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

// dropQueue forgets what waits to be written. The caller holds c.mu.
func (c *Conn) dropQueue() {
	c.budget.add(-c.queue.bytes)
	c.queue.messages, c.queue.bytes = nil, 0
}
