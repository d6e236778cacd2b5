package prepaidcredit

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"hillknot/internal/credit"
)

// Each error type gives its own retry delay and reason, also when wrapped. The reasons are sent to clients and must not
// change.
func TestRetryAfterAndReason(t *testing.T) {
	e := &Extension{}
	for _, test := range []struct {
		err    error
		wait   time.Duration
		reason string
	}{
		{credit.FundsExhaustedError{RetryAfter: 3 * time.Second}, 3 * time.Second, "funds-out"},
		{credit.FundsPacedError{RetryAfter: time.Minute}, time.Minute, "funds-low"},
		{credit.TransferPendingError{RetryAfter: time.Millisecond}, time.Millisecond, "funds-moving"},
		{credit.UnknownAccountError{Account: "acme"}, 0, "no-account"},
		{credit.StaleLedgerError{Peer: "r2"}, time.Second, "credit"},
		{credit.LedgerWriteError{Err: errors.New("disk full")}, time.Second, "credit"},
	} {
		for _, err := range []error{test.err, fmt.Errorf("wrapped: %w", test.err)} {
			if wait, reason := e.RetryAfter(err); wait != test.wait || reason != test.reason {
				t.Errorf("%v: %v, %q; want %v, %q", err, wait, reason, test.wait, test.reason)
			}
		}
	}
}
