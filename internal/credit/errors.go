package credit

import (
	"fmt"
	"syscall"
	"time"

	"hillknot/internal/operatorhint"
)

// FundsExhaustedError says that nothing is left of a balance, as far as this router knows. The request never ran.
type FundsExhaustedError struct {
	Account    string
	RetryAfter time.Duration
}

func (e FundsExhaustedError) Error() string {
	return fmt.Sprintf("the balance of %q is used up", e.Account)
}

// Hint implements operatorhint.Error.
func (FundsExhaustedError) Hint() string {
	return "Add a top-up to the file and send SIGHUP; it counts within a second at each router that reads it."
}

// FundsPacedError says that little is left of a balance, and that other requests go first. The request never ran.
type FundsPacedError struct {
	Account    string
	RetryAfter time.Duration
}

func (e FundsPacedError) Error() string {
	return fmt.Sprintf("the balance of %q is low, and paced to last", e.Account)
}

// Hint implements operatorhint.Error.
func (FundsPacedError) Hint() string {
	return "Add a top-up, or shorten rest_s to have the rest spent sooner."
}

// TransferPendingError says that nothing is available to this router yet: rights are being withdrawn from its
// records, or requested from another router. The request never ran.
type TransferPendingError struct {
	Account    string
	RetryAfter time.Duration
}

func (e TransferPendingError) Error() string {
	return fmt.Sprintf("rights to spend of %q are on their way here", e.Account)
}

// Hint implements operatorhint.Error.
func (TransferPendingError) Hint() string {
	return "None, if it is rare; else raise chunk_ms, or look whether routers are cut off from each other."
}

// UnknownAccountError says that a request names no account, or one that no top-up has named. The request never ran.
type UnknownAccountError struct{ Account string }

func (e UnknownAccountError) Error() string { return fmt.Sprintf("no account %q", e.Account) }

// Hint implements operatorhint.Error.
func (UnknownAccountError) Hint() string {
	return "Have the client send its account, or fund it; unnamed = \"free\" lets requests without one pass."
}

// TopUpRejectedError says that the list of top-ups contradicts itself or what was applied before. Nothing of it was
// taken.
type TopUpRejectedError struct{ ID, Reason string }

func (e TopUpRejectedError) Error() string {
	return fmt.Sprintf("top-up %q is refused: %s", e.ID, e.Reason)
}

// Hint implements operatorhint.Error.
func (TopUpRejectedError) Hint() string {
	return "Leave lines that were read once as they were, and put what is new into lines with ids of their own."
}

// NameTakenError says that another router knows another ledger under this router's name.
type NameTakenError struct{ Peer string }

func (e NameTakenError) Error() string {
	return fmt.Sprintf("%q knows another ledger under this router's name", e.Peer)
}

// Hint implements operatorhint.Error.
func (NameTakenError) Hint() string {
	return "Give this router its old ledger back, or a name that no router had; until then it spends what others give it."
}

// StaleLedgerError says that another router has received more from this ledger than the ledger knows: it is a copy of
// an earlier state.
type StaleLedgerError struct{ Peer string }

func (e StaleLedgerError) Error() string {
	return fmt.Sprintf("%q has got more from this ledger than it knows: it is a copy of before", e.Peer)
}

// Hint implements operatorhint.Error.
func (StaleLedgerError) Hint() string {
	return "Bring the latest ledger back; this router spends nothing, as what it holds may be spent already."
}

// LedgerWriteError says that the ledger's records could not be written. Until they are, rights are neither withdrawn
// nor transferred.
type LedgerWriteError struct{ Err error }

func (e LedgerWriteError) Error() string { return "the ledger could not be written: " + e.Err.Error() }

// Unwrap returns the error of the store.
func (e LedgerWriteError) Unwrap() error { return e.Err }

// Hint implements operatorhint.Error.
func (LedgerWriteError) Hint() string {
	return "Make room on the ledger's disk or mend it; what was drawn before goes on being spent."
}

// Errors holds an example of each error type of this package, as docs/errors.md shows it.
var Errors = []operatorhint.Error{
	FundsExhaustedError{Account: "acme"},
	FundsPacedError{Account: "acme"},
	TransferPendingError{Account: "acme"},
	UnknownAccountError{"acme"},
	TopUpRejectedError{"2026-12-01/1", "its amount is 0, or over a trillion"},
	NameTakenError{"r2"},
	StaleLedgerError{"r2"},
	LedgerWriteError{syscall.ENOSPC},
}
