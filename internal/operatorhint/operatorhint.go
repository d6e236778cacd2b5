// Package operatorhint lets an error carry a hint for the operator: one sentence that says what to do about it.
// docs/errors.md lists the errors that have one, with their hints.
package operatorhint

import (
	"errors"
	"log/slog"

	"hillknot/internal/logging"
)

// Error is an error with a hint for the operator.
type Error interface {
	error
	// Hint returns one sentence that says what an operator can do. It is the same for all errors of a type.
	Hint() string
}

// For returns the hint of the first error in err's chain that has one, or "" if none has.
func For(err error) string {
	var hinted Error
	if errors.As(err, &hinted) {
		return hinted.Hint()
	}
	return ""
}

// Attr returns the attributes of a log line that describe an error: the error itself, and its hint.
func Attr(err error) slog.Attr {
	return slog.Group("", slog.Any(logging.KeyError, err), slog.String(logging.KeyHint, For(err)))
}
