// Package golden compares bytes that an earlier release wrote with what the code reads and writes now. Only tests use it.
//
// The files are in testdata/golden of the package that is tested. One that ends in .hex holds the bytes in hex, with white
// space anywhere; all others are the bytes themselves. Nothing here writes a file: a form that changes for a good reason gets
// a new file, written by hand. The old one stays for as long as stored data or running processes may still have its form.
package golden

import (
	"bytes"
	"encoding/hex"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
)

// Read returns the bytes that a file of testdata/golden holds. It fails the test where they cannot be read.
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

// Same fails the test where the bytes that the code writes now differ from those of a file.
func Same(t testing.TB, name string, got []byte) {
	t.Helper()
	if want := Read(t, name); !bytes.Equal(got, want) {
		t.Errorf("%s: the code writes other bytes now:\n got %x\nwant %x", name, got, want)
	}
}

// Nonzero fails the test where a value, or a field or an element of it, is its zero value, so that no field of a golden message
// stays untested. It skips fields named _, and those whose path is excepted, as in "Order.Whole".
func Nonzero(t testing.TB, v any, except ...string) {
	t.Helper()
	nonzero(t, reflect.ValueOf(v), "", except)
}

// nonzero checks the part of the value that a path leads to.
func nonzero(t testing.TB, v reflect.Value, path string, except []string) {
	t.Helper()
	if slices.Contains(except, path) {
		return
	}
	if v.IsZero() {
		t.Errorf("%s.%s is zero in the golden value: give it another value", v.Type(), path)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			if field := v.Type().Field(i); field.Name != "_" {
				nonzero(t, v.Field(i), strings.TrimPrefix(path+"."+field.Name, "."), except)
			}
		}
	case reflect.Slice:
		if v.Type().Elem().Kind() == reflect.Uint8 {
			return
		}
		for i := range v.Len() {
			nonzero(t, v.Index(i), path, except)
		}
	}
}
