// Package operatorhint lets an error carry a hint for the operator: one sentence that says what to do about the error.
// docs/errors.md lists the errors that have a hint.
package operatorhint

import (
	"errors"
	"log/slog"

	"hillknot/internal/logging"
)

// Error is an error with a hint for the operator.
type Error interface {
	error
	// Hint returns one sentence that says what an operator can do. All errors of a type return the same sentence.
	Hint() string
}

// For returns the hint of the first error in err's tree that has one, or "" if none has.
func For(err error) string {
	var hinted Error
	if errors.As(err, &hinted) {
		return hinted.Hint()
	}
	return ""
}

// Attr returns the attributes that describe an error in a log line: the error and its hint. They are a group without a name,
// which slog writes inline.
func Attr(err error) slog.Attr {
	return slog.Group("", slog.Any(logging.KeyError, err), slog.String(logging.KeyHint, For(err)))
}
