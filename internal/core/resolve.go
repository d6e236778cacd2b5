package core

import (
	"container/heap"
	"time"

	"hillknot/balancer"
)

// Query asks for members to name to a resolver.
type Query struct {
	Key   uint64
	Want  int
	Only  balancer.EndpointID // the only member that will do; 0: any
	Load  float64
	Hold  time.Duration // how long the resolver may keep the answer
	Limit time.Duration
	Reply func(Resolved) // called once on the core's goroutine
}

// Resolved answers a query. No member and no refusal says that there is none.
type Resolved struct {
	Members []*Member
	Refused bool
}

type query struct {
	Query
	id  balancer.RequestID
	end time.Duration
}

// Resolve takes a query.
func (c *Core) Resolve(q Query) {
	if len(c.queries) >= c.lim.Resolves {
		q.Reply(Resolved{Refused: true})
		return
	}
	r := &query{Query: q, id: c.NewID(), end: c.now + q.Limit}
	c.queries[r.id] = r
	heap.Push(&c.timers, timer{at: r.end, query: r})
	c.decide(r)
}

// decide hands the query to the module.
func (c *Core) decide(q *query) {
	ev := balancer.Resolve{ID: q.id, Key: q.Key, MaxEndpoints: q.Want, OnlyEndpoint: q.Only, Load: q.Load, TTL: q.Hold}
	c.events = append(c.events, ev)
}

// named answers a query with members, all of them in service as it is answered. Where one was lost since the
// decision, which was made on all that came in together, the query is decided again, until its time is over.
func (c *Core) named(a balancer.ResolveAnswer) {
	q := c.queries[a.ID]
	if q == nil {
		return
	}
	var ms []*Member
	for _, n := range a.Endpoints {
		m := c.members[n]
		if m == nil || m.State != balancer.InService {
			if c.clock() < q.end {
				c.decide(q)
			} else {
				c.resolved(q.id, Resolved{})
			}
			return
		}
		ms = append(ms, m)
	}
	c.resolved(q.id, Resolved{Members: ms})
}

func (c *Core) resolved(id balancer.RequestID, r Resolved) {
	if q := c.queries[id]; q != nil {
		delete(c.queries, id)
		q.Reply(r)
	}
}
