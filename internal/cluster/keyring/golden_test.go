package keyring

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"hillknot/internal/testutil/golden"
)

// Operators write key files by hand and keep them across releases; their form depends on no Go names. Commit 86ccf0f reads
// the file of testdata/golden with this result. Its keys protect nothing.
func TestGoldenKeys(t *testing.T) {
	path := filepath.Join(t.TempDir(), "keys") // a copy, as other users may read a file of a checkout
	if err := os.WriteFile(path, golden.Read(t, "keys.txt"), 0o600); err != nil {
		t.Fatal(err)
	}
	got, err := Read(path)
	count := func(from byte, n int) (key []byte) {
		for i := range n {
			key = append(key, from+byte(i))
		}
		return key
	}
	if want := [][]byte{count(0x10, 16), count(0x40, 24), count(0x80, 32)}; err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("read as %x, %v; want %x", got, err, want)
	}
}
