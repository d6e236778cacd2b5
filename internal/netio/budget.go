package netio

import (
	"errors"
	"sync/atomic"
)

// ErrBudgetExceeded says that too many bytes are held for all peers together.
var ErrBudgetExceeded = errors.New("too many bytes held")

// Budget bounds the bytes that connections hold together: of messages that are not whole yet, and of what
// waits to be written.
type Budget struct{ max, used atomic.Int64 }

// NewBudget returns a budget of so many bytes.
func NewBudget(max int) *Budget {
	b := &Budget{}
	b.SetLimit(max)
	return b
}

// SetLimit changes how many bytes may be held. What is held already stays.
func (b *Budget) SetLimit(max int) { b.max.Store(int64(max)) }

// AboveHighWater tells whether so much is held that nothing new should be taken. Up to the whole, what has been taken can
// still be finished.
func (b *Budget) AboveHighWater() bool { return b.used.Load() >= b.max.Load()/4*3 }

func (b *Budget) add(n int) { b.used.Add(int64(n)) }

// take adds n where that fits.
func (b *Budget) take(n int) bool {
	if b.used.Add(int64(n)) <= b.max.Load() {
		return true
	}
	b.add(-n)
	return false
}
