package core

import (
	"cmp"
	"sync/atomic"
	"time"

	"hillknot/balancer"
	"hillknot/internal/agingset"
)

// requestState is the state of a request.
type requestState uint8

const (
	requestPending          requestState = iota // the module has it, or is about to get it
	requestClaiming                             // other routers are asked for the outcome of the order that it resumes
	requestRejectionPending                     // its rejection is held back until no other router can run it
	requestAnswered                             // its client has been answered
)

// request is a request from its arrival to its one final answer.
type request struct {
	Request
	id             balancer.RequestID
	policy         classPolicy
	state          requestState
	acceptedAt     time.Duration
	deadline       time.Duration // the router answers by then
	clientDeadline time.Duration // the client stops waiting then; not before deadline

	expiry     *timer             // comes at the deadline, while the request is open
	attempt    *Attempt           // the attempt that is open; nil: none
	mayHaveRun bool               // an attempt may have run
	execution  balancer.Execution // if mayHaveRun: the first attempt that may have run

	reservation Reservation // credit set aside; nil: none

	// The fields below are set for an order that is replicated to other routers.
	replicated                bool     // another router has a record of it
	attemptAwaitingPermission *Attempt // is sent again once the permission is granted; nil: none
	pendingRejection          Answer   // the rejection held back in state requestRejectionPending
}

// isClaim reports whether the request asks for the outcome of an order that its client has sent to another router. Only a request whose
// retry may do harm is claimed.
func (r *request) isClaim() bool { return r.ResumesTxn != "" && r.policy.nonIdempotent() }

// retryIsHarmless reports whether the client may be told that a retry does no harm, given the attempts sent so far.
func (r *request) retryIsHarmless() bool { return !r.policy.nonIdempotent() || !r.mayHaveRun }

// disconnectCheckAge is the age from which on an attempt of a request is only sent if its client is still there. The end of a
// connection that is read late cancels its requests late. What was just read was sent by a client that was there.
const disconnectCheckAge = 50 * time.Millisecond

// clientHasDisconnected reports whether the client has left and the request is not cancelled yet.
func (r *request) clientHasDisconnected(now time.Duration) bool {
	return r.ClientDisconnected != nil && now-r.acceptedAt > disconnectCheckAge && r.ClientDisconnected()
}

// checkRepeat decides whether an attempt at an endpoint may follow at the given time, by the module's rule.
func (r *request) checkRepeat(e *Endpoint, now time.Duration) balancer.RepeatVerdict {
	if !r.mayHaveRun {
		return balancer.NothingRan
	}
	return r.policy.repeat.Check(r.execution, e.placement, now)
}

// recordExecution records that an attempt of the request may have run.
func (r *request) recordExecution(a *Attempt) {
	if !r.mayHaveRun {
		r.mayHaveRun, r.execution = true, balancer.Execution{SentAt: a.sentAt, Placement: a.placement}
	}
}

// requestTable holds the open requests.
type requestTable struct {
	open   map[balancer.RequestID]*request
	byTxn  map[string]*request // the same requests: page caches and other routers know a request by its txn
	lastID atomic.Uint64       // any goroutine

	// mayHaveRun holds the txns of recent requests that may have run, where a second run may do harm. Another request with such a
	// txn is not sent, whoever sends it: its endpoint could not tell the two apart, and another one would run it again.
	mayHaveRun   agingset.Set
	onRemembered func(txn string) // is called with each txn of mayHaveRun that this process adds; nil: nobody has to know
}

func newRequestTable() requestTable {
	return requestTable{open: map[balancer.RequestID]*request{}, byTxn: map[string]*request{}}
}

func (t *requestTable) add(r *request) { t.open[r.id], t.byTxn[r.Txn] = r, r }

func (t *requestTable) remove(r *request) {
	delete(t.open, r.id)
	delete(t.byTxn, r.Txn)
}

// changeTxn gives an open request another txn.
func (t *requestTable) changeTxn(r *request, txn string) {
	delete(t.byTxn, r.Txn)
	r.Txn = txn
	t.byTxn[txn] = r
}

func (t *requestTable) isOpen(r *request) bool { return t.open[r.id] == r }

// withPendingRejection returns the request with the given txn if its rejection is held back, and nil otherwise.
func (t *requestTable) withPendingRejection(txn string) *request {
	if r := t.byTxn[txn]; r != nil && r.state == requestRejectionPending {
		return r
	}
	return nil
}

