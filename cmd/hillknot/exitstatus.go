package main

import (
	"errors"
	"fmt"

	"hillknot/client"
)

// The exit statuses of all commands. Scripts use them to decide what they may do after a failed request.
const (
	exitServed           = 0
	exitFailure          = 1 // any error that has no status of its own
	exitUsage            = 2
	exitRejected         = 3 // the request never ran
	exitNotRun           = 4 // the request failed and certainly did not run
	exitMayHaveRun       = 5 // the request may have run and must not be repeated
	exitDeadlineExceeded = 6
)

// exitStatusHelp is the part of a command's help text that lists the exit statuses.
const exitStatusHelp = `
Exit status: 0 served, 1 another error, 2 usage error, 3 refused (the request never ran),
4 failed (the request certainly did not run), 5 the request may have run and must not be repeated,
6 the deadline was exceeded.`

// exitError is the error of a command that ends with a given exit status and has already printed what went wrong.
type exitError struct{ status int }

func (e exitError) Error() string { return fmt.Sprintf("exit status %d", e.status) }

// usageError is an error in how a command was called.
type usageError struct{ cause error }

func (e usageError) Error() string { return e.cause.Error() }

func (e usageError) Unwrap() error { return e.cause }

// isUsageError reports whether err is or wraps a usageError.
func isUsageError(err error) bool {
	var usage usageError
	return errors.As(err, &usage)
}

// outcome describes how a request ended.
type outcome struct {
	status int    // exit status of the command
	name   string // name of the outcome in the line that --json prints
}

// outcomeOf returns the outcome of a request for which client.Client.Do returned err. A request with a nil error was served.
func outcomeOf(err error) outcome {
	var failure *client.Error
	switch {
	case err == nil:
		return outcome{exitServed, "served"}
	case errors.Is(err, client.ErrRequest):
		return outcome{exitUsage, "malformed"}
	case errors.Is(err, client.ErrMayHaveRun):
		return outcome{exitMayHaveRun, "may have run"}
	case errors.Is(err, client.ErrRefused):
		return outcome{exitRejected, "refused"}
	case errors.Is(err, client.ErrDeadline):
		return outcome{exitDeadlineExceeded, "deadline over"}
	case errors.As(err, &failure) && !failure.MayHaveRun && failure.Kind != client.ErrSink:
		return outcome{exitNotRun, "failed"}
	}
	return outcome{exitFailure, "error"}
}
