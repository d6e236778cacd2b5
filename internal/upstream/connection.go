package upstream

import (
	"time"

	"hillknot/balancer"
	"hillknot/internal/agingset"
	"hillknot/internal/core"
	"hillknot/internal/netio"
)

// connection is one connection to an endpoint. As long as the pool may grow, it carries one attempt at a time, so that a
// long response does not delay other attempts. It implements netio.Handler; its other methods must be called from the
// core's goroutine.
type connection struct {
	client    *Client
	pool      *pool
	transport *netio.Conn
	awaited   awaitedResponses         // any goroutine may use it
	inFlight  map[string]*core.Attempt // by txn
	draining  bool                     // the connection carries no new attempts, and closes after the last response

	idleSince     time.Duration // reading of the core's clock; valid while nothing is in flight
	awaitingSince time.Duration // reading of the core's clock at the first write after an idle time, or at the latest response

	// unserved holds requests that got a response on this connection and were not served. A response may arrive twice, the
	// second time late. It would then be mistaken for the response to the next attempt of the request, which may be running.
	unserved agingset.Set
}

// attach sets the transport of a connection that is being dialed, and returns the connection as its handler.
func (c *connection) attach(transport *netio.Conn) netio.Handler {
	c.transport = transport
	return c
}

// isSilent reports whether a response is awaited and none has arrived for longer than limits.UpstreamSilence, as on a
// connection that was lost without a close. Other connections to the same endpoint may be healthy.
func (c *connection) isSilent() bool {
	return len(c.inFlight) > 0 && c.client.now()-c.awaitingSince > c.client.limits.UpstreamSilence
}

// mayGetDuplicateFor reports whether a duplicate of an earlier response on this connection could be mistaken for the
// response to an attempt. The duplicate could wrongly prove that an order never ran, and the order would then run again, so
// such an attempt must be sent on another connection.
func (c *connection) mayGetDuplicateFor(a *core.Attempt) bool {
	return a.NonIdempotent && c.unserved.Contains(a.Request.Txn)
}

// canCarry reports whether an attempt may be sent on the connection.
func (c *connection) canCarry(a *core.Attempt) bool {
	return !c.draining && !c.isSilent() && c.inFlight[a.Request.Txn] == nil && !c.mayGetDuplicateFor(a)
}

// preferredTo reports whether the connection has fewer attempts in flight than the other one, or as many and was used more
// recently.
func (c *connection) preferredTo(other *connection) bool {
	if len(c.inFlight) != len(other.inFlight) {
		return len(c.inFlight) < len(other.inFlight)
	}
	return c.idleSince > other.idleSince
}

// add records that an attempt was written on the connection.
func (c *connection) add(a *core.Attempt) {
	if len(c.inFlight) == 0 {
		c.awaitingSince = c.client.now()
	}
	c.inFlight[a.Request.Txn] = a
	c.client.inFlight[a] = c
}

// remove records that an attempt on the connection has ended.
func (c *connection) remove(a *core.Attempt) {
	delete(c.inFlight, a.Request.Txn)
	delete(c.client.inFlight, a)
	c.awaited.remove(a.Request.Txn)
}

// becomeIdle records that the connection is idle, and writes waiting attempts on it until one is in flight.
func (c *connection) becomeIdle() {
	c.idleSince = c.client.now()
	for !c.draining && len(c.inFlight) == 0 {
		a := c.pool.popWaitingFor(c)
		if a == nil {
			return
		}
		c.client.write(c, a)
	}
}

// cancel cancels an attempt that was written on the connection.
func (c *connection) cancel(a *core.Attempt) {
	if c.isSilent() {
		c.draining = true
	}
	c.idleSince = c.client.now()
	c.remove(a)
	c.abandon(a.Request.Txn)
	if err := c.writeCancel(a.Request.Txn); err != nil {
		c.fail()
		return
	}
	switch {
	case len(c.inFlight) > 0:
	case c.pool.closed:
		c.close()
	default:
		c.becomeIdle()
	}
}

