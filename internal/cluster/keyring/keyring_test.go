package keyring

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// A file to which other users have access, or that holds anything but keys, is rejected, and no error quotes its content.
func TestRead(t *testing.T) {
	key, shortKey := strings.Repeat("0a", 32), strings.Repeat("0b", 16)
	for name, c := range map[string]struct {
		content string
		mode    os.FileMode
		keys    int // 0: rejected
	}{
		"one key":                     {key, 0o600, 1},
		"comments and a repeated key": {"# first\n" + key + "\n\n" + shortKey + "\n" + key + "\n", 0o400, 2},
		"group may read":              {key, 0o640, 0},
		"others may read":             {key, 0o604, 0},
		"group may write":             {key, 0o620, 0},
		"empty":                       {"", 0o600, 0},
		"key too long":                {key + "0a", 0o600, 0},
		"not hex":                     {strings.Repeat("zz", 32), 0o600, 0},
		"key too short":               {key[:30], 0o600, 0},
		"file too long":               {strings.Repeat("#", maxFileBytes+1), 0o600, 0},
	} {
		t.Run(name, func(t *testing.T) {
			path := writeFile(t, c.content, c.mode)
			keys, err := Read(path)
			if len(keys) != c.keys || (err == nil) != (c.keys > 0) {
				t.Errorf("read %d keys, error %v", len(keys), err)
			}
			if c.mode&0o077 != 0 && !errors.Is(err, ErrInsecurePermissions) {
				t.Errorf("mode %o: got error %v", c.mode, err)
			}
			if err != nil && len(c.content) > 16 && strings.Contains(err.Error(), c.content[:16]) {
				t.Errorf("the error quotes the content of the file: %v", err)
			}
		})
	}
	if _, err := Read(t.TempDir()); err == nil {
		t.Error("a directory was accepted")
	}
	if _, err := Read(filepath.Join(t.TempDir(), "missing")); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("a file that does not exist: got error %v", err)
	}
}

func writeFile(t *testing.T, content string, mode os.FileMode) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "keys")
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Chmod(path, mode); err != nil {
		t.Fatal(err)
	}
	return path
}
