package policy

import "time"

// Verdict says how a call ended.
type Verdict uint8

// The verdicts.
const (
	Served      Verdict = iota
	Refused             // rejected by routers, or locally while routers reject nearly all; it never ran
	Failed              // a router reported an error
	Lost                // the connection broke, or brought something that can't be read
	Deadline            // no response in time
	Busy                // too many calls wait already; it was not sent
	Unreachable         // no router can be reached in time; it was not sent
	Withdrawn           // canceled by its caller
)

// Outcome is how a call ended.
type Outcome struct {
	Verdict    Verdict
	MayHaveRun bool          // a router may have got it, and nothing proves that it did not run
	Local      bool          // of Refused: the call was shed by this client
	RetryAfter time.Duration // of Refused and Unreachable: when to come back; 0: not known
	Attempts   int           // times that it was sent
}

// Result is how a router answered one attempt.
type Result uint8

// The results.
const (
	ResultServed   Result = iota
	ResultRejected        // not run: a retry is harmless
	ResultFailed          // nothing is known of whether it ran
	ResultInvalid         // the router can't use the request; it never ran, and a retry would not help
)

// Former names of the results, for programs that compare client.Observation.Result with them.
const (
	Good     = ResultServed   // Deprecated: use ResultServed.
	Turned   = ResultRejected // Deprecated: use ResultRejected.
	Broke    = ResultFailed   // Deprecated: use ResultFailed.
	Unusable = ResultInvalid  // Deprecated: use ResultInvalid.
)
