package keyring

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// A file that others may read, or that holds anything but keys, is refused, and no error repeats what stands in it.
func TestRead(t *testing.T) {
	key := strings.Repeat("0a", 32)
	for _, c := range []struct {
		text string
		mode os.FileMode
		keys int // 0: refused
	}{
		{key, 0o600, 1},
		{"# first\n" + key + "\n\n" + strings.Repeat("0b", 16) + "\n" + key + "\n", 0o400, 2},
		{key, 0o640, 0}, {key, 0o604, 0}, {key, 0o620, 0},
		{"", 0o600, 0}, {key + "0a", 0o600, 0}, {strings.Repeat("zz", 32), 0o600, 0}, {key[:30], 0o600, 0},
		{strings.Repeat("#", fileMost+1), 0o600, 0},
	} {
		path := filepath.Join(t.TempDir(), "keys")
		if err := os.WriteFile(path, []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Chmod(path, c.mode); err != nil {
			t.Fatal(err)
		}
		keys, err := Read(path)
		if len(keys) != c.keys || (err == nil) != (c.keys > 0) {
			t.Errorf("%.70q with mode %o: %d keys, %v", c.text, c.mode, len(keys), err)
		}
		if c.mode&0o077 != 0 && !errors.Is(err, ErrInsecurePermissions) {
			t.Errorf("mode %o: %v", c.mode, err)
		}
		if err != nil && len(c.text) > 16 && strings.Contains(err.Error(), c.text[:16]) {
			t.Errorf("the error tells a secret: %v", err)
		}
	}
	if _, err := Read(t.TempDir()); err == nil {
		t.Error("a folder was read")
	}
}
