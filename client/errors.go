package client

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"hillknot/client/policy"
)

// The kinds of errors that Do returns, for errors.Is.
var (
	ErrRefused     = errors.New("refused")                     // rejected by routers, or shed by the client; it never ran
	ErrFailed      = errors.New("failed")                      // a router reported an error
	ErrLost        = errors.New("response lost")               // the connection broke, or the response was malformed
	ErrDeadline    = errors.New("no response in time")         // also matches context.DeadlineExceeded
	ErrBusy        = errors.New("too many calls waiting")      // it was not sent
	ErrUnreachable = errors.New("no router reachable")         // in time; it was not sent
	ErrCanceled    = errors.New("withdrawn")                   // the context ended, or the client was closed meanwhile
	ErrClosed      = errors.New("client closed")               // before the call of Do
	ErrRequest     = errors.New("malformed request")           // it was not sent
	ErrSink        = errors.New("writing the response failed") // Request.To failed; a router served the request
	ErrMayHaveRun  = errors.New("may have run")                // matches in addition if the request must not be repeated
)

// Error describes why a request was not served. With errors.Is it matches its Kind. It also matches ErrMayHaveRun if
// a request that must not be repeated may have taken effect: the caller must find out whether it did before sending
// the request again.
type Error struct {
	Kind       error
	MayHaveRun bool          // a router may have received the request, and nothing proves that it did not run
	Unsafe     bool          // a repeat could take effect twice: its class is not Safe
	Local      bool          // of ErrRefused: the client shed the request because routers reject nearly all
	Wait       time.Duration // of ErrRefused and ErrUnreachable: how long to wait before the next request; 0: unknown
	Tries      int           // attempts that were sent
	Text       string        // the router's error code, or what is wrong with the request
	Cause      error         // cause of the context's end, or error of Request.To; may be nil
}

// Error implements error.
func (e *Error) Error() string {
	var b strings.Builder
	b.WriteString(e.Kind.Error())
	if e.Text != "" {
		b.WriteString(": " + e.Text)
	}
	if e.Cause != nil {
		b.WriteString(": " + e.Cause.Error())
	}
	if e.Tries > 0 {
		fmt.Fprintf(&b, " (tries: %d)", e.Tries)
	}
	if e.Wait > 0 {
		fmt.Fprintf(&b, ", retry after %v", e.Wait.Round(time.Millisecond))
	}
	if e.unsafeToRepeat() {
		b.WriteString("; it may have run")
	}
	return b.String()
}

func (e *Error) unsafeToRepeat() bool { return e.MayHaveRun && e.Unsafe }

// Is implements the matching of errors.Is.
func (e *Error) Is(target error) bool {
	switch target {
	case e.Kind:
		return true
	case ErrMayHaveRun:
		return e.unsafeToRepeat()
	case context.DeadlineExceeded:
		return e.Kind == ErrDeadline
	}
	return false
}

// Unwrap returns Cause.
func (e *Error) Unwrap() error { return e.Cause }

// errorKinds maps the policy's verdicts to kinds of errors.
var errorKinds = map[policy.Verdict]error{
	policy.Refused:     ErrRefused,
	policy.Failed:      ErrFailed,
	policy.Lost:        ErrLost,
	policy.Deadline:    ErrDeadline,
	policy.Busy:        ErrBusy,
	policy.Unreachable: ErrUnreachable,
	policy.Withdrawn:   ErrCanceled,
}

// outcomeError returns the error of a call that has ended, or nil if it was served. Cause is the reason for which the
// caller canceled it.
func (c *Client) outcomeError(call *pendingCall, cause error) error {
	outcome := call.outcome
	if outcome.Verdict == policy.Served {
		return nil
	}
	e := &Error{
		Kind:       errorKinds[outcome.Verdict],
		MayHaveRun: outcome.MayHaveRun,
		Unsafe:     !c.classes.list[call.class].Safe,
		Local:      outcome.Local,
		Wait:       outcome.RetryAfter,
		Tries:      outcome.Attempts,
	}
	switch outcome.Verdict {
	case policy.Failed, policy.Refused:
		e.Text = call.errorText
	case policy.Withdrawn:
		e.Cause = cause
		if errors.Is(cause, context.DeadlineExceeded) {
			e.Kind = ErrDeadline
		}
	}
	return e
}
