package core

import (
	"container/heap"
	"time"

	"hillknot/balancer"
)

// timer is due at a time, for one of: a call, a query's timeout, an attempt's timeout, a request's deadline or, if all
// of these are nil, a token of the module.
type timer struct {
	at      time.Duration
	call    func()
	query   *query
	attempt *Attempt
	request *request
	token   uint64
	index   int // in the heap, if pending is set
	pending bool
}

// timers is a heap of pending timers, the earliest first.
type timers []*timer

// add adds a timer and returns it, for a call of remove.
func (t *timers) add(added timer) *timer {
	added.pending = true
	heap.Push(t, &added)
	return &added
}

// remove removes a timer that is no longer needed, so that it does not keep what it refers to in memory until it is due. It
// ignores nil and a timer that was due or removed before.
func (t *timers) remove(removed *timer) {
	if removed != nil && removed.pending {
		heap.Remove(t, removed.index)
	}
}

// next returns the time at which the earliest timer is due, and whether any timer is pending.
func (t timers) next() (at time.Duration, pending bool) {
	if len(t) == 0 {
		return 0, false
	}
	return t[0].at, true
}

// popDue removes and returns the earliest timer if it is due, and reports whether it is.
func (t *timers) popDue(now time.Duration) (earliest *timer, due bool) {
	if len(*t) == 0 || (*t)[0].at > now {
		return nil, false
	}
	return heap.Pop(t).(*timer), true
}

// Len implements heap.Interface.
func (t timers) Len() int { return len(t) }

// Less implements heap.Interface.
func (t timers) Less(i, j int) bool { return t[i].at < t[j].at }

// Swap implements heap.Interface.
func (t timers) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].index, t[j].index = i, j
}

// Push implements heap.Interface.
func (t *timers) Push(x any) {
	added := x.(*timer)
	added.index = len(*t)
	*t = append(*t, added)
}

// Pop implements heap.Interface.
func (t *timers) Pop() any {
	old := *t
	last := old[len(old)-1]
	old[len(old)-1] = nil // otherwise the array would keep the timer's references alive
	last.pending = false
	*t = old[:len(old)-1]
	return last
}

// fire carries out the action of a timer that is due.
func (c *Core) fire(t *timer) {
	switch {
	case t.call != nil:
		t.call()
	case t.query != nil:
		c.completeQuery(t.query.id, QueryResult{})
	case t.attempt != nil:
		c.timeOutAttempt(t.attempt)
	case t.request != nil:
		c.expireRequest(t.request)
	default:
		c.emit(balancer.Timer{Token: t.token})
	}
}
