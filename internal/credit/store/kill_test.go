package store

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

// A router that is killed at any moment of making its ledger can make it again: nothing was promised by then. What a kill
// leaves half written is told from a ledger that is damaged.
func TestKilledAsItIsMade(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "r1.ledger")
	l, _, err := Open(path, "r1")
	if err != nil {
		t.Fatal(err)
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for cut := 0; cut <= len(whole); cut += 511 {
		dir := t.TempDir()
		path := filepath.Join(dir, "r1.ledger")
		if err := os.WriteFile(path+making, whole[:cut], 0o600); err != nil {
			t.Fatal(err)
		}
		l, all, err := Open(path, "r1")
		if err != nil || len(all) != 0 {
			t.Fatalf("killed after %d bytes: %d lines, %v", cut, len(all), err)
		}
		if err := l.Write([]Record{{"a", []byte("1")}}); err != nil {
			t.Fatal(err)
		}
		if err := l.Close(); err != nil {
			t.Fatal(err)
		}
		if _, all, err = Open(path, "r1"); err != nil || len(all) != 1 {
			t.Fatalf("killed after %d bytes, then written: %d lines, %v", cut, len(all), err)
		}
	}
	if _, err := os.Stat(path + making); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("what the ledger was made as is left: %v", err)
	}
}

// A router that is killed in the middle of a write finds all that was acknowledged, and of the group that was being written all
// lines or none. The disk may have any of the pages that were written before the sync, and then any part of the meta page.
func TestKilledInTheMiddleOfAWrite(t *testing.T) {
	path := filepath.Join(t.TempDir(), "r1.ledger")
	make1(t, path, 30)
	l, _, err := Open(path, "r1")
	if err != nil {
		t.Fatal(err)
	}
	before := read(t, path)
	group := []Record{{"count", []byte("new")}, {"account/3", bytes.Repeat([]byte("x"), 5000)}, {"more", bytes.Repeat([]byte("y"), 300)}}
	if err := l.Write(group); err != nil {
		t.Fatal(err)
	}
	after := read(t, path)
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	states := halfWritten(before, after)
	if len(states) < 20 {
		t.Fatalf("%d states", len(states))
	}
	for i, state := range states {
		if err := os.WriteFile(path, state, 0o600); err != nil { // the same file, so that it is no copy
			t.Fatal(err)
		}
		l, all, err := Open(path, "r1")
		if err != nil {
			t.Fatalf("state %d of %d: %v", i, len(states), err)
		}
		if err := l.Close(); err != nil {
			t.Fatal(err)
		}
		if got := version(all); got != "old" && got != "new" {
			t.Fatalf("state %d of %d: %s", i, len(states), got)
		}
	}
}

func read(t *testing.T, path string) []byte {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// version tells which of the two states of the test above the lines are.
func version(all []Record) string {
	values := map[string]string{}
	for _, l := range all {
		values[l.Key] = fmt.Sprintf("%d %.3s", len(l.Value), l.Value)
	}
	switch fmt.Sprint(len(all), values["count"], values["account/3"], values["more"]) {
	case fmt.Sprint(31, "2 29", "200 \x00\x00\x00", ""):
		return "old"
	case fmt.Sprint(32, "3 new", "5000 xxx", "300 yyy"):
		return "new"
	}
	return fmt.Sprintf("%d lines, %q", len(all), values)
}

// halfWritten are states between two of a file: the pages of data one after the other, each in pieces, and behind them the
// meta page that has changed, in smaller pieces.
func halfWritten(before, after []byte) (states [][]byte) {
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
