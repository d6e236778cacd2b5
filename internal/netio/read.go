package netio

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/netpoll"

	"hillknot/internal/clock"
)

// inputProgress records how much input a connection has received and consumed.
type inputProgress struct {
	consumedOnce atomic.Bool   // the handler has consumed at least one byte
	partialSince atomic.Int64  // reading of package clock when the incomplete message began; 0: no message is incomplete
	taken        atomic.Uint64 // bytes that were taken out of netpoll's buffer, to be handled or discarded
	timer        partialTimer  // ends a message that stays incomplete

	// Only the goroutine of Conn.read uses these fields.
	discarded int    // bytes that arrived after this side began to close
	partial   []byte // the incomplete message
	needed    int    // bytes that partial must hold before the handler is called again
	reserved  int    // bytes that count against the budget for the incomplete message
}

// isPartial reports whether an incoming message is incomplete.
func (p *inputProgress) isPartial() bool { return p.partialSince.Load() > 0 }

// maxRetainedPartial is the largest capacity, in bytes, of a buffer for incomplete messages that is used again.
const maxRetainedPartial = 4 << 10

// A connection on which more input waits is closed. The poller reads no more than two receive buffers at a time, unless it could
// not wait for the handler: because the peer sent before the connection was set up, or the handler blocked.
const (
	maxReceiveBuffers = 4       // on a dialed connection, in receive buffers
	maxUnreadInput    = 8 << 20 // on any connection, in bytes
)

// read passes input to the handler. Netpoll calls it in a separate goroutine while there is input; calls are never concurrent.
// It never waits: an incomplete message is kept until its rest arrives.
func (c *Conn) read(_ context.Context, transport netpoll.Connection) error {
	if task := gate.claim(); task != nil {
		c.task = task
	}
	reader := transport.Reader()
	length := reader.Len()
	if length == 0 {
		return nil
	}
	if c.origin.dialed && c.limits.ReceiveBuffer > 0 && length > maxReceiveBuffers*c.limits.ReceiveBuffer || length > maxUnreadInput {
		c.recordClose(closeInputFlood)
		c.Close()
		return nil
	}
	received, err := reader.Next(length)
	if err != nil { // the connection has closed
		c.CloseAfterReplies(CloseInputEnded)
		return nil
	}
	c.receive(received)
	_ = reader.Release() // fails only after a close, which the next call reports
	return nil
}

// receive passes received bytes to the handler, or discards them if this side has begun to close.
func (c *Conn) receive(received []byte) {
	accepted := c.beginDelivery()
	c.input.taken.Add(uint64(len(received))) // only now, so that the bytes count as unread or as being handled at any time
	if !accepted {
		c.discard(len(received))
		return
	}
	c.lastActive.Store(int64(clock.Now()))
	buf := received
	if len(c.input.partial) > 0 {
		c.input.partial = append(c.input.partial, received...)
		buf = c.input.partial
	}
	if len(buf) < c.input.needed {
		c.endDelivery(0, len(buf), c.input.needed)
		c.awaitRest()
		return
	}
	c.deliver(buf)
}

// deliver lets the handler consume input, keeps what it leaves, and then continues a close that had to wait for the handler.
func (c *Conn) deliver(buf []byte) {
	used, needed, err := c.handler.Consume(buf)
	remaining := len(buf) - used
	if err == nil && !c.keepPartial(buf[used:], needed) {
		c.endDelivery(used, remaining, needed)
		c.CloseAfterReplies(CloseInputEnded)
		return
	}
	c.endDelivery(used, remaining, needed)
	if err != nil {
		c.failInput()
		return
	}
	if used > 0 {
		c.input.consumedOnce.Store(true)
	}
	c.flushIfAnswered()
	c.closeIdleIfRequested()
	c.awaitRest()
}

// keepPartial keeps the bytes that the handler has left for its next call, for which it needs a number of bytes. It reports
// whether the budget has room for them.
func (c *Conn) keepPartial(rest []byte, needed int) bool {
	if len(rest) == 0 && needed <= 1 {
		needed = 0
	}
	if !c.reserve(max(len(rest), needed)) {
		return false
	}
	c.input.needed = needed
	isKept := len(rest) > 0 && len(rest) == len(c.input.partial) // nothing of the buffer was consumed
	switch {
	case isKept && cap(c.input.partial) >= needed:
	case len(rest) == 0 && cap(c.input.partial) > maxRetainedPartial:
		c.input.partial = nil
	case cap(c.input.partial) >= max(len(rest), needed) && cap(c.input.partial) <= maxRetainedPartial:
		c.input.partial = append(c.input.partial[:0], rest...)
	case len(rest) > 0:
		c.input.partial = append(make([]byte, 0, max(len(rest), needed)), rest...)
	default:
		c.input.partial = c.input.partial[:0]
	}
	return true
}

