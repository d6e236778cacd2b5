// Package operatorhint is what all errors of the parts that routers share have in common: each says what an operator can do.
package operatorhint

import (
	"errors"
	"log/slog"
)

// Error is an error with a remedy: one sentence for an operator, the same for all errors of its type.
type Error interface {
	error
	Remedy() string
}

// Of returns the remedy of the first error in a chain that has one; empty where none has.
func Of(err error) string {
	if e := Error(nil); errors.As(err, &e) {
		return e.Remedy()
	}
	return ""
}

// Attr returns an error as an attribute of a log line, with its remedy.
func Attr(err error) slog.Attr {
	return slog.Group("", slog.Any("err", err), slog.String("remedy", Of(err)))
}
