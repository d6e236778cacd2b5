// Package golden compares bytes that an earlier release wrote with those that the code reads and writes now. Only tests use it.
//
// Golden files are in the folder testdata/golden of the tested package. A file whose name ends in .hex holds its bytes in
// hex, with white space anywhere; any other file holds the bytes themselves. This package writes no files: when a format
// changes for a good reason, add a new file by hand. The old file stays for as long as stored data or running processes may
// still use the old format.
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

// Read returns the bytes that the file name of testdata/golden holds. It fails the test if the file cannot be read or decoded.
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

// Same fails the test if got, which holds the bytes that the code writes now, differs from the content of the golden file name.
func Same(t testing.TB, name string, got []byte) {
	t.Helper()
	if want := Read(t, name); !bytes.Equal(got, want) {
		t.Errorf("%s: the code writes bytes that differ from the golden file:\n got %x\nwant %x", name, got, want)
	}
}

// Nonzero fails the test if v, or any field or element of it, is a zero value, so that every field of a golden message is
// tested. It skips fields named _, and those whose path is in except, as in "Order.Whole".
func Nonzero(t testing.TB, v any, except ...string) {
	t.Helper()
	checkNonzero(t, reflect.ValueOf(v), "", except)
}

// checkNonzero checks v, the part of the value that is found at path.
func checkNonzero(t testing.TB, v reflect.Value, path string, except []string) {
	t.Helper()
	if slices.Contains(except, path) {
		return
	}
	if v.IsZero() {
		t.Errorf("%s.%s is zero in the golden value: set it to a nonzero value", v.Type(), path)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			if field := v.Type().Field(i); field.Name != "_" {
				checkNonzero(t, v.Field(i), strings.TrimPrefix(path+"."+field.Name, "."), except)
			}
		}
	case reflect.Slice:
		if v.Type().Elem().Kind() == reflect.Uint8 {
			return
		}
		for i := range v.Len() {
			checkNonzero(t, v.Index(i), path, except)
		}
	}
}
