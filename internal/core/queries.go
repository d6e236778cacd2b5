package core

import (
	"time"

	"hillknot/balancer"
)

// EndpointQuery asks for endpoints that a DNS resolver may return to its clients.
type EndpointQuery struct {
	Key          uint64 // identifies the resolver's clients: the same key gets similar endpoints
	MaxEndpoints int
	OnlyEndpoint balancer.EndpointID // the only endpoint that is acceptable; 0: any
	Load         float64             // seconds of service time that the resolver's clients request per second
	TTL          time.Duration       // how long the resolver may cache the result
	Timeout      time.Duration
	Reply        func(QueryResult) // called once on the core's goroutine
}

// QueryResult is the result of an EndpointQuery. If it has no endpoint and is not rejected, no endpoint is available.
type QueryResult struct {
	Endpoints []*Endpoint
	Rejected  bool
}

// query is an EndpointQuery that awaits its result.
type query struct {
	EndpointQuery
	id       balancer.RequestID
	deadline time.Duration
	timeout  *timer
}

// Resolve takes a query. It rejects the query at once if too many are open.
func (c *Core) Resolve(q EndpointQuery) {
	if len(c.queries) >= c.limits.OpenQueries {
		q.Reply(QueryResult{Rejected: true})
		return
	}
	pending := &query{EndpointQuery: q, id: c.NewID(), deadline: c.iteration.now + q.Timeout}
	c.queries[pending.id] = pending
	pending.timeout = c.timers.add(timer{at: pending.deadline, query: pending})
	c.startQuery(pending)
}

// startQuery passes a query to the module.
func (c *Core) startQuery(q *query) {
	c.emit(balancer.Resolve{
		ID:           q.id,
		Key:          q.Key,
		MaxEndpoints: q.MaxEndpoints,
		OnlyEndpoint: q.OnlyEndpoint,
		Load:         q.Load,
		TTL:          q.TTL,
	})
}

// answerQuery completes a query with the endpoints that the module chose, if all of them are in service now. If one was
// lost since the module decided, the module decides again, until the query's deadline.
func (c *Core) answerQuery(answer balancer.ResolveAnswer) {
	q := c.queries[answer.ID]
	if q == nil {
		return
	}
	var endpoints []*Endpoint
	for _, id := range answer.Endpoints {
		e := c.endpoints.byID[id]
		if e == nil || e.State != balancer.InService {
			c.retryQuery(q)
			return
		}
		endpoints = append(endpoints, e)
	}
	c.completeQuery(q.id, QueryResult{Endpoints: endpoints})
}

// retryQuery has the module decide on a query again, or completes it without an endpoint if no time is left.
func (c *Core) retryQuery(q *query) {
	if c.clock() < q.deadline {
		c.startQuery(q)
		return
	}
	c.completeQuery(q.id, QueryResult{})
}

// completeQuery ends a query with a result. An unknown id is ignored.
func (c *Core) completeQuery(id balancer.RequestID, result QueryResult) {
	if q := c.queries[id]; q != nil {
		delete(c.queries, id)
		c.timers.remove(q.timeout)
		q.Reply(result)
	}
}
