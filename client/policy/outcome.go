package policy

import "time"

// Verdict says how a call ended.
type Verdict uint8

// The verdicts of a call.
const (
	Served      Verdict = iota
	Refused             // rejected by routers, or shed locally while routers reject nearly all calls; it never ran
	Failed              // a router reported an error
	Lost                // the connection broke, or the response was malformed
	Deadline            // no response in time
	Busy                // too many calls are waiting; it was not sent
	Unreachable         // no router can be reached in time; it was not sent
	Withdrawn           // canceled by its caller
)

// Outcome describes how a call ended.
type Outcome struct {
	Verdict    Verdict
	MayHaveRun bool          // a router may have received the call, and nothing proves that it did not run
	Local      bool          // of Refused: the call was shed by this client
	RetryAfter time.Duration // of Refused and Unreachable: how long to wait before the next call; 0: unknown
	Attempts   int           // number of times that the call was sent
}

// Result is how a router answered one attempt.
type Result uint8

// The results of an attempt.
const (
	ResultServed   Result = iota
	ResultRejected        // the request did not run, so a retry is safe
	ResultFailed          // it is unknown whether the request ran
	ResultInvalid         // the router can't handle the request; it never ran, and a retry would not help
)

// Former names of the results, for programs that compare client.Observation.Result with them.
const (
	Good     = ResultServed   // Deprecated: use ResultServed.
	Turned   = ResultRejected // Deprecated: use ResultRejected.
	Broke    = ResultFailed   // Deprecated: use ResultFailed.
	Unusable = ResultInvalid  // Deprecated: use ResultInvalid.
)
