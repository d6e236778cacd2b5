// Package golden holds bytes that an earlier release wrote against what the code reads and writes now. Tests use it; the
// router does not.
//
// The files are in testdata/golden of the package that is tested. One that ends in .hex holds the bytes in hex, with line ends
// anywhere; all others are the bytes themselves. Nothing here writes a file: a form that changes for a good reason gets a new
// file, written by hand, beside the old one for as long as stored data or running processes may still have that.
package golden

import (
	"bytes"
	"encoding/hex"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

// Read returns the bytes that a file of testdata/golden holds.
func Read(t testing.TB, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", "golden", name))
	if err != nil {
		t.Fatal(err)
	}
	if filepath.Ext(name) != ".hex" {
		return text
	}
	data, err := hex.DecodeString(strings.Join(strings.Fields(string(text)), ""))
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return data
}

// Same fails the test where bytes written now are not those of a file.
func Same(t testing.TB, name string, got []byte) {
	t.Helper()
	if want := Read(t, name); !bytes.Equal(got, want) {
		t.Errorf("%s: the code writes other bytes now:\n got %x\nwant %x", name, got, want)
	}
}

// Nonzero fails the test where a value, or an exported or unexported part of it, is its zero value, so that no field of a
// golden message stays untested. Fields named _ are passed over, and parts that a path names, as in "Order.Whole".
func Nonzero(t testing.TB, v any, but ...string) {
	t.Helper()
	nonzero(t, reflect.ValueOf(v), "", but)
}

func nonzero(t testing.TB, v reflect.Value, path string, but []string) {
	t.Helper()
	for _, b := range but {
		if b == path {
			return
		}
	}
	if v.IsZero() {
		t.Errorf("%s.%s is zero in the golden value: give it another value", v.Type(), path)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			if f := v.Type().Field(i); f.Name != "_" {
				nonzero(t, v.Field(i), strings.TrimPrefix(path+"."+f.Name, "."), but)
			}
		}
	case reflect.Slice:
		if v.Type().Elem().Kind() == reflect.Uint8 {
			return
		}
		for i := range v.Len() {
			nonzero(t, v.Index(i), path, but)
		}
	}
}
