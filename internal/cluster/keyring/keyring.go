// Package keyring reads the keys with which routers that talk encrypt what they say.
package keyring

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
)

const (
	keysMost = 16
	fileMost = 4096
)

// ErrInsecurePermissions says that others than its owner may read the file of keys.
var ErrInsecurePermissions = errors.New("others than its owner may read it: chmod 600")

// Read reads the keys: one a line, in hex, of 16, 24 or 32 bytes; the first encrypts, all decrypt. Empty lines and
// those that begin with # are passed over.
func Read(path string) (keys [][]byte, err error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	info, err := f.Stat() // of what was opened, whatever the path names by now
	switch {
	case err != nil:
		return nil, err
	case !info.Mode().IsRegular() || info.Size() > fileMost:
		return nil, fmt.Errorf("no file of up to %d bytes", fileMost)
	case info.Mode().Perm()&0o077 != 0:
		return nil, ErrInsecurePermissions
	}
	in := bufio.NewScanner(f)
	for n := 1; in.Scan(); n++ {
		line := strings.TrimSpace(in.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		key, err := hex.DecodeString(line)
		if err != nil || len(key) != 16 && len(key) != 24 && len(key) != 32 {
			return nil, fmt.Errorf("line %d is no key of 16, 24 or 32 bytes in hex", n) // the line itself is a secret
		}
		if !slices.ContainsFunc(keys, func(k []byte) bool { return bytes.Equal(k, key) }) {
			keys = append(keys, key)
		}
	}
	if err := in.Err(); err != nil {
		return nil, err
	}
	if len(keys) == 0 || len(keys) > keysMost {
		return nil, fmt.Errorf("holds %d keys, not 1 to %d", len(keys), keysMost)
	}
	return keys, nil
}
