package netio

import (
	"context"
	"time"

	"github.com/cloudwego/netpoll"

	"hillknot/internal/clock"
)

// Reading: what has come in is handed on until the parser has used all of it.

// read runs while bytes are there, in a goroutine of netpoll's. It hands them on until the parser has used
// them all, and waits, for a bounded time, for the rest of a message that is cut.
func (c *Conn) read(_ context.Context, nc netpoll.Connection) error {
	r, want := nc.Reader(), 1
	for {
		buf, err := c.peek(r, max(want, r.Len()))
		if err != nil { // closed, too much, or the rest did not come in time
			c.CloseAfterReplies(CloseInputEnded)
			return nil
		}
		if !c.begin() { // it crossed our close
			most := lingerMost
			if c.owed.Load() > 0 { // nobody is to lose an answer as long as that can be helped
				most = owingMost
			}
			if c.thrown += len(buf); r.Skip(len(buf)) != nil || r.Release() != nil || c.thrown > most {
				c.Close()
			}
			return nil
		}
		c.active.Store(int64(clock.Now()))
		used, more, err := c.h.Consume(buf)
		if err == nil {
			err = r.Skip(used)
		}
		rest := len(buf) - used
		began := c.finish(used > 0, rest > 0 || more > 1, rest)
		if err != nil {
			c.CloseAfterReplies(CloseMalformedInput)
			if h, ok := c.h.(InputErrorHandler); ok {
				h.InputFailed()
			}
			return nil
		}
		c.closeSettled()
		if used > 0 {
			c.spoke.Store(true)
			_ = r.Release() // fails only after a close, which the next Peek tells
		}
		c.closeIfLeaving()
		if rest == 0 && more <= 1 && r.Len() == 0 {
			_ = nc.SetReadTimeout(c.lim.Read)
			return nil
		}
		want = max(more, rest+1)
		if c.lim.Whole > 0 { // a peer that sends byte by byte must not hold a message open for good
			_ = nc.SetReadTimeout(max(min(c.lim.Read, began+c.lim.Whole-clock.Now()), time.Millisecond))
		}
	}
}

// begin tells whether what has come in may be handed on, and has the connection not rest until finish.
func (c *Conn) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.taking = !c.shut
	return c.taking
}

// finish notes what the handler made of it, and returns when the message began that is not whole yet, if there is one.
func (c *Conn) finish(used, half bool, rest int) (began time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.taking, c.kept = false, rest
	switch {
	case !half:
		c.half.Store(0)
	case used || c.half.Load() == 0:
		c.half.Store(int64(clock.Now()))
	}
	return time.Duration(c.half.Load())
}

// peek waits for n bytes, which count as held meanwhile. The read time-out runs from the latest that came, so
// that a long message may take its time, but not one that has stopped short.
func (c *Conn) peek(r netpoll.Reader, n int) ([]byte, error) {
	if n > r.Len() {
		if !c.budget.take(n) {
			return nil, ErrBudgetExceeded
		}
		defer c.budget.add(-n)
	}
	for have := r.Len(); have < n; have = r.Len() {
		if _, err := r.Peek(have + 1); err != nil {
			return nil, err
		}
	}
	return r.Peek(n)
}
