package main

import (
	"errors"
	"fmt"

	"hillknot/client"
)

// The exit statuses of all commands. Scripts go by them, so that they know what they may do after a failed request.
const (
	exitServed           = 0
	exitFailure          = 1 // any error that has no status of its own
	exitUsage            = 2
	exitRejected         = 3 // the request never ran
	exitNotRun           = 4 // the request failed, and surely did not run
	exitMayHaveRun       = 5 // the request must not be repeated
	exitDeadlineExceeded = 6
)

// exitStatusHelp is the part of a command's help that lists the exit statuses.
const exitStatusHelp = `
Exit status: 0 served, 1 another error, 2 usage, 3 refused (it never ran), 4 failed and surely not run,
5 it may have run and must not be repeated, 6 the deadline is over.`

// exitError ends a command with an exit status. What went wrong has been printed already.
type exitError struct{ status int }

func (e exitError) Error() string { return fmt.Sprintf("exit status %d", e.status) }

// usageError marks an error in how a command was called.
type usageError struct{ cause error }

func (e usageError) Error() string { return e.cause.Error() }

func (e usageError) Unwrap() error { return e.cause }

// isUsageError tells whether err is an error in how a command was called.
func isUsageError(err error) bool {
	var usage usageError
	return errors.As(err, &usage)
}

// outcome is how a request ended: the command's exit status, and its name in the line of --json.
type outcome struct {
	status int
	name   string
}

// outcomeOf returns the outcome of a request from the error of client.Client.Do; nil: it was served.
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
