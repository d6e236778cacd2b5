package core

import (
	"time"

	"hillknot/balancer"
)

// Verdict is how a request was answered.
type Verdict uint8

// The verdicts.
const (
	Failed      Verdict = iota // the client must assume that the request may have run
	Rejected                   // a retry does no harm
	Served                     // the answer has the body
	NotModified                // the client's copy is current
)

// Answer is the final answer to a request.
type Answer struct {
	Verdict    Verdict
	Body       []byte        // owned by the receiver
	RetryAfter time.Duration // for a rejection: how long the client should wait before it retries
	Reason     string        // for a failure, one of the Reason constants; for a rejection, set unless the reason is load
}

// Reasons of a failure, as they are sent to clients. Operators' scripts match them.
const (
	ReasonFailed     = "Failed"     // the outcome of the request is unknown
	ReasonBadRequest = "BadRequest" // the request is invalid and did not run
)

// failedAnswer is the answer to a request whose outcome is unknown.
var failedAnswer = Answer{Verdict: Failed, Reason: ReasonFailed}

// Request is a client's request that a front end submits to the core.
type Request struct {
	Txn                  string // the client's own id of the request
	ObjectText, PartText string // Object and Part as the client wrote them; these go to page caches
	Class                string
	Object               uint64
	Part, Group          uint64
	Timeout              time.Duration // how long the client waits, from ArrivedAt on
	ArrivedAt            time.Duration // the earliest time at which the request may have arrived; 0: now
	ETag                 string        // of the client's copy; empty: it has none
	IdempotencyKey       string        // by which page caches drop duplicates; empty: none
	Body                 []byte
	Write                bool
	Retry                bool   // the client has sent the request before
	Account              string // pays for the request; empty: none is named
	ResumesTxn           string // the request's txn at the router that the client has lost; empty: none

	// ClientDisconnected reports whether the client has left, although the request is not cancelled yet. nil: not known.
	ClientDisconnected func() bool

	// Reply is called once on the core's goroutine, unless the request is cancelled. It returns the verdict that
	// the client actually got: an answer that can't be passed on becomes a failure.
	Reply func(Answer) Verdict
}

// Attempt is one attempt at a request, which an Upstream sends to an endpoint.
type Attempt struct {
	Request       *Request
	Endpoint      *Endpoint
	Source        *Endpoint // endpoint from which Endpoint fills its cache; nil: none
	Decision      balancer.SendAttempt
	Index         int           // of the attempt within its request, from 0
	Timeout       time.Duration // sent to the endpoint as the time that the router waits; set by the latest Permit
	BrokenConns   int           // connections that broke before the attempt was written in full; the upstream counts them
	NonIdempotent bool          // a repeat of the request may do harm

	owner     *request
	sentAt    time.Duration
	placement balancer.Placement // of Endpoint when the attempt was decided
	deadline  time.Duration
	timeout   *timer // ends the attempt; nil: its request's deadline does
	done      bool
}

// AttemptResult is how an attempt ended.
type AttemptResult struct {
	Status      balancer.Status
	Detail      balancer.Detail
	SourceWait  time.Duration // how long the endpoint waited for the first byte of its source
	Body        []byte        // owned by the receiver
	BodyDropped bool          // the body did not fit into the memory, so the request fails
	NotModified bool          // the client's copy is current
	ETag        string        // of that copy, as the endpoint sent it
}

// Upstream carries attempts to endpoints. Its methods are called on the core's goroutine, and it reports the end of
// each attempt there by Core.CompleteAttempt.
type Upstream interface {
	// Send sends an attempt. It must call Core.Permit and Core.AcquireSendPermission before it writes, and start
	// again with Core.Permit if Core.PermitIsCurrent returns false right before the write.
	Send(a *Attempt)
	// Cancel cancels an attempt. When it returns, the cancellation has been written or is certain to be.
	Cancel(a *Attempt)
	// CloseEndpoint closes all connections to an endpoint, because another process is at its address or the endpoint
	// is no longer listed.
	CloseEndpoint(e *Endpoint)
}
