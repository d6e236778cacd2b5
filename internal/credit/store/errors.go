package store

import (
	"fmt"

	"hillknot/internal/operatorhint"
)

// ForeignFileError says that a file is no ledger of this router.
type ForeignFileError struct{ Path, Reason string }

func (e ForeignFileError) Error() string {
	return fmt.Sprintf("%s is no ledger of this router: %s", e.Path, e.Reason)
}

// Hint implements operatorhint.Error.
func (ForeignFileError) Hint() string {
	return "Name this router's own file; a copied ledger is refused, as what it holds may be spent already: " +
		"move the first one back."
}

// CorruptFileError says that a ledger is damaged.
type CorruptFileError struct{ Path, Reason string }

func (e CorruptFileError) Error() string { return fmt.Sprintf("%s is damaged: %s", e.Path, e.Reason) }

// Hint implements operatorhint.Error.
func (CorruptFileError) Hint() string {
	return "Keep the file for who can read it, and start the router under a name that no router had; what it held rests."
}

// FileInUseError says that another process has the ledger open.
type FileInUseError struct{ Path string }

func (e FileInUseError) Error() string { return e.Path + " is open in another process" }

// Hint implements operatorhint.Error.
func (FileInUseError) Hint() string {
	return "End the other process, or give each router a ledger of its own."
}

// Errors holds an example of each error type of this package, as docs/errors.md shows it.
var Errors = []operatorhint.Error{
	ForeignFileError{"r1.ledger", "it is of \"r2\""},
	CorruptFileError{"r1.ledger", "it is shorter than it says"},
	FileInUseError{"r1.ledger"},
}
