package credit

import (
	"fmt"
	"syscall"
	"time"

	"hillknot/internal/operatorhint"
)

// FundsExhaustedError reports that, as far as this router knows, too little is left of a balance to pay for the request.
// The request never ran.
type FundsExhaustedError struct {
	Account    string
	RetryAfter time.Duration
}

func (e FundsExhaustedError) Error() string {
	return fmt.Sprintf("the balance of account %q is used up", e.Account)
}

// Hint implements operatorhint.Error.
func (FundsExhaustedError) Hint() string {
	return "Add a top-up to the file and send SIGHUP; each router that reads it applies it within a second."
}

// FundsPacedError reports that a balance is low: its spending is paced, and other requests go first. The request never
// ran.
type FundsPacedError struct {
	Account    string
	RetryAfter time.Duration
}

func (e FundsPacedError) Error() string {
	return fmt.Sprintf("the balance of account %q is low and its spending is paced", e.Account)
}

// Hint implements operatorhint.Error.
func (FundsPacedError) Hint() string {
	return "Add a top-up, or shorten rest_s so that the remaining balance is spent sooner."
}

// TransferPendingError reports that this router does not have enough rights available yet: they are being withdrawn from
// its records, or requested from another router. The request never ran.
type TransferPendingError struct {
	Account    string
	RetryAfter time.Duration
}

func (e TransferPendingError) Error() string {
	return fmt.Sprintf("rights to spend from account %q are not available to this router yet", e.Account)
}

// Hint implements operatorhint.Error.
func (TransferPendingError) Hint() string {
	return "No action if it is rare; otherwise raise chunk_ms, or check whether routers can reach each other."
}

// UnknownAccountError reports that a request names no account, or an account that no top-up has named. The request never
// ran.
type UnknownAccountError struct{ Account string }

func (e UnknownAccountError) Error() string { return fmt.Sprintf("unknown account %q", e.Account) }

// Hint implements operatorhint.Error.
func (UnknownAccountError) Hint() string {
	return "Have the client send its account, or fund the account; unnamed = \"free\" admits requests without an account."
}

// TopUpRejectedError reports that the list of top-ups is invalid, contradicts itself or contradicts a top-up that was
// applied before. No top-up of the list was applied.
type TopUpRejectedError struct{ ID, Reason string }

func (e TopUpRejectedError) Error() string {
	return fmt.Sprintf("top-up %q is rejected: %s", e.ID, e.Reason)
}

// Hint implements operatorhint.Error.
func (TopUpRejectedError) Hint() string {
	return "Leave top-ups that were read before unchanged, and add new top-ups under new ids."
}

// NameTakenError reports that another router knows a different ledger under this router's name.
type NameTakenError struct{ Peer string }

func (e NameTakenError) Error() string {
	return fmt.Sprintf("router %q knows a different ledger under this router's name", e.Peer)
}

// Hint implements operatorhint.Error.
func (NameTakenError) Hint() string {
	return "Put this router's old ledger back, or use a name that no router has had; until then it spends only transferred rights."
}

// StaleLedgerError reports that another router has received more transfers from this ledger than the ledger has on
// record: the ledger is a copy of an earlier state.
type StaleLedgerError struct{ Peer string }

func (e StaleLedgerError) Error() string {
	return fmt.Sprintf("the ledger is an old copy: router %q has received more transfers from it than are on record", e.Peer)
}

// Hint implements operatorhint.Error.
func (StaleLedgerError) Hint() string {
	return "Put the latest ledger back; until then this router spends nothing, because its funds may have been spent already."
}

// LedgerWriteError reports that the ledger's records could not be written. Until they are written, rights are neither
// withdrawn nor transferred.
type LedgerWriteError struct{ Err error }

func (e LedgerWriteError) Error() string { return "the ledger could not be written: " + e.Err.Error() }

// Unwrap returns the error of the store.
func (e LedgerWriteError) Unwrap() error { return e.Err }

// Hint implements operatorhint.Error.
func (LedgerWriteError) Hint() string {
	return "Free space on the ledger's disk or repair it; meanwhile this router still spends what it withdrew before."
}

// Errors holds an example of each error type of this package, as docs/errors.md lists them.
var Errors = []operatorhint.Error{
	FundsExhaustedError{Account: "acme"},
	FundsPacedError{Account: "acme"},
	TransferPendingError{Account: "acme"},
	UnknownAccountError{"acme"},
	TopUpRejectedError{"2026-12-01/1", "its amount is 0, or over a trillion credits"},
	NameTakenError{"r2"},
	StaleLedgerError{"r2"},
	LedgerWriteError{syscall.ENOSPC},
}
