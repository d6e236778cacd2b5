package core

import (
	"time"

	"hillknot/balancer"
)

// Timers of the loop.

// timer is due for one of: a token of the module, an attempt's time-out, the end of a request or a query, a call.
type timer struct {
	call    func()
	at      time.Duration
	token   uint64
	query   *query
	attempt *Attempt
	request *request
}

type timers []timer

func (t timers) Len() int { return len(t) }

func (t timers) Less(i, j int) bool { return t[i].at < t[j].at }

func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

func (t *timers) Push(x any) { *t = append(*t, x.(timer)) }

func (t *timers) Pop() any {
	old := *t
	last := old[len(old)-1]
	old[len(old)-1] = timer{}
	*t = old[:len(old)-1]
	return last
}

func (c *Core) due(t timer) {
	switch r := t.request; {
	case t.call != nil:
		t.call()
	case t.query != nil:
		c.resolved(t.query.id, QueryResult{})
	case t.attempt != nil:
		c.timeOut(t.attempt)
	case r == nil:
		c.events = append(c.events, balancer.Timer{Token: t.token})
	case c.open[r.id] != r:
	case r.attempt != nil:
		c.timeOut(r.attempt)
		c.settle() // the module has the final answer to give
		fallthrough
	default:
		if c.open[r.id] == r { // it did not: the answer is owed all the same
			c.overdue(r)
		}
	}
}
