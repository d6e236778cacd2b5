package core

import (
	"container/heap"
	"time"

	"hillknot/balancer"
)

// EndpointQuery asks for members to name to a resolver.
type EndpointQuery struct {
	Key          uint64
	MaxEndpoints int
	OnlyEndpoint balancer.EndpointID // the only member that will do; 0: any
	Load         float64
	TTL          time.Duration // how long the resolver may keep the answer
	Timeout      time.Duration
	Reply        func(QueryResult) // called once on the core's goroutine
}

// QueryResult answers a query. No member and no refusal says that there is none.
type QueryResult struct {
	Endpoints []*Endpoint
	Rejected  bool
}

type query struct {
	EndpointQuery
	id  balancer.RequestID
	end time.Duration
}

// Resolve takes a query.
func (c *Core) Resolve(q EndpointQuery) {
	if len(c.queries) >= c.lim.Resolves {
		q.Reply(QueryResult{Rejected: true})
		return
	}
	r := &query{EndpointQuery: q, id: c.NewID(), end: c.now + q.Timeout}
	c.queries[r.id] = r
	heap.Push(&c.timers, timer{at: r.end, query: r})
	c.decide(r)
}

// decide hands the query to the module.
func (c *Core) decide(q *query) {
	ev := balancer.Resolve{ID: q.id, Key: q.Key, MaxEndpoints: q.MaxEndpoints, OnlyEndpoint: q.OnlyEndpoint, Load: q.Load, TTL: q.TTL}
	c.events = append(c.events, ev)
}

// named answers a query with members, all of them in service as it is answered. Where one was lost since the
// decision, which was made on all that came in together, the query is decided again, until its time is over.
func (c *Core) named(a balancer.ResolveAnswer) {
	q := c.queries[a.ID]
	if q == nil {
		return
	}
	var ms []*Endpoint
	for _, n := range a.Endpoints {
		m := c.members[n]
		if m == nil || m.State != balancer.InService {
			if c.clock() < q.end {
				c.decide(q)
			} else {
				c.resolved(q.id, QueryResult{})
			}
			return
		}
		ms = append(ms, m)
	}
	c.resolved(q.id, QueryResult{Endpoints: ms})
}

func (c *Core) resolved(id balancer.RequestID, r QueryResult) {
	if q := c.queries[id]; q != nil {
		delete(c.queries, id)
		q.Reply(r)
	}
}