// claiming returns the request with the given id if it awaits the result of its claim, and nil otherwise.
func (t *requestTable) claiming(id balancer.RequestID) *request {
	if r := t.open[id]; r != nil && r.state == requestClaiming {
		return r
	}
	return nil
}

// NewID returns an id that no other request or endpoint query of this process has. Any goroutine may call it.
func (c *Core) NewID() balancer.RequestID { return balancer.RequestID(c.requests.lastID.Add(1)) }

// OpenCount returns how many requests and endpoint queries await their answer.
func (c *Core) OpenCount() int { return len(c.requests.open) + len(c.queries) }

// Submit takes a request. Its Reply is called with the answer exactly once, unless the request is cancelled first.
func (c *Core) Submit(id balancer.RequestID, q Request) {
	arrived := cmp.Or(min(q.ArrivedAt, c.iteration.now), c.iteration.now)
	clientDeadline := arrived + min(q.Timeout, c.limits.LongestDeadline)
	candidate := request{ // on the stack: a refused request takes no memory
		Request:        q,
		id:             id,
		policy:         c.policy.classes[q.Class],
		acceptedAt:     c.iteration.now,
		clientDeadline: clientDeadline,
	}
	candidate.deadline = c.answerDeadline(&candidate)
	if reason, a, refused := c.checkNew(&candidate); refused {
		c.rejectNew(&q, reason, a)
		return
	}
	r := new(request)
	*r = candidate
	c.traceRequest(r)
	c.addRequest(r)
	if r.isClaim() {
		c.claimOrder(r)
		return
	}
	c.startRequest(r)
}

// answerDeadline returns when a new request must be answered.
func (c *Core) answerDeadline(r *request) time.Duration {
	deadline := r.clientDeadline - c.limits.AnswerMargin
	switch {
	case c.lifecycle.shuttingDown(): // a request that is open when the process ends would be lost
		return min(deadline, c.lifecycle.shutdownDeadline(&c.limits))
	case r.isClaim() && c.lifecycle.state == stateStandby && c.refusesNew(): // the connections have to end
		return min(deadline, c.lifecycle.drainingSince+c.limits.DrainCloseAll)
	}
	return deadline
}

// refusesNew reports whether the router has drained or ended so far that it takes no new requests.
func (c *Core) refusesNew() bool {
	return c.lifecycle.state == stateClosed || c.DrainStage() >= RejectNew
}

// checkNew returns why a new request is not taken, and the answer to it, if it is refused. A claim is taken while the router is drained,
// as its order need not run here, and is never rejected: its order may have run.
func (c *Core) checkNew(r *request) (reason RefusalReason, a Answer, refused bool) {
	rejection := c.rejection()
	if r.isClaim() {
		rejection = failedAnswer
	}
	switch {
	case c.requests.byTxn[r.Txn] != nil: // page caches could not tell the two requests apart
		return RefusedDuplicate, Answer{Verdict: Failed, Reason: ReasonBadRequest}, true
	case r.policy.nonIdempotent() && c.requests.mayHaveRun.Contains(r.Txn):
		return RefusedDuplicate, failedAnswer, true
	case len(c.requests.open) >= c.limits.OpenRequests:
		return RefusedTooManyOpen, rejection, true
	case c.lifecycle.state == stateClosed, c.refusesNew() && !r.isClaim():
		return RefusedDraining, rejection, true
	case r.deadline <= c.iteration.now:
		rejection.RetryAfter = 0
		return RefusedNoTime, rejection, true
	}
	return 0, Answer{}, false
}

// addRequest adds a request to the open ones, until its deadline.
func (c *Core) addRequest(r *request) {
	c.requests.add(r)
	r.expiry = c.timers.add(timer{at: r.deadline, request: r})
}

// removeRequest removes a request from the open ones.
func (c *Core) removeRequest(r *request) {
	c.requests.remove(r)
	c.timers.remove(r.expiry)
}

// rejection returns a rejection that asks the client to stay away for as long as the settings allow.
func (c *Core) rejection() Answer {
	return Answer{Verdict: Rejected, RetryAfter: c.policy.maxRetryAfter}
}

