package netio

import (
	"errors"
	"sync/atomic"
)

// ErrBudgetExceeded is returned when a message does not fit into the budget of bytes that all connections share.
var ErrBudgetExceeded = errors.New("shared byte budget exceeded")

// Budget bounds the total number of bytes that connections buffer: those of incomplete incoming messages and those of
// messages that wait to be written, and those of the requests and answers that a front end or the upstream counts. Its methods may be called from any goroutine.
type Budget struct{ limit, used atomic.Int64 }

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int) *Budget {
	b := &Budget{}
	b.SetLimit(limit)
	return b
}

// SetLimit changes how many bytes may be buffered. Bytes that are already buffered stay, even if they exceed the limit.
func (b *Budget) SetLimit(limit int) { b.limit.Store(int64(limit)) }

// AboveHighWater reports whether at least three quarters of the limit are in use, so that no new request should be
// admitted. The last quarter is reserved for finishing the requests that were already admitted.
func (b *Budget) AboveHighWater() bool { return b.used.Load() >= b.limit.Load()/4*3 }

// Take counts n bytes if they fit within the limit, and reports whether they did. The caller gives them back with Release.
func (b *Budget) Take(n int) bool { return b.take(n) }

// Release stops counting n bytes.
func (b *Budget) Release(n int) { b.add(-n) }

// add counts n bytes regardless of the limit. A negative n releases bytes.
func (b *Budget) add(n int) { b.used.Add(int64(n)) }

// take counts n bytes if they fit within the limit, and reports whether they did.
func (b *Budget) take(n int) bool {
	if b.used.Add(int64(n)) <= b.limit.Load() {
		return true
	}
	b.add(-n)
	return false
}

// Used returns the number of bytes that are counted now.
func (b *Budget) Used() int64 { return b.used.Load() }
