package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"hillknot/client"
)

// result is the line that --json prints.
type result struct {
	Outcome      string  `json:"outcome"`
	Attempts     int     `json:"tries"`
	Milliseconds float64 `json:"ms"`
	Bytes        int     `json:"bytes"`
	Unchanged    bool    `json:"unchanged,omitempty"`
	Router       string  `json:"router,omitempty"`
	MayHaveRun   bool    `json:"may_have_run,omitempty"`
	WaitMS       int64   `json:"wait_ms,omitempty"`
	Error        string  `json:"error,omitempty"`
}

// newResult returns the result of a request for which client.Client.Do returned resp and err.
func newResult(resp client.Response, err error) result {
	line := result{
		Outcome:      outcomeOf(err).name,
		Attempts:     resp.Tries,
		Milliseconds: float64(resp.Took.Microseconds()) / 1000,
		Bytes:        resp.Size,
		Unchanged:    resp.Unchanged,
		Router:       resp.Router,
	}
	if err != nil {
		line.Error = err.Error()
	}
	var failure *client.Error
	if errors.As(err, &failure) {
		line.MayHaveRun = failure.MayHaveRun && failure.Unsafe
		line.WaitMS = failure.Wait.Milliseconds()
	}
	return line
}

// report prints the outcome of a request and returns the error that the command ends with. With --json it prints the
// result to out, and otherwise an error or "unchanged" to standard error. If err is a usageError, report returns it
// and prints nothing.
func (f *requestFlags) report(cmd *cobra.Command, out io.Writer, resp client.Response, err error) error {
	if isUsageError(err) {
		return err
	}
	switch {
	case f.json:
		if err := json.NewEncoder(out).Encode(newResult(resp, err)); err != nil {
			return err
		}
	case err != nil:
		fmt.Fprintf(cmd.ErrOrStderr(), "hillknot: %v\n", err)
	case resp.Unchanged:
		fmt.Fprintln(cmd.ErrOrStderr(), "unchanged")
	}
	if status := outcomeOf(err).status; status != exitServed {
		return exitError{status}
	}
	return nil
}