// rejectNew answers a request that is not taken.
func (c *Core) rejectNew(q *Request, reason RefusalReason, a Answer) {
	c.CountRefusal(reason)
	c.traceRejected(q, reason)
	c.reply(q, a)
}

// startRequest passes a request to the module, after setting aside its credit and replicating it if it is an order. If
// either of these fails, the request has been answered instead.
func (c *Core) startRequest(r *request) {
	if !c.reserveCredit(r) || !c.replicateOrder(r) {
		return
	}
	c.emit(balancer.Request{
		ID:        r.id,
		Class:     r.Class,
		Object:    r.Object,
		Part:      r.Part,
		Group:     r.Group,
		Remaining: r.deadline - c.iteration.now,
		Write:     r.Write,
		Retry:     r.Retry,
	})
}

// CancelRequest ends a request whose client no longer waits: it is not answered, and its attempt is cancelled. An
// unknown id is ignored.
func (c *Core) CancelRequest(id balancer.RequestID) {
	r := c.requests.open[id]
	if r == nil {
		return
	}
	c.removeRequest(r)
	c.emit(balancer.ClientAborted{ID: r.id})
	if r.attempt != nil {
		c.abandonAttempt(r.attempt, balancer.Cancelled)
	}
	c.settleCredit(r, r.mayHaveRun, 0)
	c.cancelOrder(r)
}

// AbortRequest answers a request at once, because its client breaks the protocol and the request is not worth any more
// work. The request is rejected if it surely has not run or may run again, and fails otherwise. An unknown id is
// ignored, and so is a request whose rejection is held back.
func (c *Core) AbortRequest(id balancer.RequestID) {
	r := c.requests.open[id]
	if r == nil || r.state == requestRejectionPending {
		return
	}
	a := c.rejection()
	if r.state == requestClaiming || !r.retryIsHarmless() || r.policy.nonIdempotent() && r.attempt != nil {
		a = failedAnswer
	}
	c.emit(balancer.ClientAborted{ID: r.id})
	c.answer(r, a)
}

// advanceDeadlines moves the deadline of every open request to latest, unless it is earlier already.
func (c *Core) advanceDeadlines(latest time.Duration) {
	for _, r := range c.requests.open {
		if r.deadline > latest {
			r.deadline = latest
			c.timers.remove(r.expiry)
			r.expiry = c.timers.add(timer{at: r.deadline, request: r})
		}
	}
}

// expireRequest answers a request whose deadline has come. An open attempt times out first, and the module then decides
// on the answer; if it does not answer the request, answerOverdue does.
func (c *Core) expireRequest(r *request) {
	if c.requests.isOpen(r) && r.attempt != nil {
		c.timeOutAttempt(r.attempt)
		c.decide()
	}
	if c.requests.isOpen(r) {
		c.answerOverdue(r)
	}
}

// answerOverdue answers a request that the module left without an answer at its deadline: every request must get one.
func (c *Core) answerOverdue(r *request) {
	if r.state == requestRejectionPending {
		c.failPendingRejection(r)
		return
	}
	a := Answer{Verdict: Rejected}
	if r.state == requestClaiming || !r.retryIsHarmless() {
		a = failedAnswer
	}
	c.emit(balancer.ClientAborted{ID: r.id})
	c.answer(r, a)
}

// answer gives the final answer to a request. It ignores nil and a request whose rejection is held back. An attempt
// that is still open is cancelled first.
func (c *Core) answer(r *request, a Answer) {
	if r == nil || r.state == requestRejectionPending {
		return
	}
	c.removeRequest(r)
	if r.attempt != nil {
		c.abandonAttempt(r.attempt, balancer.Cancelled)
	}
	if final, ok := c.finishOrder(r, a); ok {
		c.deliver(r, final)
	}
}

// deliver settles the credit of a request and passes its final answer to the client.
func (c *Core) deliver(r *request, a Answer) {
	served := a.Verdict == Served || a.Verdict == NotModified
	c.settleCredit(r, served || r.mayHaveRun, len(a.Body))
	c.traceAnswer(r, a.Verdict)
	c.checkAnswer(r)
	r.state = requestAnswered
	c.reply(&r.Request, a)
}

// reply passes an answer to the submitter of a request, and counts it.
func (c *Core) reply(q *Request, a Answer) {
	c.CountAnswer(q.Class, q.Reply(a))
}
