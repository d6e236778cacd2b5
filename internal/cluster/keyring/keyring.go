// Package keyring reads the keys with which the routers of a cluster encrypt their gossip.
package keyring

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
)

const (
	maxKeys      = 16
	maxFileBytes = 4096
)

// ErrInsecurePermissions reports that users other than its owner have access to the key file.
var ErrInsecurePermissions = errors.New("users other than its owner have access to it: run chmod 600")

// Read reads a key file: one key a line, in hex, of 16, 24 or 32 bytes (AES-128, AES-192, AES-256). The first key
// encrypts, all of them decrypt. Empty lines and those that begin with # are ignored, as are repeated keys. No error
// quotes the content of the file. errors.Is finds ErrInsecurePermissions in the error for a file with such permissions.
func Read(path string) ([][]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	if err := checkFile(f); err != nil {
		return nil, err
	}
	keys, err := parse(f)
	if err != nil {
		return nil, err
	}
	if len(keys) == 0 || len(keys) > maxKeys {
		return nil, fmt.Errorf("file holds %d keys, not 1 to %d", len(keys), maxKeys)
	}
	return keys, nil
}

// checkFile checks the file that was opened, as the path may name another one by now.
func checkFile(f *os.File) error {
	info, err := f.Stat()
	if err != nil {
		return err
	}
	if !info.Mode().IsRegular() || info.Size() > maxFileBytes {
		return fmt.Errorf("not a regular file of up to %d bytes", maxFileBytes)
	}
	const groupAndOthers = 0o077
	if info.Mode().Perm()&groupAndOthers != 0 {
		return ErrInsecurePermissions
	}
	return nil
}

func parse(in io.Reader) ([][]byte, error) {
	var keys [][]byte
	lines := bufio.NewScanner(in)
	for number := 1; lines.Scan(); number++ {
		line := strings.TrimSpace(lines.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		key, err := hex.DecodeString(line)
		if err != nil || !validLength(key) {
			// The line may be a secret, and the decoder's error quotes from it.
			return nil, fmt.Errorf("line %d is not a key of 16, 24 or 32 bytes in hex", number)
		}
		known := slices.ContainsFunc(keys, func(k []byte) bool { return bytes.Equal(k, key) })
		if !known {
			keys = append(keys, key)
		}
	}
	return keys, lines.Err()
}

func validLength(key []byte) bool { return slices.Contains([]int{16, 24, 32}, len(key)) }
