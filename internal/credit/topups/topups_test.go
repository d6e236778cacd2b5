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

// A file that the system does not give, for whatever reason, is an error that names the file and the reason.
func TestUnreadableFile(t *testing.T) {
	dir := t.TempDir()
	loop := filepath.Join(dir, "loop")
	if err := os.Symlink(loop, loop); err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		path string
		want error
	}{
		"missing":         {filepath.Join(dir, "none"), fs.ErrNotExist},
		"no such folder":  {filepath.Join(dir, "none", "file"), fs.ErrNotExist},
		"a folder":        {dir, syscall.EISDIR},
		"a loop of links": {loop, syscall.ELOOP},
		"name too long":   {filepath.Join(dir, strings.Repeat("x", 300)), syscall.ENAMETOOLONG},
		"a broken disk":   {"/proc/self/mem", syscall.EIO}, // nothing is mapped at its start
	} {
		if list, err := Read(c.path); !errors.Is(err, c.want) || !strings.Contains(fmt.Sprint(err), c.path) {
			t.Errorf("%s: %v, %v; want %v and the path", name, list, err, c.want)
		}
	}
}

// A file that never ends is read up to the bound, and no further.
func TestEndlessFile(t *testing.T) {
	if list, err := Read("/dev/zero"); err == nil || !strings.Contains(err.Error(), "over") {
		t.Errorf("read %d top-ups, %v", len(list), err)
	}
}

// A file that is cut at any byte, as by a process that is killed while it writes, gives an error, or the top-ups that are there
// as a whole, unchanged.
func TestCutFile(t *testing.T) {
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
		t.Fatalf("the whole file: %v, %v", complete, err)
	}
	for length := range len(twoTopUps) {
		list, err := read(twoTopUps[:length])
		if err != nil {
			continue
		}
		for i, topUp := range list {
			if topUp != complete[i] {
				t.Errorf("cut after %d bytes: %s, want %s", length, topUp, complete[i])
			}
		}
	}
}
