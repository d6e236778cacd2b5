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

// A router that is killed at any moment while it creates its ledger can create it again, because no record was
// acknowledged by then. Open must not take an unfinished file for a damaged ledger.
func TestKilledWhileCreatingCanCreateAgain(t *testing.T) {
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
			t.Fatalf("killed after %d bytes: %d records, %v", size, len(records), err)
		}
		if err := ledger.Write([]credit.Record{record("a", []byte("1"))}); err != nil {
			t.Fatal(err)
		}
		if err := ledger.Close(); err != nil {
			t.Fatal(err)
		}
		if _, records, err = Open(path, "r1"); err != nil || len(records) != 1 {
			t.Fatalf("killed after %d bytes, then written: %d records, %v", size, len(records), err)
		}
	}
	if _, err := os.Stat(path + unfinishedSuffix); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("the unfinished file still exists: %v", err)
	}
}

// A router that is killed during a write finds all acknowledged records, and all or none of the records of the group that
// was being written. The disk may hold any of the pages that were written before the sync, and then any part of the meta
// page.
func TestKilledWhileWritingKeepsGroupsWhole(t *testing.T) {
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
		t.Fatalf("%d intermediate states, want at least 20", len(states))
	}
	for i, state := range states {
		if err := os.WriteFile(path, state, 0o600); err != nil { // overwrites the same file, so that it is not a copy
			t.Fatal(err)
		}
		ledger, records, err := Open(path, "r1")
		if err != nil {
			t.Fatalf("state %d of %d: %v", i, len(states), err)
		}
		if err := ledger.Close(); err != nil {
			t.Fatal(err)
		}
		if got := recordsState(records); got != "old" && got != "new" {
			t.Fatalf("state %d of %d: neither old nor new: %s", i, len(states), got)
		}
	}
}

// recordsState returns "old" or "new" if the records are those before or after the write of
// TestKilledWhileWritingKeepsGroupsWhole, and otherwise a description of the records.
func recordsState(records []credit.Record) string {
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
	return fmt.Sprintf("%d records, %q", len(records), values)
}

// intermediateStates returns the contents that a file may have while it changes from before to after: first the data
// pages change one after the other, each in pieces of 512 bytes, then the changed meta page in pieces of 8 bytes.
func intermediateStates(before, after []byte) (states [][]byte) {
	const page, piece, metaPiece = 4096, 512, 8
	state := append(bytes.Clone(before), make([]byte, max(len(after)-len(before), 0))...)
	copyTo := func(from, to int) {
		copy(state[from:to], after[from:to])
		states = append(states, bytes.Clone(state))
	}
	changed := func(offset int) bool {
		return !bytes.Equal(state[offset:min(offset+page, len(after))], after[offset:min(offset+page, len(after))])
	}
	for offset := 2 * page; offset < len(after); offset += page {
		for start := offset; changed(offset) && start < min(offset+page, len(after)); start += piece {
			copyTo(start, min(start+piece, len(after)))
		}
	}
	for _, metaOffset := range []int{0, page} {
		if !changed(metaOffset) {
			continue
		}
		for start := metaOffset; start < metaOffset+page && !bytes.Equal(state[:2*page], after[:2*page]); start += metaPiece {
			copyTo(start, start+metaPiece)
		}
	}
	return states
}
