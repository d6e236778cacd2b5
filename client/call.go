package client

import (
	"context"
	"time"

	"hillknot/client/policy"
	"hillknot/internal/clock"
)

// pendingCall is a request on its way. It is guarded by the client's lock until done is closed, and is the
// goroutine's of Do after that. Request and done don't change.
type pendingCall struct {
	request    *Request
	class      int
	startedAt  time.Duration
	policyCall *policy.Call
	done       chan struct{} // closed once outcome, errorText and response are final

	conn       *routerConn // on which it is in flight, or nil
	requestID  uint32      // on that connection
	txn        uint64      // transaction id of the latest attempt
	claimedTxn uint64      // transaction id of the first attempt whose router was lost, which claims name; 0: none
	stream     responseStream

	outcome   policy.Outcome
	errorText string // from the router's latest error
	response  Response
}

// Do sends a request and returns the response. It returns at the latest when the request's time limit is over or
// ctx has ended, and before that as soon as it is clear that no response will come in time. The error, if any, is
// an *Error that says what happened, and whether the request may have taken effect; the response then has only
// Tries and Took.
func (c *Client) Do(ctx context.Context, req Request) (Response, error) {
	class, err := c.checkRequest(&req)
	if err != nil {
		return Response{}, err
	}
	if ctx.Err() != nil {
		return Response{}, &Error{Kind: ErrCanceled, Cause: context.Cause(ctx)}
	}
	call := &pendingCall{request: &req, class: class, done: make(chan struct{})}
	if req.To != nil {
		call.stream.progress = make(chan struct{}, 1)
	}
	if !c.start(call, c.timeLimit(ctx, call)) {
		return Response{}, &Error{Kind: ErrClosed}
	}
	if err := c.wait(ctx, call); err != nil {
		return Response{Tries: call.outcome.Attempts, Took: call.response.Took}, err
	}
	return call.response, nil
}

// timeLimit is the earliest of the class's limit, the request's and the context's deadline.
func (c *Client) timeLimit(ctx context.Context, call *pendingCall) time.Duration {
	limit := c.classes.list[call.class].Limit
	if call.request.Limit > 0 {
		limit = min(limit, call.request.Limit)
	}
	if deadline, ok := ctx.Deadline(); ok {
		limit = min(limit, clock.Until(deadline))
	}
	return limit
}

// start hands a call to the policy; false where the client is closed.
func (c *Client) start(call *pendingCall, limit time.Duration) bool {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return false
	}
	call.startedAt = c.now()
	c.calls[call] = struct{}{}
	call.policyCall = c.policy.StartCall(call.startedAt, policy.CallSpec{
		Class:      call.class,
		Idempotent: c.classes.list[call.class].Safe,
		Deadline:   call.startedAt + limit,
		UserData:   call,
	})
	c.runActions()
	c.unlock()
	return true
}

// wait returns once a call has ended, with its error. Meanwhile it hands what comes of the response to Request.To.
func (c *Client) wait(ctx context.Context, call *pendingCall) error {
	var cause error
	var sink sinkWriter
	canceled := ctx.Done()
	for {
		select {
		case <-call.done:
			if call.outcome.Verdict == policy.Served && call.request.To != nil {
				if err := sink.write(c, call); err != nil {
					return &Error{Kind: ErrSink, Cause: err, Tries: call.outcome.Attempts}
				}
			}
			return c.outcomeError(call, cause)
		case <-call.stream.progress: // nil, and so never ready, without Request.To
			if err := sink.write(c, call); err != nil {
				c.cancel(call)
				<-call.done
				return &Error{Kind: ErrSink, Cause: err, Tries: call.outcome.Attempts}
			}
		case <-canceled:
			canceled, cause = nil, context.Cause(ctx)
			c.cancel(call)
		}
	}
}

// cancel ends a call whose caller no longer waits. It ends soon after, or has ended already.
func (c *Client) cancel(call *pendingCall) {
	c.mu.Lock()
	c.policy.CancelCall(c.now(), call.policyCall)
	c.runActions()
	c.unlock()
}

// finish ends a call for its caller. The lock is held.
func (c *Client) finish(call *pendingCall, outcome policy.Outcome) {
	call.outcome = outcome
	call.response.Tries, call.response.Took = outcome.Attempts, c.now()-call.startedAt
	if outcome.Verdict != policy.Served && call.request.To == nil {
		call.response.Body = nil
	}
	delete(c.calls, call)
	c.counters.recordEnd(call)
	c.observer.add(Observation{
		What:    Ended,
		Router:  call.response.Router,
		Class:   c.classes.list[call.class].name,
		Tries:   outcome.Attempts,
		Took:    call.response.Took,
		Verdict: outcome.Verdict,
	})
	close(call.done)
	if c.closed && len(c.calls) == 0 {
		close(c.idle)
	}
}
