package client

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"hillknot/client/policy"
)

// The kinds of errors, for errors.Is.
var (
	ErrRefused     = errors.New("refused")               // by routers, or before it was sent; it never ran
	ErrFailed      = errors.New("failed")                // a router said so
	ErrLost        = errors.New("answer lost")           // the connection broke, or brought nonsense
	ErrDeadline    = errors.New("no answer in time")     // also matches context.DeadlineExceeded
	ErrBusy        = errors.New("too many calls wait")   // it was not sent
	ErrUnreachable = errors.New("no router reached")     // in time; it was not sent
	ErrCanceled    = errors.New("withdrawn")             // the context ended, or the client was closed meanwhile
	ErrClosed      = errors.New("client closed")         // before the call
	ErrRequest     = errors.New("malformed request")     // it was not sent
	ErrSink        = errors.New("answer not written to") // Request.To failed
	ErrMayHaveRun  = errors.New("may have run")          // matches besides, where the class must not be repeated
)

// Error says how a call ended that was not served. It matches one of the kinds above, and ErrMayHaveRun besides
// where a request that must not be repeated may have taken effect.
type Error struct {
	Kind       error
	MayHaveRun bool          // a router may have got it, and nothing proves that it did not run
	Unsafe     bool          // a repeat could take effect twice
	Local      bool          // of ErrRefused: it was not sent, as routers refuse nearly all
	Wait       time.Duration // of ErrRefused and ErrUnreachable: how long to stay away; 0: not known
	Tries      int           // times that it was sent
	Text       string        // of the router, or what is wrong
	Cause      error         // of the context, or of Request.To
}

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
		fmt.Fprintf(&b, ", to come back in %v", e.Wait.Round(time.Millisecond))
	}
	if e.MayHaveRun && e.Unsafe {
		b.WriteString("; it may have run")
	}
	return b.String()
}

// Is implements errors.Is.
func (e *Error) Is(target error) bool {
	return target == e.Kind || target == ErrMayHaveRun && e.MayHaveRun && e.Unsafe ||
		target == context.DeadlineExceeded && e.Kind == ErrDeadline
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

var kinds = map[policy.Verdict]error{
	policy.Refused: ErrRefused, policy.Failed: ErrFailed, policy.Lost: ErrLost, policy.Deadline: ErrDeadline,
	policy.Busy: ErrBusy, policy.Unreachable: ErrUnreachable, policy.Withdrawn: ErrCanceled,
}

// outcome is the error of a call that has ended; nil where it was served.
func (c *Client) outcome(q *call, cause error) error {
	e := q.end
	if e.Verdict == policy.Served {
		return nil
	}
	out := &Error{Kind: kinds[e.Verdict], MayHaveRun: e.MayHaveRun, Unsafe: !c.kinds[q.class].Safe, Local: e.Local,
		Wait: e.RetryAfter, Tries: e.Attempts}
	switch e.Verdict {
	case policy.Failed, policy.Refused:
		out.Text = q.word
	case policy.Withdrawn:
		if out.Cause = cause; errors.Is(cause, context.DeadlineExceeded) {
			out.Kind = ErrDeadline
		}
	}
	return out
}
