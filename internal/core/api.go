package core

import (
	"time"

	"hillknot/balancer"
	"hillknot/internal/clock"
)

// What fronts and upstreams see of the core: requests, answers, attempts and their ends.

// Verdict says how a request was answered.
type Verdict uint8

// The verdicts.
const (
	Failed      Verdict = iota // nothing is promised
	Rejected                   // trying again is harmless
	Served                     // with the bytes
	NotModified                // the client's own copy is the one
)

// Answer is the final answer to a request.
type Answer struct {
	Verdict    Verdict
	Body       []byte        // belongs to the receiver
	RetryAfter time.Duration // of a refusal: how long to stay away
	Reason     string        // of a failure; of a refusal, why, if it is not load
}

// Request is what a front submits. The texts are passed on to the page cache as they are.
type Request struct {
	Txn, ObjectText, PartText string
	Class                     string
	Object                    uint64
	Part, Group               uint64
	Timeout                   time.Duration // how long the client waits, from Arrived on
	ArrivedAt                 time.Duration // the earliest moment at which it may have come in; 0: the turn that takes it
	ETag                      string        // tag of the copy that the client has
	IdempotencyKey            string        // under which page caches drop repeats of it; empty: none
	Body                      []byte
	Write                     bool
	Retry                     bool   // the client has asked before
	Account                   string // that pays for it; empty: none is named
	ResumesTxn                string // the txn of the same request, whose router the client has lost; empty: none
	// Reply is called once on the core's goroutine, unless the request is withdrawn. It returns what the client was
	// told in the end: an answer that can't be passed on becomes a failure.
	Reply func(Answer) Verdict
}

// Attempt is one attempt of a request, as an Upstream carries it.
type Attempt struct {
	Request       *Request
	Endpoint      *Endpoint
	Source        *Endpoint // nil: no fill
	Decision      balancer.SendAttempt
	Index         int
	Timeout       time.Duration // how long the cache is told that the router will wait, from when Permit was asked; never longer than the client waits
	BrokenConns   int           // connections that broke before it was written whole; the upstream counts them
	NonIdempotent bool          // of a class that may not simply be repeated

	owner *request
	sent  time.Duration
	until time.Duration
	over  bool
}

// AttemptResult is how an attempt ended.
type AttemptResult struct {
	Status      balancer.Status
	Detail      balancer.Detail
	SourceWait  time.Duration // for the source's first byte
	Body        []byte        // belongs to the receiver
	NotModified bool          // the client's own copy is the one
	ETag        string        // of the copy that is unchanged, as the cache names it
}

// Upstream carries attempts. It is called on the core's goroutine and reports there. Send must ask
// Core.Permit right before it writes.
type Upstream interface {
	Send(a *Attempt)
	Cancel(a *Attempt) // gives an attempt up; before it returns, that is written or sure
	CloseEndpoint(m *Endpoint)
}

// Endpoint is a node on the list. Its state changes when the list does.
type Endpoint struct {
	ID    string
	Addr  string
	State balancer.EndpointState
	kind  string
	node  balancer.EndpointID
	stamp clock.Stamp   // of the latest start
	start time.Duration // when that was, on the core's clock; 0: long ago
}