// abandon records that a request may still run at the endpoint.
func (c *connection) abandon(txn string) {
	c.pool.abandoned.Add(txn, c.client.now(), c.client.limits.LongestDeadline)
}

func (c *connection) writeCancel(txn string) error {
	return c.transport.WriteSync(appendCancel(nil, txn))
}

// close closes the connection and removes it from its pool.
func (c *connection) close() {
	c.transport.Close()
	if c.pool.remove(c) {
		c.client.connCount--
	}
}

// fail closes a connection that can no longer be used, and completes the attempts in flight on it with balancer.Reset,
// because they may have run.
func (c *connection) fail() {
	c.draining = true
	c.close()
	for _, a := range c.inFlight {
		c.remove(a)
		c.abandon(a.Request.Txn)
		c.client.complete(a, balancer.Reset)
	}
}

// Consume implements netio.Handler.
func (c *connection) Consume(buf []byte) (used, needed int, err error) {
	for {
		r, progress, err := parseResponse(buf[used:], c.client.limits.ResponseLineBytes, c.client.limits.ObjectBytes)
		if err != nil || progress.consumed == 0 {
			return used, progress.needed, err
		}
		if err := c.read(r); err != nil {
			return used, 0, err
		}
		used += progress.consumed
	}
}

// read passes a response on to the core's goroutine if it is awaited. Its body counts against the budget until then; a body that
// does not fit is dropped.
func (c *connection) read(r response) error {
	if _, known := statuses[string(r.status)]; !known {
		return errMalformedResponse
	}
	txn := string(r.txn)
	if !c.awaited.remove(txn) {
		c.reportActivity()
		return nil
	}
	counted := len(r.body)
	fits := c.client.budget.Take(counted)
	if !fits {
		r.body, counted = nil, 0
	}
	result, err := r.result()
	if err != nil {
		return err
	}
	result.BodyDropped = !fits
	c.client.core.Post(func() {
		c.client.budget.Release(counted)
		c.handleResponse(txn, result)
	})
	return nil
}

// reportActivity tells the core's goroutine that the endpoint responds, though to nothing that is awaited.
func (c *connection) reportActivity() {
	if c.awaited.beginReport() {
		c.client.core.Post(func() {
			c.awaited.endReport()
			c.awaitingSince = c.client.now()
		})
	}
}

// Closed implements netio.Handler.
func (c *connection) Closed() { c.client.core.Post(c.fail) }

// handleResponse completes an attempt with its response. It ignores the response to an attempt that was cancelled meanwhile.
func (c *connection) handleResponse(txn string, result core.AttemptResult) {
	c.awaitingSince = c.client.now()
	a := c.inFlight[txn]
	if a == nil {
		return
	}
	c.remove(a)
	if result.Status != balancer.OK {
		if err := c.recordUnserved(txn); err != nil {
			c.client.core.CompleteAttempt(a, result)
			c.fail()
			return
		}
	}
	if confirmsOtherCopy(a, &result) { // the response was corrupted in transit
		c.client.complete(a, balancer.Reset)
		c.fail()
		return
	}
	c.client.core.CompleteAttempt(a, result)
	switch {
	case len(c.inFlight) > 0:
	case c.draining:
		c.close()
	default:
		c.becomeIdle()
	}
}

// confirmsOtherCopy reports whether a response confirms a copy that the client does not have.
func confirmsOtherCopy(a *core.Attempt, result *core.AttemptResult) bool {
	return result.NotModified && (a.Request.ETag == "" || result.ETag != a.Request.ETag)
}

// recordUnserved records that a request was not served. If it is recorded already, the response may be a duplicate of the
// earlier one, so the attempt is cancelled before another one is sent.
func (c *connection) recordUnserved(txn string) error {
	if c.unserved.Contains(txn) {
		c.abandon(txn)
		if err := c.writeCancel(txn); err != nil {
			return err
		}
	}
	c.unserved.Add(txn, c.client.now(), c.client.limits.LongestDeadline)
	return nil
}
