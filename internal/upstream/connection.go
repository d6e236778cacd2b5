package upstream

import (
	"time"

	"hillknot/balancer"
	"hillknot/internal/core"
	"hillknot/internal/netio"
)

// connection is one connection to an endpoint. It carries one attempt at a time as long as the pool may grow, so that a
// long response keeps no other attempt waiting. It implements netio.Handler; its other methods belong to the core's
// goroutine.
type connection struct {
	client    *Client
	pool      *pool
	transport *netio.Conn
	inFlight  map[string]*core.Attempt // by txn
	draining  bool                     // it carries no new attempts, and closes after the last response

	idleSince     time.Duration  // while nothing is in flight
	awaitingSince time.Duration  // a response is awaited since then, or since the latest one came
	unserved      recentRequests // requests that got a response here, and were not served
}

// attach completes a connection that is being dialed.
func (c *connection) attach(transport *netio.Conn) netio.Handler {
	c.transport = transport
	return c
}

// silent returns whether a response is awaited and none has come for long, as on a connection that was cut off without
// a sign: others to the same endpoint may be healthy.
func (c *connection) silent() bool {
	return len(c.inFlight) > 0 && c.client.now()-c.awaitingSince > c.client.limits.UpstreamSilence
}

// mayGetDuplicateFor returns whether a duplicate of an earlier response on this connection could be taken for the
// response to an attempt. It could prove that the attempt never ran, which would then run again: the attempt must go
// out on another connection.
func (c *connection) mayGetDuplicateFor(a *core.Attempt) bool {
	return a.NonIdempotent && c.unserved.has(a.Request.Txn)
}

// canCarry returns whether an attempt may go out on the connection.
func (c *connection) canCarry(a *core.Attempt) bool {
	return !c.draining && !c.silent() && c.inFlight[a.Request.Txn] == nil && !c.mayGetDuplicateFor(a)
}

// preferredTo returns whether the connection has fewer attempts in flight, or was used later.
func (c *connection) preferredTo(other *connection) bool {
	if len(c.inFlight) != len(other.inFlight) {
		return len(c.inFlight) < len(other.inFlight)
	}
	return c.idleSince > other.idleSince
}

// add notes that an attempt was written.
func (c *connection) add(a *core.Attempt) {
	if len(c.inFlight) == 0 {
		c.awaitingSince = c.client.now()
	}
	c.inFlight[a.Request.Txn] = a
	c.client.inFlight[a] = c
}

// remove notes that an attempt has ended.
func (c *connection) remove(a *core.Attempt) {
	delete(c.inFlight, a.Request.Txn)
	delete(c.client.inFlight, a)
}

// becomeIdle gives the connection to the attempts that wait, as long as nothing is in flight on it.
func (c *connection) becomeIdle() {
	c.idleSince = c.client.now()
	for !c.draining && len(c.inFlight) == 0 {
		a := c.pool.nextWaitingFor(c)
		if a == nil {
			return
		}
		c.client.write(c, a)
	}
}

// cancel gives up an attempt that was written.
func (c *connection) cancel(a *core.Attempt) {
	if c.silent() {
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

// abandon notes that a request may still run at the endpoint.
func (c *connection) abandon(txn string) {
	c.pool.abandoned.add(txn, c.client.now(), c.client.limits.LongestDeadline)
}

func (c *connection) writeCancel(txn string) error {
	return c.transport.WriteSync(appendCancel(nil, txn))
}

// close closes the connection and takes it out of its pool.
func (c *connection) close() {
	c.transport.Close()
	if c.pool.remove(c) {
		c.client.connCount--
	}
}

// fail closes a connection that is of no more use, and ends what is in flight on it: that may have run.
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
func (c *connection) Consume(buf []byte) (used, want int, err error) {
	for {
		r, progress, err := parseResponse(buf[used:], c.client.limits.ResponseLineBytes, c.client.limits.ObjectBytes)
		if err != nil || progress.consumed == 0 {
			return used, progress.needed, err
		}
		result, err := r.result()
		if err != nil {
			return used, 0, err
		}
		used += progress.consumed
		txn := string(r.txn)
		c.client.core.Post(func() { c.responded(txn, result) })
	}
}

// Closed implements netio.Handler.
func (c *connection) Closed() { c.client.core.Post(c.fail) }

// responded ends an attempt with its response. One that crossed a cancellation is ignored.
func (c *connection) responded(txn string, result core.AttemptResult) {
	c.awaitingSince = c.client.now()
	a := c.inFlight[txn]
	if a == nil {
		return
	}
	c.remove(a)
	if result.Status != balancer.OK {
		if err := c.noteUnserved(txn); err != nil {
			c.client.core.CompleteAttempt(a, result)
			c.fail()
			return
		}
	}
	if confirmsOtherCopy(a, &result) { // the response was garbled on its way
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

// confirmsOtherCopy returns whether a response confirms a copy that the client does not have.
func confirmsOtherCopy(a *core.Attempt, result *core.AttemptResult) bool {
	return result.NotModified && (a.Request.ETag == "" || result.ETag != a.Request.ETag)
}

// noteUnserved notes that a request was not served. Where it was not before either, the response may be the earlier one
// once more: the attempt is cancelled before another is sent.
func (c *connection) noteUnserved(txn string) error {
	if c.unserved.has(txn) {
		c.abandon(txn)
		if err := c.writeCancel(txn); err != nil {
			return err
		}
	}
	c.unserved.add(txn, c.client.now(), c.client.limits.LongestDeadline)
	return nil
}
