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
// SendPermissionGranted, SendPermissionDenied, ClaimGranted, ClaimAnswered, ReplicaReleased and ReplicaNotReleased.
type OrderFailover interface {
	// Replicate replicates an order, which must be answered within the remaining time. After an error no other router
	// has a record of it, and the order is rejected.
	Replicate(q *Request, remaining time.Duration) error
	// Claim asks for the outcome of the order that a request resumes. ClaimGranted or ClaimAnswered follows.
	Claim(id balancer.RequestID, q *Request, remaining time.Duration)
	// CancelClaim ends a claim whose client no longer waits.
	CancelClaim(id balancer.RequestID)
	// RequestSendPermission requests the permission to write an order, under the lease of this router.
	// SendPermissionGranted or SendPermissionDenied follows.
	RequestSendPermission(txn string)
	// UseSendPermission reports whether the order may be written now. If so, the caller writes it at once.
	UseSendPermission(txn string) bool
	// Finish takes the answer that the client of an order is about to get. If it returns true, the answer is a
	// rejection, and is held back until ReplicaReleased or ReplicaNotReleased.
	Finish(txn string, answer Answer, mayHaveRun bool) (hold bool)
	// StopWaiting ends the wait for ReplicaReleased or ReplicaNotReleased, for a rejection that Finish held back.
	StopWaiting(txn string)
	// Cancel ends an order whose client no longer waits.
	Cancel(txn string, mayHaveRun bool)
	// Flush sends the messages that are ready. It is called at the end of each iteration of the loop.
	Flush()
	// Metrics returns the figures of order failover for operators.
	Metrics() []Metric
}

// SetOrderFailover sets the extension by which orders outlive this router. It is called once.
func (c *Core) SetOrderFailover(orders OrderFailover) { c.extensions.orders = orders }

// replicateOrder replicates a request if it is an order, and reports whether the request goes on. An order is rejected
// if no other router takes a record of it.
func (c *Core) replicateOrder(r *request) bool {
	if c.extensions.orders == nil || !r.policy.nonIdempotent() {
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

// claimOrder asks for the outcome of an order whose router the client has lost. Starting the order again without that
// answer could run it twice, so it fails if there is no order failover.
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

// ClaimGranted reports that this router may run a claimed order, under the txn that the order had. The order has surely not run, so a
// router that takes no new requests rejects it.
func (c *Core) ClaimGranted(id balancer.RequestID) {
	r := c.requests.claiming(id)
	if r == nil {
		return
	}
	r.state = requestPending
	if c.requests.byTxn[r.ResumesTxn] != nil { // the order is open here already, which the claim would have found
		c.answer(r, failedAnswer)
		return
	}
	c.requests.changeTxn(r, r.ResumesTxn)
	r.Retry = true
	if !c.refusesNew() {
		c.startRequest(r)
		return
	}
	if c.replicateOrder(r) {
		c.answer(r, c.rejection())
	}
}

// AcquireSendPermission reports whether this router has the permission to write an attempt now. If not, it requests the
// permission, and the attempt is sent again once SendPermissionGranted is called. An attempt of a request that is not
// replicated needs no permission, as other routers need not know of it first.
func (c *Core) AcquireSendPermission(a *Attempt) bool {
	r := a.owner
	if !r.replicated || c.extensions.orders.UseSendPermission(r.Txn) {
		return true
	}
	r.attemptAwaitingPermission = a
	c.extensions.orders.RequestSendPermission(r.Txn)
	return false
}

// SendPermissionGranted reports that an order may be written now.
func (c *Core) SendPermissionGranted(txn string) {
	if r := c.requests.byTxn[txn]; r != nil && r.attemptAwaitingPermission != nil {
		a := r.attemptAwaitingPermission
		r.attemptAwaitingPermission = nil
		c.upstream.Send(a)
	}
}

// SendPermissionDenied reports that an order may no longer be written. neverRan states that the order has surely not run
// on another router either.
func (c *Core) SendPermissionDenied(txn string, neverRan bool, err error) {
	r := c.requests.byTxn[txn]
	if r == nil {
		return
	}
	log.Warn("order lease denied", logging.KeyRequestID, txn, operatorhint.Attr(err))
	c.emit(balancer.ClientAborted{ID: r.id})
	r.replicated = false // the other routers have finished the order already
	a := failedAnswer
	if neverRan && !r.mayHaveRun {
		a = c.rejection()
	}
	c.answer(r, a)
}

// finishOrder takes the answer that the client of a request is about to get. It returns the answer to deliver now, and
// whether there is one. A rejection of a replicated order is held back for a bounded time, until no other router can run
// the order. Once the request's deadline is over there is no wait: the order fails, as its replica may run it.
func (c *Core) finishOrder(r *request, a Answer) (now Answer, ok bool) {
	if !r.replicated || !c.extensions.orders.Finish(r.Txn, a, r.mayHaveRun) {
		return a, true
	}
	if c.iteration.now >= r.deadline {
		c.extensions.orders.StopWaiting(r.Txn)
		return failedAnswer, true
	}
	r.state, r.pendingRejection = requestRejectionPending, a
	c.addRequest(r) // its deadline ends the wait as well
	c.Schedule(c.iteration.now+c.limits.OrderReleaseDelay, func() {
		if c.requests.isOpen(r) {
			c.failPendingRejection(r)
		}
	})
	return Answer{}, false
}

// ReplicaReleased reports that no other router runs an order whose rejection is held back. The client gets the
// rejection.
func (c *Core) ReplicaReleased(txn string) {
	if r := c.requests.withPendingRejection(txn); r != nil {
		c.removeRequest(r)
		c.deliver(r, r.pendingRejection)
	}
}

// ReplicaNotReleased reports that another router may run an order whose rejection is held back. The order fails
// instead.
func (c *Core) ReplicaNotReleased(txn string) {
	if r := c.requests.withPendingRejection(txn); r != nil {
		c.failPendingRejection(r)
	}
}

// failPendingRejection fails an order whose rejection is held back, because it is not confirmed that no other router
// runs it.
func (c *Core) failPendingRejection(r *request) {
	c.extensions.orders.StopWaiting(r.Txn)
	c.removeRequest(r)
	c.deliver(r, failedAnswer)
}

// cancelOrder informs order failover that the client of a request no longer waits.
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
