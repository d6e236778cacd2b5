package store

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	bolt "go.etcd.io/bbolt"

	"hillknot/internal/credit"
	"hillknot/internal/testutil/golden"
)

// Ledgers outlive the releases that write them. testdata/golden/r1.ledger was written at commit 86ccf0f.
//
// The bytes depend on the names of the buckets metadataBucket and recordsBucket, on the keys formatKey, routerKey, idKey
// and fileKey, and on the value of the constant format, but on no name of a type or field. A killed process may have left
// a file whose name ends in unfinishedSuffix. A stored value is a checksum (CRC-32 of key and value, 4 bytes, big-endian)
// followed by the record's value. checkLength reads bbolt's own pages.

const goldenLedgerID = "9ad047be1ce9f8e4d640c89889da1a33" // random, chosen when the golden file was created

var goldenRecords = []credit.Record{
	record("account/acme", []byte{0x82, 0x1a, 0, 1, 0x11, 0x70, 0x19, 1, 0x2c}),
	record("empty", []byte{}),
	record("gift/r2", bytes.Repeat([]byte("more than a page "), 300)),
	record("meta", []byte("a line that was written twice")),
	record("zero/\x00\xff", []byte{0}),
}

// writeGolden writes the golden records in two groups. The second overwrites a record of the first.
func writeGolden(t *testing.T, path string) {
	t.Helper()
	ledger, records, err := Open(path, "r1")
	if err != nil || len(records) != 0 {
		t.Fatalf("%d records, %v", len(records), err)
	}
	first := []credit.Record{record("meta", []byte("the first time")), goldenRecords[0]}
	for _, group := range [][]credit.Record{first, goldenRecords[1:]} {
		if err := ledger.Write(group); err != nil {
			t.Fatal(err)
		}
	}
	if err := ledger.Close(); err != nil {
		t.Fatal(err)
	}
}

// contents lists all buckets, keys and values of a file. It replaces two values that differ between files: the ledger ID,
// which is random, and the file identity. It replaces the ID only if that has 32 hex digits.
func contents(t *testing.T, path string) string {
	t.Helper()
	db, err := bolt.Open(path, 0o600, &bolt.Options{ReadOnly: true})
	if err != nil {
		t.Fatal(err)
	}
	defer db.Close()
	var text strings.Builder
	err = db.View(func(tx *bolt.Tx) error {
		return tx.ForEach(func(bucket []byte, b *bolt.Bucket) error {
			return b.ForEach(func(k, v []byte) error {
				switch {
				case v == nil:
					return fmt.Errorf("bucket %q in %q", k, bucket)
				case string(bucket) == "about" && string(k) == "id" && len(v) == 32 && len(bytes.Trim(v, "0123456789abcdef")) == 0:
					v = []byte("32 hex digits")
				case string(bucket) == "about" && string(k) == "file" && len(v) > 0:
					v = []byte("of this file")
				}
				fmt.Fprintf(&text, "%q %q %x\n", bucket, k, v)
				return nil
			})
		})
	})
	if err != nil {
		t.Fatal(err)
	}
	return text.String()
}

// copyGolden copies the golden file and stores the copy's own file identity in it, because Open rejects a copy with the
// identity of another file.
func copyGolden(t *testing.T) (path string) {
	t.Helper()
	path = filepath.Join(t.TempDir(), "r1.ledger")
	if err := os.WriteFile(path, golden.Read(t, "r1.ledger"), 0o600); err != nil {
		t.Fatal(err)
	}
	identity, err := fileIdentity(path)
	if err != nil {
		t.Fatal(err)
	}
	db, err := bolt.Open(path, 0o600, nil)
	if err != nil {
		t.Fatal(err)
	}
	if err := db.Update(func(tx *bolt.Tx) error {
		return tx.Bucket([]byte("about")).Put([]byte("file"), []byte(identity))
	}); err != nil {
		t.Fatal(err)
	}
	if err := db.Close(); err != nil {
		t.Fatal(err)
	}
	return path
}

// All records of the golden ledger are read, its ID stays the same, and more records can be written.
func TestGoldenLedgerReadAndExtended(t *testing.T) {
	path := copyGolden(t)
	ledger, records, err := Open(path, "r1")
	if err != nil || !reflect.DeepEqual(records, goldenRecords) || ledger.LedgerID != goldenLedgerID {
		t.Fatalf("read %q of %q, %v; want %q of %q", records, ledger.LedgerID, err, goldenRecords, goldenLedgerID)
	}
	if err := ledger.Write([]credit.Record{record("more", []byte("of today"))}); err != nil {
		t.Fatal(err)
	}
	if err := ledger.Close(); err != nil {
		t.Fatal(err)
	}
	ledger, records, err = Open(path, "r1")
	if err != nil || len(records) != len(goldenRecords)+1 || ledger.LedgerID != goldenLedgerID {
		t.Fatalf("read %q, %v", records, err)
	}
	if err := ledger.Close(); err != nil {
		t.Fatal(err)
	}
}

// Writing the golden records again gives the same buckets, keys and values as those of the golden file.
func TestGoldenContents(t *testing.T) {
	path := filepath.Join(t.TempDir(), "r1.ledger")
	writeGolden(t, path)
	golden.Same(t, "contents.txt", []byte(contents(t, path)))
	golden.Same(t, "contents.txt", []byte(contents(t, copyGolden(t))))
}

// An unfinished file that a killed process of an earlier release has left is removed.
func TestGoldenUnfinishedFileRemoved(t *testing.T) {
	path := filepath.Join(t.TempDir(), "r1.ledger")
	unfinished := path + ".making"
	if err := os.WriteFile(unfinished, golden.Read(t, "r1.ledger")[:5000], 0o600); err != nil {
		t.Fatal(err)
	}
	ledger, records, err := Open(path, "r1")
	if err != nil || len(records) != 0 {
		t.Fatalf("%d records, %v", len(records), err)
	}
	if err := ledger.Close(); err != nil {
		t.Fatal(err)
	}
	if _, err := os.Stat(unfinished); !os.IsNotExist(err) {
		t.Errorf("%s is still there: %v", unfinished, err)
	}
}
