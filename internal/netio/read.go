package netio

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cloudwego/netpoll"

	"hillknot/internal/clock"
)

// inputProgress is how far the input of a connection has come.
type inputProgress struct {
	consumedOnce atomic.Bool  // the handler has consumed something
	partialSince atomic.Int64 // reading of package clock when the message began that is not complete yet; 0: there is none
	unconsumed   int          // bytes that the handler has seen and left for its next call; Conn.mu guards it
	discarded    int          // bytes that came once input was no longer handed on; only read uses it
}

// isPartial says whether a message has begun that is not complete yet.
func (p *inputProgress) isPartial() bool { return p.partialSince.Load() > 0 }

// read hands input to the handler until that has consumed all of it, and waits, for a bounded time, for the rest of
// a message that is not complete. Netpoll calls it in a goroutine of its own while there is input; calls come one
// after the other.
func (c *Conn) read(_ context.Context, transport netpoll.Connection) error {
	reader, needed := transport.Reader(), 1
	for needed > 0 {
		buf, err := c.peek(reader, max(needed, reader.Len()))
		if err != nil { // closed, over the budget, or the rest did not come in time
			c.CloseAfterReplies(CloseInputEnded)
			return nil
		}
		if !c.beginDelivery() { // it crossed our close
			c.discard(reader, len(buf))
			return nil
		}
		needed = c.deliver(reader, buf)
	}
	return nil
}

// deliver has the handler consume input, and then takes the steps towards a close that had to wait for it. It
// returns how many bytes are to be there for the next call, or 0 where there is nothing to wait for.
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
	c.retireIfRequested()
	if remaining == 0 && needed <= 1 && reader.Len() == 0 {
		_ = c.transport.SetReadTimeout(c.limits.ReadTimeout)
		return 0
	}
	if c.limits.MessageTimeout > 0 { // a peer that sends byte by byte must not hold a message open for good
		timeLeft := messageBegan + c.limits.MessageTimeout - clock.Now()
		_ = c.transport.SetReadTimeout(max(min(c.limits.ReadTimeout, timeLeft), time.Millisecond))
	}
	return max(needed, remaining+1)
}

// failInput closes a connection whose input can't be used. What is pending is answered first.
func (c *Conn) failInput() {
	c.CloseAfterReplies(CloseMalformedInput)
	if h, ok := c.handler.(InputErrorHandler); ok {
		h.InputFailed()
	}
}

// discard throws away input that is handed to nobody. A peer that sends on and on is cut off, but not soon while
// replies to it are pending: it is not to lose them as long as that can be helped.
func (c *Conn) discard(reader netpoll.Reader, n int) {
	most := lingerMost
	if c.hasPendingReplies() {
		most = pendingMost
	}
	c.input.discarded += n
	if reader.Skip(n) != nil || reader.Release() != nil || c.input.discarded > most {
		c.Close()
	}
}

// beginDelivery says whether input may be handed on. The connection is not idle then until endDelivery.
func (c *Conn) beginDelivery() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.delivering = c.state.acceptsInput()
	return c.delivering
}

// endDelivery records what the handler made of its input: how many bytes it used, how many remain, and how many it
// needs for its next call. It returns when the message began that is not complete yet, or 0.
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

// peek waits for n bytes, which count against the budget meanwhile. The read time-out starts anew with each
// arrival, so that a long message may take its time, but not one whose sender has stopped.
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
