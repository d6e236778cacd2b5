package keyring

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"hillknot/internal/testutil/golden"
)

// Operators keep this file, and write it by hand: no name of Go reaches its bytes. The file of testdata/golden is as
// commit 86ccf0f reads it; its keys protect nothing.
func TestGoldenKeys(t *testing.T) {
	path := filepath.Join(t.TempDir(), "keys") // a checkout is readable for others
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
