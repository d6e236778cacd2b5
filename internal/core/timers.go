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
}

// timers is a heap of pending timers, the earliest first.
type timers []timer

func (t *timers) add(pending timer) { heap.Push(t, pending) }

// next returns the time at which the earliest timer is due, and whether any timer is pending.
func (t timers) next() (at time.Duration, pending bool) {
	if len(t) == 0 {
		return 0, false
	}
	return t[0].at, true
}

// popDue removes and returns the earliest timer if it is due, and reports whether it is.
func (t *timers) popDue(now time.Duration) (earliest timer, due bool) {
	if len(*t) == 0 || (*t)[0].at > now {
		return timer{}, false
	}
	return heap.Pop(t).(timer), true
}

// Len implements heap.Interface.
func (t timers) Len() int { return len(t) }

// Less implements heap.Interface.
func (t timers) Less(i, j int) bool { return t[i].at < t[j].at }

// Swap implements heap.Interface.
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push implements heap.Interface.
func (t *timers) Push(x any) { *t = append(*t, x.(timer)) }

// Pop implements heap.Interface.
func (t *timers) Pop() any {
	old := *t
	last := old[len(old)-1]
	old[len(old)-1] = timer{} // otherwise the array would keep the timer's references alive
	*t = old[:len(old)-1]
	return last
}

// fire carries out the action of a timer that is due.
func (c *Core) fire(t timer) {
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
