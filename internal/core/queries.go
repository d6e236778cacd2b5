package core

import (
	"time"

	"hillknot/balancer"
)

// EndpointQuery asks for endpoints that a DNS resolver may name to its clients.
type EndpointQuery struct {
	Key          uint64 // of the resolver's clients: the same key gets similar endpoints
	MaxEndpoints int
	OnlyEndpoint balancer.EndpointID // the only one that will do; 0: any
	Load         float64             // seconds of service time that the resolver's clients ask for each second
	TTL          time.Duration       // how long the resolver may cache the result
	Timeout      time.Duration
	Reply        func(QueryResult) // called once on the core's goroutine
}

// QueryResult is the result of an EndpointQuery. Where it has no endpoint and is not rejected, there is none.
type QueryResult struct {
	Endpoints []*Endpoint
	Rejected  bool
}

// query is an EndpointQuery that awaits its result.
type query struct {
	EndpointQuery
	id       balancer.RequestID
	deadline time.Duration
}

// Resolve takes a query.
func (c *Core) Resolve(q EndpointQuery) {
	if len(c.queries) >= c.limits.OpenQueries {
		q.Reply(QueryResult{Rejected: true})
		return
	}
	pending := &query{EndpointQuery: q, id: c.NewID(), deadline: c.iteration.now + q.Timeout}
	c.queries[pending.id] = pending
	c.timers.add(timer{at: pending.deadline, query: pending})
	c.startQuery(pending)
}

// startQuery hands a query to the module.
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

// answerQuery completes a query with endpoints that are all in service at that moment. The module decided by all
// that came in together: where an endpoint was lost since, it decides anew, until the query's deadline.
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

// retryQuery has the module decide on a query once more, if there is time left.
func (c *Core) retryQuery(q *query) {
	if c.clock() < q.deadline {
		c.startQuery(q)
		return
	}
	c.completeQuery(q.id, QueryResult{})
}

// completeQuery gives the result of a query. An unknown id is ignored.
func (c *Core) completeQuery(id balancer.RequestID, result QueryResult) {
	if q := c.queries[id]; q != nil {
		delete(c.queries, id)
		q.Reply(result)
	}
}
