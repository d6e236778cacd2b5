//go:build cluster

package main

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"hillknot/internal/cluster/failover"
	"hillknot/internal/cluster/messaging"
	"hillknot/internal/credit"
	"hillknot/internal/credit/store"
	"hillknot/internal/operatorhint"
)

// The table on the page of errors lists each type of error with its text and the hint to operators, and nothing else.
func TestErrorsPageListsEveryError(t *testing.T) {
	const path = "../../docs/errors.md"
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	want := map[string]bool{}
	for _, list := range [][]operatorhint.Error{messaging.Errors, failover.Errors, credit.Errors, store.Errors} {
		for _, e := range list {
			if e.Hint() == "" || operatorhint.For(fmt.Errorf("wrapped: %w", e)) != e.Hint() {
				t.Errorf("%T: it has no hint, or operatorhint.For does not find the hint of the wrapped error", e)
			}
			want[fmt.Sprintf("| `%T` | %s | %s |", e, e.Error(), e.Hint())] = true
		}
	}
	for line := range strings.Lines(string(text)) {
		if line = strings.TrimSpace(line); strings.HasPrefix(line, "| `") && !want[line] {
			t.Errorf("%s has a row that belongs to no error:\n%s", path, line)
		}
		delete(want, line)
	}
	for row := range want {
		t.Errorf("%s lacks\n%s", path, row)
	}
}
