//go:build talk

package main

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"hillknot/internal/credit"
	"hillknot/internal/ledger"
	"hillknot/internal/parcel"
	"hillknot/internal/remedy"
	"hillknot/internal/takeover"
)

// The table of errors has each type of error, with what an operator can do, and nothing else.
func TestErrorsPage(t *testing.T) {
	const path = "../../docs/errors.md"
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	want := map[string]bool{}
	for _, list := range [][]remedy.Error{parcel.Errors, takeover.Errors, credit.Errors, ledger.Errors} {
		for _, e := range list {
			if e.Remedy() == "" || remedy.Of(fmt.Errorf("wrapped: %w", e)) != e.Remedy() {
				t.Errorf("%T: no remedy through what wraps it", e)
			}
			want[fmt.Sprintf("| `%T` | %s | %s |", e, e.Error(), e.Remedy())] = true
		}
	}
	for line := range strings.Lines(string(text)) {
		if line = strings.TrimSpace(line); strings.HasPrefix(line, "| `") && !want[line] {
			t.Errorf("%s has a row that is no error's:\n%s", path, line)
		}
		delete(want, line)
	}
	for row := range want {
		t.Errorf("%s lacks\n%s", path, row)
	}
}
