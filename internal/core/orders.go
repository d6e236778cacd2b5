package core

import (
	"time"

	"hillknot/balancer"
	"hillknot/internal/logging"
	"hillknot/internal/operatorhint"
)

// OrderFailover replicates orders to other routers, so that an order outlives the router that took it. An order is
// a request of a class that is not idempotent. It may be written to a page cache only under a lease, so that no two
// routers run it.
//
// Its methods are called on the core's goroutine, and none may block. It reports back there by
// SendPermissionGranted, SendPermissionDenied, ClaimGranted, ClaimAnswered, ReplicaDropped and ReplicaNotDropped.
type OrderFailover interface {
	// Replicate takes an order that has some time left. After an error no other router has a replica, and it is
	// rejected.
	Replicate(q *Request, left time.Duration) error
	// Claim asks what became of the order that a request resumes. ClaimGranted or ClaimAnswered follows.
	Claim(id balancer.RequestID, q *Request, left time.Duration)
	// CancelClaim ends a claim that nobody waits for any more.
	CancelClaim(id balancer.RequestID)
	// RequestSendPermission asks whether an order may be written, under the lease of this router.
	// SendPermissionGranted or SendPermissionDenied follows.
	RequestSendPermission(txn string)
	// UseSendPermission reports whether the order may be written now. Where it is, the caller writes the order at once.
	UseSendPermission(txn string) bool
	// Finish takes the answer that an order's client is about to get. Where it returns true the answer, a
	// rejection, is held back until ReplicaDropped or ReplicaNotDropped.
	Finish(txn string, a Answer, mayHaveRun bool) (hold bool)
	// StopWaiting ends the wait for what Finish holds back.
	StopWaiting(txn string)
	// Cancel ends an order whose client no longer waits.
	Cancel(txn string, mayHaveRun bool)
	// Flush sends what is ready. It is called at the end of each iteration of the loop.
	Flush()
	// Metrics returns figures for operators.
	Metrics() []Metric
}

// SetOrderFailover has orders outlive this router. It is called once.
func (c *Core) SetOrderFailover(orders OrderFailover) { c.extensions.orders = orders }

// replicateOrder replicates an order, and reports whether it goes on. One that no router takes a replica of is
// rejected.
func (c *Core) replicateOrder(r *request) bool {
	if c.extensions.orders == nil || !r.policy.nonIdempotent {
		return true
	}
	if err := c.extensions.orders.Replicate(&r.Request, r.deadline-c.iteration.now); err != nil {
		log.Warn("order not replicated", logging.KeyRequestID, r.Txn, operatorhint.Attr(err))
		c.answer(r, c.rejection())
		return false
	}
	r.replicated = true
	return true
}

// claimOrder asks what became of an order whose router the client has lost. To run it anew without an answer could
// run it twice.
func (c *Core) claimOrder(r *request) {
	if c.extensions.orders == nil {
		c.answer(r, failedAnswer)
		return
	}
	r.state = requestClaiming
	c.extensions.orders.Claim(r.id, &r.Request, r.deadline-c.iteration.now)
}

// ClaimAnswered reports that the outcome of a claimed order is known.
func (c *Core) ClaimAnswered(id balancer.RequestID, a Answer) {
	if r := c.requests.claiming(id); r != nil {
		r.state = requestPending
		c.answer(r, a)
	}
}

// ClaimGranted reports that a claimed order is this router's to run, under the txn that it had.
func (c *Core) ClaimGranted(id balancer.RequestID) {
	r := c.requests.claiming(id)
	if r == nil {
		return
	}
	r.state = requestPending
	if c.requests.byTxn[r.ResumesTxn] != nil { // it is open here already, which the claim would have found
		c.answer(r, failedAnswer)
		return
	}
	c.requests.changeTxn(r, r.ResumesTxn)
	r.Retry = true
	c.startRequest(r)
}

// AcquireSendPermission reports whether an attempt may be written as far as other routers must know of it first. Where it
// returns false, the attempt is sent anew once the lease is granted. An attempt of a request that is not replicated
// needs no lease.
func (c *Core) AcquireSendPermission(a *Attempt) bool {
	r := a.owner
	if !r.replicated || c.extensions.orders.UseSendPermission(r.Txn) {
		return true
	}
	r.attemptAwaitingLease = a
	c.extensions.orders.RequestSendPermission(r.Txn)
	return false
}

// SendPermissionGranted reports that an order may be written now.
func (c *Core) SendPermissionGranted(txn string) {
	if r := c.requests.byTxn[txn]; r != nil && r.attemptAwaitingLease != nil {
		a := r.attemptAwaitingLease
		r.attemptAwaitingLease = nil
		c.upstream.Send(a)
	}
}

// SendPermissionDenied reports that an order may not be written any more, and whether it surely has run on no other router
// either.
func (c *Core) SendPermissionDenied(txn string, neverRan bool, err error) {
	r := c.requests.byTxn[txn]
	if r == nil {
		return
	}
	log.Warn("order lease denied", logging.KeyRequestID, txn, operatorhint.Attr(err))
	c.emit(balancer.ClientAborted{ID: r.id})
	r.replicated = false // the other routers have finished it already
	a := failedAnswer
	if neverRan && !r.mayHaveRun {
		a = c.rejection()
	}
	c.answer(r, a)
}

// finishOrder takes the answer that a request's client is about to get, and returns the one that it may get now, if there is
// one. A rejection of a replicated order is held back for a bounded time, until no other router can run the order. Where the
// request's time is over, nobody is waited for: the order fails, as its replica may have it.
func (c *Core) finishOrder(r *request, a Answer) (now Answer, ok bool) {
	if !r.replicated || !c.extensions.orders.Finish(r.Txn, a, r.mayHaveRun) {
		return a, true
	}
	if c.iteration.now >= r.deadline {
		c.extensions.orders.StopWaiting(r.Txn)
		return failedAnswer, true
	}
	r.state, r.pendingRejection = requestRejectionPending, a
	c.requests.add(r) // its deadline ends the wait, too
	c.Schedule(c.iteration.now+c.limits.OrderReleaseDelay, func() {
		if c.requests.isOpen(r) {
			c.failPendingRejection(r)
		}
	})
	return Answer{}, false
}

// ReplicaDropped reports that no other router runs an order whose rejection is held back: the client gets it.
func (c *Core) ReplicaDropped(txn string) {
	if r := c.requests.withPendingRejection(txn); r != nil {
		c.requests.remove(r)
		c.deliver(r, r.pendingRejection)
	}
}

// ReplicaNotDropped reports that another router may run an order whose rejection is held back: the order fails
// instead.
func (c *Core) ReplicaNotDropped(txn string) {
	if r := c.requests.withPendingRejection(txn); r != nil {
		c.failPendingRejection(r)
	}
}

// failPendingRejection fails an order whose rejection is held back, as nobody confirmed that no other router runs
// it.
func (c *Core) failPendingRejection(r *request) {
	c.extensions.orders.StopWaiting(r.Txn)
	c.requests.remove(r)
	c.deliver(r, failedAnswer)
}

// cancelOrder tells the other routers that the client of a request no longer waits.
func (c *Core) cancelOrder(r *request) {
	switch {
	case r.state == requestClaiming:
		c.extensions.orders.CancelClaim(r.id)
	case r.state == requestRejectionPending:
		c.extensions.orders.StopWaiting(r.Txn)
	case r.replicated:
		c.extensions.orders.Cancel(r.Txn, r.mayHaveRun)
	}
}
