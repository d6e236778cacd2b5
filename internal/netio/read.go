package netio

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cloudwego/netpoll"

	"hillknot/internal/clock"
)

// inputProgress records how much input a connection has received and consumed.
type inputProgress struct {
	consumedOnce atomic.Bool  // the handler has consumed at least one byte
	partialSince atomic.Int64 // reading of package clock when the incomplete message began; 0: no message is incomplete
	unconsumed   int          // bytes that the handler has seen and left for its next call; Conn.mu guards it
	discarded    int          // bytes that arrived after this side began to close; only the goroutine of Conn.read uses it
}

// isPartial reports whether an incoming message is incomplete.
func (p *inputProgress) isPartial() bool { return p.partialSince.Load() > 0 }

// read passes input to the handler until the handler has consumed all of it, and waits for a bounded time for the rest of
// an incomplete message. Netpoll calls read in a separate goroutine while there is input; calls are never concurrent.
func (c *Conn) read(_ context.Context, transport netpoll.Connection) error {
	reader, needed := transport.Reader(), 1
	for needed > 0 {
		buf, err := c.peek(reader, max(needed, reader.Len()))
		if err != nil { // closed, over the budget, or the rest did not arrive in time
			c.CloseAfterReplies(CloseInputEnded)
			return nil
		}
		if !c.beginDelivery() { // the input arrived after this side began to close
			c.discard(reader, len(buf))
			return nil
		}
		needed = c.deliver(reader, buf)
	}
	return nil
}

// deliver lets the handler consume input, and then continues a close that had to wait for the handler. It returns how
// many bytes must be available for the next call, or 0 if there is nothing to wait for.
func (c *Conn) deliver(reader netpoll.Reader, buf []byte) (next int) {
	c.lastActive.Store(int64(clock.Now()))
	used, needed, err := c.handler.Consume(buf)
	if err == nil {
		err = reader.Skip(used)
	}
	remaining := len(buf) - used
	messageBegan := c.endDelivery(used, remaining, needed)
	if err != nil {
		c.failInput()
		return 0
	}
	c.flushIfAnswered()
	if used > 0 {
		c.input.consumedOnce.Store(true)
		_ = reader.Release() // fails only after a close, which the next Peek reports
	}
	c.closeIdleIfRequested()
	if remaining == 0 && needed <= 1 && reader.Len() == 0 {
		_ = c.transport.SetReadTimeout(c.limits.ReadTimeout)
		return 0
	}
	if c.limits.MessageTimeout > 0 { // a peer that sends single bytes must not keep a message incomplete forever
		timeLeft := messageBegan + c.limits.MessageTimeout - clock.Now()
		_ = c.transport.SetReadTimeout(max(min(c.limits.ReadTimeout, timeLeft), time.Millisecond))
	}
	return max(needed, remaining+1)
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
func (c *Conn) discard(reader netpoll.Reader, n int) {
	limit := maxDiscard
	if c.hasPendingReplies() {
		limit = maxDiscardWithPendingReplies
	}
	c.input.discarded += n
	if reader.Skip(n) != nil || reader.Release() != nil || c.input.discarded > limit {
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
// needs for its next call. It returns when the incomplete message began as a reading of package clock, or 0 if no message
// is incomplete.
func (c *Conn) endDelivery(used, remaining, needed int) (messageBegan time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.delivering, c.input.unconsumed = false, remaining
	switch partial := remaining > 0 || needed > 1; {
	case !partial:
		c.input.partialSince.Store(0)
	case used > 0 || !c.input.isPartial():
		c.input.partialSince.Store(int64(clock.Now()))
	}
	return time.Duration(c.input.partialSince.Load())
}

// peek waits for n bytes and returns them. While it waits, the bytes count against the budget. The read timeout restarts
// whenever bytes arrive, so a long message may take longer than the timeout, unless its sender stops.
func (c *Conn) peek(reader netpoll.Reader, n int) ([]byte, error) {
	if n > reader.Len() {
		if !c.budget.take(n) {
			return nil, ErrBudgetExceeded
		}
		defer c.budget.add(-n)
	}
	for have := reader.Len(); have < n; have = reader.Len() {
		if _, err := reader.Peek(have + 1); err != nil {
			return nil, err
		}
	}
	return reader.Peek(n)
}
