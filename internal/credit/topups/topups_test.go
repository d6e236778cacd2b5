package topups

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

const twoTopUps = `among = ["r1", "r2"]

topup "first" {
  account = "acme"
  amount  = 12.5
}
topup "second" {
  account = "small"
  amount  = 3
  among   = ["r1"]
}
`

// For a file that the system fails to open or read, Read returns an error that names the file and wraps the system's
// error.
func TestUnreadableFileReportsPathAndReason(t *testing.T) {
	dir := t.TempDir()
	loop := filepath.Join(dir, "loop")
	if err := os.Symlink(loop, loop); err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		path string
		want error
	}{
		"missing":           {filepath.Join(dir, "none"), fs.ErrNotExist},
		"missing directory": {filepath.Join(dir, "none", "file"), fs.ErrNotExist},
		"directory":         {dir, syscall.EISDIR},
		"symlink loop":      {loop, syscall.ELOOP},
		"name too long":     {filepath.Join(dir, strings.Repeat("x", 300)), syscall.ENAMETOOLONG},
		"read error":        {"/proc/self/mem", syscall.EIO}, // no memory is mapped at address 0
	} {
		if list, err := Read(c.path); !errors.Is(err, c.want) || !strings.Contains(fmt.Sprint(err), c.path) {
			t.Errorf("%s: %v, %v; want %v and the path", name, list, err, c.want)
		}
	}
}

// Reading a file without an end stops at the size limit with an error.
func TestEndlessFileRejected(t *testing.T) {
	if list, err := Read("/dev/zero"); err == nil || !strings.Contains(err.Error(), "over") {
		t.Errorf("read %d top-ups, %v", len(list), err)
	}
}

// A file that is truncated at any byte, as by a process that is killed while it writes, gives an error, or only complete
// and unchanged top-ups.
func TestTruncatedFileHasErrorOrWholeTopUps(t *testing.T) {
	path := filepath.Join(t.TempDir(), "topups.hcl")
	read := func(text string) (list []string, err error) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		topUps, err := Read(path)
		for _, topUp := range topUps {
			list = append(list, fmt.Sprint(topUp))
		}
		return list, err
	}
	complete, err := read(twoTopUps)
	if err != nil || len(complete) != 2 {
		t.Fatalf("complete file: read %v, %v", complete, err)
	}
	for length := range len(twoTopUps) {
		list, err := read(twoTopUps[:length])
		if err != nil {
			continue
		}
		for i, topUp := range list {
			if topUp != complete[i] {
				t.Errorf("truncated to %d bytes: read %s, want %s", length, topUp, complete[i])
			}
		}
	}
}
