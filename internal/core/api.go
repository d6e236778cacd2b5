package core

import (
	"time"

	"hillknot/balancer"
)

// Verdict is how a request was answered.
type Verdict uint8

// The verdicts.
const (
	Failed      Verdict = iota // nothing is promised: it may have run
	Rejected                   // a retry does no harm
	Served                     // with the body
	NotModified                // the copy that the client has is current
)

// Answer is the final answer to a request.
type Answer struct {
	Verdict    Verdict
	Body       []byte        // belongs to the receiver
	RetryAfter time.Duration // of a rejection: how long the client should wait before it retries
	Reason     string        // of a failure, one of the Reason constants; of a rejection, where load is not the reason
}

// Reasons of a failure that clients are told. Operators' scripts know them.
const (
	ReasonFailed     = "Failed"     // it is not known what became of the request
	ReasonBadRequest = "BadRequest" // the request can't be used, and did not run
)

// failedAnswer is the answer where nothing is known of what became of a request.
var failedAnswer = Answer{Verdict: Failed, Reason: ReasonFailed}

// Request is what a front end submits.
type Request struct {
	Txn                  string // the client's own name of the request
	ObjectText, PartText string // Object and Part as the client wrote them, which page caches are sent
	Class                string
	Object               uint64
	Part, Group          uint64
	Timeout              time.Duration // how long the client waits, from ArrivedAt on
	ArrivedAt            time.Duration // the earliest moment at which it may have come in; 0: now
	ETag                 string        // of the copy that the client has; empty: none
	IdempotencyKey       string        // under which page caches drop duplicates; empty: none
	Body                 []byte
	Write                bool
	Retry                bool   // the client has asked before
	Account              string // that pays for it; empty: none is named
	ResumesTxn           string // the txn of the same request at a router that the client has lost; empty: none

	// Reply is called once on the core's goroutine, unless the request is cancelled. It returns the verdict that
	// the client got in the end: an answer that can't be passed on becomes a failure.
	Reply func(Answer) Verdict
}

// Attempt is one attempt at a request, as an Upstream carries it.
type Attempt struct {
	Request       *Request
	Endpoint      *Endpoint
	Source        *Endpoint // from which Endpoint fills its cache; nil: it does not
	Decision      balancer.SendAttempt
	Index         int           // its number within the request, from 0
	Timeout       time.Duration // how long the endpoint is told that the router waits, as of the latest Permit
	BrokenConns   int           // connections that broke before it was written as a whole; the upstream counts them
	NonIdempotent bool          // of a class that may not simply be repeated

	owner    *request
	sentAt   time.Duration
	deadline time.Duration
	done     bool
}

// AttemptResult is how an attempt ended.
type AttemptResult struct {
	Status      balancer.Status
	Detail      balancer.Detail
	SourceWait  time.Duration // for the first byte of the source
	Body        []byte        // belongs to the receiver
	NotModified bool          // the copy that the client has is current
	ETag        string        // of that copy, as the endpoint names it
}

// Upstream carries attempts to endpoints. Its methods are called on the core's goroutine, and it reports there by
// CompleteAttempt.
type Upstream interface {
	// Send sends an attempt. It must ask Core.Permit and Core.AcquireSendPermission right before it writes.
	Send(a *Attempt)
	// Cancel gives an attempt up. Before it returns, the cancellation is written or certain to be.
	Cancel(a *Attempt)
	// CloseEndpoint closes all connections to an endpoint, as another process is at its address or it is no longer
	// listed.
	CloseEndpoint(e *Endpoint)
}
