package store

import (
	"fmt"

	"hillknot/internal/operatorhint"
)

// ForeignFileError reports that a file is not a ledger of this router.
type ForeignFileError struct{ Path, Reason string }

func (e ForeignFileError) Error() string {
	return fmt.Sprintf("%s is not a ledger of this router: %s", e.Path, e.Reason)
}

// Hint implements operatorhint.Error.
func (ForeignFileError) Hint() string {
	return "Configure this router's own file; a copied ledger is rejected, because its funds may have been spent already: " +
		"move the original file back."
}

// CorruptFileError reports that a ledger is damaged.
type CorruptFileError struct{ Path, Reason string }

func (e CorruptFileError) Error() string { return fmt.Sprintf("%s is damaged: %s", e.Path, e.Reason) }

// Hint implements operatorhint.Error.
func (CorruptFileError) Hint() string {
	return "Keep the file for examination, and start the router under a name that no router has had; its funds stay unspent."
}

// FileInUseError reports that another process has the ledger open.
type FileInUseError struct{ Path string }

func (e FileInUseError) Error() string { return e.Path + " is open in another process" }

// Hint implements operatorhint.Error.
func (FileInUseError) Hint() string {
	return "Stop the other process, or give each router its own ledger."
}

// Errors holds an example of each error type of this package, as docs/errors.md lists them.
var Errors = []operatorhint.Error{
	ForeignFileError{"r1.ledger", "it belongs to router \"r2\""},
	CorruptFileError{"r1.ledger", "its size is 4096 bytes, less than its 4 pages"},
	FileInUseError{"r1.ledger"},
}
