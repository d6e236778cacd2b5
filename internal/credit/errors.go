package credit

import (
	"fmt"
	"time"

	"hillknot/internal/operatorhint"
)

// FundsOut says that nothing is left of a balance, as far as this router knows. The request never ran.
type FundsOut struct {
	Account string
	Later   time.Duration
}

func (e FundsOut) Error() string { return fmt.Sprintf("the balance of %q is used up", e.Account) }

// Hint implements remedy.Error.
func (FundsOut) Hint() string {
	return "Add a top-up to the file and send SIGHUP; it counts within a second at each router that reads it."
}

// Paced says that little is left of a balance, and others go first.
type Paced struct {
	Account string
	Later   time.Duration
}

func (e Paced) Error() string {
	return fmt.Sprintf("the balance of %q is low, and paced to last", e.Account)
}

// Hint implements remedy.Error.
func (Paced) Hint() string { return "Add a top-up, or shorten rest_s to have the rest spent sooner." }

// Moving says that this router has no rights left while others do: some are on their way.
type Moving struct {
	Account string
	Later   time.Duration
}

func (e Moving) Error() string {
	return fmt.Sprintf("rights to spend of %q are on their way here", e.Account)
}

// Hint implements remedy.Error.
func (Moving) Hint() string {
	return "None, if it is rare; else raise chunk_ms, or look whether routers are cut off from each other."
}

// NoAccount says that a request names no account, or one that no top-up has named.
type NoAccount struct{ Account string }

func (e NoAccount) Error() string { return fmt.Sprintf("no account %q", e.Account) }

// Hint implements remedy.Error.
func (NoAccount) Hint() string {
	return "Have the client send its account, or fund it; unnamed = \"free\" lets requests without one pass."
}

// ListRefused says that the file of top-ups contradicts itself or what was counted before. Nothing of it was taken.
type ListRefused struct{ ID, Why string }

func (e ListRefused) Error() string { return fmt.Sprintf("top-up %q is refused: %s", e.ID, e.Why) }

// Hint implements remedy.Error.
func (ListRefused) Hint() string {
	return "Leave lines that were read once as they were, and put what is new into lines with ids of their own."
}

// NameTaken says that other routers know another ledger under this router's name.
type NameTaken struct{ By string }

func (e NameTaken) Error() string {
	return fmt.Sprintf("%q knows another ledger under this router's name", e.By)
}

// Hint implements remedy.Error.
func (NameTaken) Hint() string {
	return "Give this router its old ledger back, or a name that no router had; until then it spends what others give it."
}

// LedgerStale says that others have got more from this ledger than it knows: it is a copy of before.
type LedgerStale struct{ By string }

func (e LedgerStale) Error() string {
	return fmt.Sprintf("%q has got more from this ledger than it knows: it is a copy of before", e.By)
}

// Hint implements remedy.Error.
func (LedgerStale) Hint() string {
	return "Bring the latest ledger back; this router spends nothing, as what it holds may be spent already."
}

// Unwritten says that the ledger could not be written: rights are neither drawn nor moved.
type Unwritten struct{ Why string }

func (e Unwritten) Error() string { return "the ledger could not be written: " + e.Why }

// Hint implements remedy.Error.
func (Unwritten) Hint() string {
	return "Make room on the ledger's disk or mend it; what was drawn before goes on being spent."
}

// Errors holds an example of each type of this package, as docs/errors.md shows it.
var Errors = []operatorhint.Error{FundsOut{Account: "acme"}, Paced{Account: "acme"}, Moving{Account: "acme"}, NoAccount{"acme"},
	ListRefused{"2026-12-01/1", "its amount is 0, or over a trillion"}, NameTaken{"r2"}, LedgerStale{"r2"}, Unwritten{"no space left on device"}}