// reserve changes how many bytes count against the budget for the incomplete message. It reports whether the budget has room
// for them; if not, none count any more.
func (c *Conn) reserve(size int) bool {
	c.budget.add(-c.input.reserved)
	c.input.reserved = 0
	if size > 0 && !c.budget.take(size) {
		return false
	}
	c.input.reserved = size
	return true
}

// awaitRest limits the time in which the rest of an incomplete message must arrive, or ends that limit if the message is
// complete.
func (c *Conn) awaitRest() {
	began := time.Duration(c.input.partialSince.Load())
	if began == 0 {
		c.input.timer.stop()
		return
	}
	now := clock.Now()
	deadline := now + c.limits.ReadTimeout
	if c.limits.MessageTimeout > 0 { // a peer that sends single bytes must not keep a message incomplete forever
		deadline = min(deadline, began+c.limits.MessageTimeout)
	}
	c.input.timer.start(deadline, max(deadline-now, time.Millisecond), c.closeIncomplete)
}

// PendingInputDelay is how long a time-out that is due waits for bytes that have arrived and are not handled yet: a process that was
// stopped finds its timers due before it has read its sockets.
const PendingInputDelay = 10 * time.Millisecond

// closeIncomplete closes the connection if the rest of its incomplete message has not arrived in time.
func (c *Conn) closeIncomplete() {
	// Looked up first, so that bytes that the handler gets meanwhile show here or in the state of the message.
	isPending := c.HasPendingInput()
	now := clock.Now()
	switch deadline := c.input.timer.deadline(); {
	case deadline == 0 || !c.input.isPartial():
	case now < deadline:
		c.input.timer.start(deadline, deadline-now, c.closeIncomplete)
	case isPending && !c.isEnding():
		c.input.timer.start(deadline, PendingInputDelay, c.closeIncomplete)
	default:
		c.CloseAfterReplies(CloseInputEnded)
	}
}

// partialTimer calls a function when an incomplete message is out of time. Its methods may be called from any goroutine.
type partialTimer struct {
	mu      sync.Mutex
	timer   *time.Timer
	due     time.Duration // reading of package clock; 0: the timer is stopped
	expired bool          // the connection has closed, and no timer is started any more
}

// start sets the deadline, and has check called after a delay.
func (t *partialTimer) start(deadline, delay time.Duration, check func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.expired:
		return
	case t.timer == nil:
		t.timer = time.AfterFunc(delay, check)
	default:
		t.timer.Reset(delay)
	}
	t.due = deadline
}

func (t *partialTimer) deadline() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.due
}

// stop ends the deadline. The timer may still call its function once, which then finds no deadline.
func (t *partialTimer) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.due != 0 {
		t.timer.Stop()
		t.due = 0
	}
}

// end ends the timer for good.
func (t *partialTimer) end() {
	t.stop()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expired = true
}

// failInput closes a connection whose input is malformed, once the pending replies are sent.
func (c *Conn) failInput() {
	c.CloseAfterReplies(CloseMalformedInput)
	if h, ok := c.handler.(InputErrorHandler); ok {
		h.InputFailed()
	}
}

// discard drops n bytes of input that arrived after this side began to close. A peer that keeps sending is disconnected
// after maxDiscard bytes. The limit is higher while replies to the peer are pending, so that they are rarely lost.
func (c *Conn) discard(n int) {
	limit := maxDiscard
	if c.hasPendingReplies() {
		limit = maxDiscardWithPendingReplies
	}
	c.input.discarded += n
	if c.input.discarded > limit {
		c.Close()
	}
}

// beginDelivery reports whether the handler may get input. If so, the connection does not count as idle until endDelivery.
func (c *Conn) beginDelivery() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.delivering = c.state.acceptsInput()
	return c.delivering
}

// endDelivery records the result of Handler.Consume: how many bytes the handler used, how many remain, and how many it
// needs for its next call.
func (c *Conn) endDelivery(used, remaining, needed int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.delivering = false
	switch partial := remaining > 0 || needed > 1; {
	case !partial:
		c.input.partialSince.Store(0)
	case used > 0 || !c.input.isPartial():
		c.input.partialSince.Store(int64(clock.Now()))
	}
}
