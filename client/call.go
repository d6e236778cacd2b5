package client

import (
	"context"
	"time"

	"hillknot/client/policy"
	"hillknot/internal/clock"
)

// pendingCall is a request in progress. The client's lock guards it until done is closed; after that it belongs to
// the goroutine of Do. The fields request and done don't change.
type pendingCall struct {
	request    *Request
	class      int
	startedAt  time.Duration
	policyCall *policy.Call
	done       chan struct{} // closed once outcome, errorText and response are final

	conn       *routerConn // connection on which the call is in flight, or nil
	requestID  uint32      // id of the request on conn
	txn        uint64      // transaction id of the latest attempt
	claimedTxn uint64      // transaction id of the first attempt whose router was lost, which claims refer to; 0: none
	stream     responseStream

	outcome   policy.Outcome
	errorText string // code of the router's latest error
	response  Response
}

// Do sends a request and returns the response. It returns at the latest when the request's time limit has passed or
// ctx has ended, and earlier if it is clear that no response will arrive in time. The error, if any, is an *Error
// that describes what happened and whether the request may have taken effect; the response then has only Tries and
// Took.
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

// timeLimit returns the smallest of the class's limit, the request's limit and the time to the context's deadline.
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

// start passes a call to the policy. It returns false if the client is closed.
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

// wait returns the error of a call once the call has ended. Until then it writes the response to Request.To as it
// arrives.
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

// cancel ends a call whose caller no longer waits. The call may have ended already.
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
