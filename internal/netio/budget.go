package netio

import (
	"errors"
	"sync/atomic"
)

// ErrBudgetExceeded says that too many bytes are buffered for all peers together.
var ErrBudgetExceeded = errors.New("too many bytes held")

// Budget bounds the bytes that connections buffer together: of messages that are not complete yet, and of those
// that wait to be written. Its methods may be called from any goroutine.
type Budget struct{ limit, used atomic.Int64 }

// NewBudget returns a budget of that many bytes.
func NewBudget(limit int) *Budget {
	b := &Budget{}
	b.SetLimit(limit)
	return b
}

// SetLimit changes how many bytes may be buffered. What is buffered already stays.
func (b *Budget) SetLimit(limit int) { b.limit.Store(int64(limit)) }

// AboveHighWater says whether so much is buffered that no new request should be admitted: three quarters of the
// limit. The last quarter is there to finish those that were admitted.
func (b *Budget) AboveHighWater() bool { return b.used.Load() >= b.limit.Load()/4*3 }

// add counts n bytes whatever the limit; below 0 they are free again.
func (b *Budget) add(n int) { b.used.Add(int64(n)) }

// take counts n bytes if they fit, and says whether they did.
func (b *Budget) take(n int) bool {
	if b.used.Add(int64(n)) <= b.limit.Load() {
		return true
	}
	b.add(-n)
	return false
}
