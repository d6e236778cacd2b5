package store

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"hillknot/internal/credit"
)

// A router that is killed at any moment of creating its ledger can create it again: nothing was promised by then.
// What a kill leaves unfinished is told from a ledger that is damaged.
func TestKilledWhileCreating(t *testing.T) {
	path := filepath.Join(t.TempDir(), "r1.ledger")
	ledger, _, err := Open(path, "r1")
	if err != nil {
		t.Fatal(err)
	}
	if err := ledger.Close(); err != nil {
		t.Fatal(err)
	}
	complete, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for size := 0; size <= len(complete); size += 511 {
		path := filepath.Join(t.TempDir(), "r1.ledger")
		if err := os.WriteFile(path+unfinishedSuffix, complete[:size], 0o600); err != nil {
			t.Fatal(err)
		}
		ledger, records, err := Open(path, "r1")
		if err != nil || len(records) != 0 {
			t.Fatalf("killed after %d bytes: %d lines, %v", size, len(records), err)
		}
		if err := ledger.Write([]credit.Record{record("a", []byte("1"))}); err != nil {
			t.Fatal(err)
		}
		if err := ledger.Close(); err != nil {
			t.Fatal(err)
		}
		if _, records, err = Open(path, "r1"); err != nil || len(records) != 1 {
			t.Fatalf("killed after %d bytes, then written: %d lines, %v", size, len(records), err)
		}
	}
	if _, err := os.Stat(path + unfinishedSuffix); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("what the ledger was made as is left: %v", err)
	}
}

// A router that is killed in the middle of a write finds all that was acknowledged, and of the group that was being
// written all records or none. The disk may have any of the pages that were written before the sync, and then any
// part of the meta page.
func TestKilledWhileWriting(t *testing.T) {
	path := filepath.Join(t.TempDir(), "r1.ledger")
	createLedger(t, path, 30)
	ledger, _, err := Open(path, "r1")
	if err != nil {
		t.Fatal(err)
	}
	before := readFile(t, path)
	group := []credit.Record{
		record("count", []byte("new")),
		record("account/3", bytes.Repeat([]byte("x"), 5000)),
		record("more", bytes.Repeat([]byte("y"), 300)),
	}
	if err := ledger.Write(group); err != nil {
		t.Fatal(err)
	}
	after := readFile(t, path)
	if err := ledger.Close(); err != nil {
		t.Fatal(err)
	}
	states := intermediateStates(before, after)
	if len(states) < 20 {
		t.Fatalf("%d states", len(states))
	}
	for i, state := range states {
		if err := os.WriteFile(path, state, 0o600); err != nil { // the same file, so that it is no copy
			t.Fatal(err)
		}
		ledger, records, err := Open(path, "r1")
		if err != nil {
			t.Fatalf("state %d of %d: %v", i, len(states), err)
		}
		if err := ledger.Close(); err != nil {
			t.Fatal(err)
		}
		if got := version(records); got != "old" && got != "new" {
			t.Fatalf("state %d of %d: %s", i, len(states), got)
		}
	}
}

// version tells which of the two states of TestKilledWhileWriting the records are.
func version(records []credit.Record) string {
	values := map[string]string{}
	for _, record := range records {
		values[record.Key] = fmt.Sprintf("%d %.3s", len(record.Value), record.Value)
	}
	switch fmt.Sprint(len(records), values["count"], values["account/3"], values["more"]) {
	case fmt.Sprint(31, "2 29", "200 \x00\x00\x00", ""):
		return "old"
	case fmt.Sprint(32, "3 new", "5000 xxx", "300 yyy"):
		return "new"
	}
	return fmt.Sprintf("%d lines, %q", len(records), values)
}

// intermediateStates returns states between two of a file: the pages of data one after the other, each in pieces, and
// then the meta page that has changed, in smaller pieces.
func intermediateStates(before, after []byte) (states [][]byte) {
	const page, piece, metaPiece = 4096, 512, 8
	state := append(bytes.Clone(before), make([]byte, max(len(after)-len(before), 0))...)
	copyTo := func(from, to int) {
		copy(state[from:to], after[from:to])
		states = append(states, bytes.Clone(state))
	}
	changed := func(p int) bool {
		return !bytes.Equal(state[p:min(p+page, len(after))], after[p:min(p+page, len(after))])
	}
	for p := 2 * page; p < len(after); p += page {
		for at := p; changed(p) && at < min(p+page, len(after)); at += piece {
			copyTo(at, min(at+piece, len(after)))
		}
	}
	for _, meta := range []int{0, page} {
		if !changed(meta) {
			continue
		}
		for at := meta; at < meta+page && !bytes.Equal(state[:2*page], after[:2*page]); at += metaPiece {
			copyTo(at, at+metaPiece)
		}
	}
	return states
}
