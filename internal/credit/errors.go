package credit

import (
	"fmt"
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

// FundsPacedError says that little is left of a balance, and others go first.
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

// TransferPendingError says that this router has no rights left while others do: some are on their way.
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

// UnknownAccountError says that a request names no account, or one that no top-up has named.
type UnknownAccountError struct{ Account string }

func (e UnknownAccountError) Error() string { return fmt.Sprintf("no account %q", e.Account) }

// Hint implements operatorhint.Error.
func (UnknownAccountError) Hint() string {
	return "Have the client send its account, or fund it; unnamed = \"free\" lets requests without one pass."
}

// TopUpRejectedError says that the file of top-ups contradicts itself or what was counted before. Nothing of it was taken.
type TopUpRejectedError struct{ ID, Why string }

func (e TopUpRejectedError) Error() string {
	return fmt.Sprintf("top-up %q is refused: %s", e.ID, e.Why)
}

// Hint implements operatorhint.Error.
func (TopUpRejectedError) Hint() string {
	return "Leave lines that were read once as they were, and put what is new into lines with ids of their own."
}

// NameTakenError says that other routers know another ledger under this router's name.
type NameTakenError struct{ By string }

func (e NameTakenError) Error() string {
	return fmt.Sprintf("%q knows another ledger under this router's name", e.By)
}

// Hint implements operatorhint.Error.
func (NameTakenError) Hint() string {
	return "Give this router its old ledger back, or a name that no router had; until then it spends what others give it."
}

// StaleLedgerError says that others have got more from this ledger than it knows: it is a copy of before.
type StaleLedgerError struct{ By string }

func (e StaleLedgerError) Error() string {
	return fmt.Sprintf("%q has got more from this ledger than it knows: it is a copy of before", e.By)
}

// Hint implements operatorhint.Error.
func (StaleLedgerError) Hint() string {
	return "Bring the latest ledger back; this router spends nothing, as what it holds may be spent already."
}

// LedgerWriteError says that the ledger could not be written: rights are neither drawn nor moved.
type LedgerWriteError struct{ Why string }

func (e LedgerWriteError) Error() string { return "the ledger could not be written: " + e.Why }

// Hint implements operatorhint.Error.
func (LedgerWriteError) Hint() string {
	return "Make room on the ledger's disk or mend it; what was drawn before goes on being spent."
}

// Errors holds an example of each type of this package, as docs/errors.md shows it.
var Errors = []operatorhint.Error{FundsExhaustedError{Account: "acme"}, FundsPacedError{Account: "acme"}, TransferPendingError{Account: "acme"}, UnknownAccountError{"acme"},
	TopUpRejectedError{"2026-12-01/1", "its amount is 0, or over a trillion"}, NameTakenError{"r2"}, StaleLedgerError{"r2"}, LedgerWriteError{"no space left on device"}}
