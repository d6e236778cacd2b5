package store

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"hillknot/internal/credit"
)

func record(key string, value []byte) credit.Record { return credit.Record{Key: key, Value: value} }

// createLedger creates a ledger of router r1 with a record for each of the given number of accounts, and a record named
// count.
func createLedger(t *testing.T, path string, accounts int) {
	t.Helper()
	ledger, _, err := Open(path, "r1")
	if err != nil {
		t.Fatal(err)
	}
	for i := range accounts {
		group := []credit.Record{record(fmt.Sprint("account/", i), make([]byte, 200)), record("count", []byte(fmt.Sprint(i)))}
		if err := ledger.Write(group); err != nil {
			t.Fatal(err)
		}
	}
	if err := ledger.Close(); err != nil {
		t.Fatal(err)
	}
}

func readFile(t *testing.T, path string) []byte {
	t.Helper()
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return content
}

// A reopened ledger has all its records and an ID. The ledger of another router, a copy, another kind of file and a ledger
// in use are rejected.
func TestOpenReadsOwnAndRejectsOtherFiles(t *testing.T) {
	directory := t.TempDir()
	path := filepath.Join(directory, "r1.ledger")
	createLedger(t, path, 20)
	ledger, records, err := Open(path, "r1")
	if err != nil || len(records) != 21 || ledger.LedgerID == "" {
		t.Fatalf("%d records, %v", len(records), err)
	}
	if _, _, err := Open(path, "r1"); !errors.As(err, new(FileInUseError)) {
		t.Errorf("in use: %v", err)
	}
	if err := ledger.Close(); err != nil {
		t.Fatal(err)
	}
	if _, _, err := Open(path, "r2"); !errors.As(err, new(ForeignFileError)) {
		t.Errorf("of another router: %v", err)
	}
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for name, content := range map[string][]byte{
		"copy": content,
		"text": []byte("this is a letter, and not a ledger at all"),
	} {
		other := filepath.Join(directory, name)
		if err := os.WriteFile(other, content, 0o600); err != nil {
			t.Fatal(err)
		}
		if _, _, err := Open(other, "r1"); !errors.As(err, new(ForeignFileError)) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// truncate overwrites a file with the first size bytes of content. The file keeps its identity, so it is not a copy.
func truncate(t *testing.T, path string, content []byte, size int) {
	t.Helper()
	file, err := os.OpenFile(path, os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := file.WriteAt(content, 0); err != nil {
		t.Fatal(err)
	}
	if err := file.Truncate(int64(size)); err != nil {
		t.Fatal(err)
	}
	if err := file.Close(); err != nil {
		t.Fatal(err)
	}
}

// Opening a truncated ledger returns an error or all of its records, never only some of them, and does not panic.
func TestTruncatedFileRejectedOrComplete(t *testing.T) {
	path := filepath.Join(t.TempDir(), "r1.ledger")
	createLedger(t, path, 60)
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	rejected := 0
	for size := len(content) - 1; size > 0; size -= 509 {
		truncate(t, path, content, size)
		ledger, records, err := Open(path, "r1")
		if err != nil {
			if rejected++; !errors.As(err, new(CorruptFileError)) && !errors.As(err, new(ForeignFileError)) {
				t.Fatalf("truncated to %d bytes: %v", size, err)
			}
			continue
		}
		if len(records) != 61 {
			t.Fatalf("truncated to %d bytes: %d records", size, len(records))
		}
		if err := ledger.Close(); err != nil {
			t.Fatal(err)
		}
	}
	if rejected == 0 {
		t.Error("no truncated file was rejected")
	}
}
