package store

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

func make1(t *testing.T, path string, n int) {
	t.Helper()
	l, _, err := Open(path, "r1")
	if err != nil {
		t.Fatal(err)
	}
	for i := range n {
		if err := l.Write([]Record{{fmt.Sprint("account/", i), make([]byte, 200)}, {"count", []byte(fmt.Sprint(i))}}); err != nil {
			t.Fatal(err)
		}
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
}

// What was written is there again, under the same id; another's, a copy, another kind of file and one in use are refused.
func TestOpen(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "r1.ledger")
	make1(t, path, 20)
	l, all, err := Open(path, "r1")
	if err != nil || len(all) != 21 || l.LedgerID == "" {
		t.Fatalf("%d lines, %v", len(all), err)
	}
	if _, _, err := Open(path, "r1"); !errors.As(err, new(FileInUseError)) {
		t.Errorf("in use: %v", err)
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	if _, _, err := Open(path, "r2"); !errors.As(err, new(ForeignFileError)) {
		t.Errorf("of another router: %v", err)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for name, text := range map[string][]byte{"copy": text, "text": []byte("this is a letter, and not a ledger at all")} {
		other := filepath.Join(dir, name)
		if err := os.WriteFile(other, text, 0o600); err != nil {
			t.Fatal(err)
		}
		if _, _, err := Open(other, "r1"); !errors.As(err, new(ForeignFileError)) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// A ledger that is cut anywhere is refused, or has all its lines: never some of them, and never a panic.
func TestCut(t *testing.T) {
	path := filepath.Join(t.TempDir(), "r1.ledger")
	make1(t, path, 60)
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	torn := 0
	for cut := len(whole) - 1; cut > 0; cut -= 509 {
		f, err := os.OpenFile(path, os.O_WRONLY, 0) // the same file, so that it is no copy
		if err != nil {
			t.Fatal(err)
		}
		if _, err := f.WriteAt(whole, 0); err != nil {
			t.Fatal(err)
		}
		if err := f.Truncate(int64(cut)); err != nil {
			t.Fatal(err)
		}
		if err := f.Close(); err != nil {
			t.Fatal(err)
		}
		l, all, err := Open(path, "r1")
		if err != nil {
			if torn++; !errors.As(err, new(CorruptFileError)) && !errors.As(err, new(ForeignFileError)) {
				t.Fatalf("cut at %d: %v", cut, err)
			}
			continue
		}
		if len(all) != 61 {
			t.Fatalf("cut at %d: %d lines", cut, len(all))
		}
		if err := l.Close(); err != nil {
			t.Fatal(err)
		}
	}
	if torn == 0 {
		t.Error("no cut was found")
	}
}
