package prepaidcredit

import (
	"path/filepath"
	"testing"

	"hillknot/internal/credit"
	"hillknot/internal/credit/store"
)

// The writer calls completed once for each group, each group has one result, and stop waits until the goroutine has ended.
func TestRecordWriterReportsEachResult(t *testing.T) {
	path := filepath.Join(t.TempDir(), "r1.ledger")
	file, _, err := store.Open(path, "r1")
	if err != nil {
		t.Fatal(err)
	}
	completed := make(chan struct{}, 2)
	w := newRecordWriter(file, func() { completed <- struct{}{} })
	w.start()
	for _, key := range []string{"account/a", "account/b"} {
		w.write([]credit.Record{{Key: key, Value: []byte("value")}})
		if err := w.result(); err != nil {
			t.Fatal(err)
		}
	}
	w.stop()
	if len(completed) != 2 {
		t.Errorf("completed was called %d times, want 2", len(completed))
	}
	if err := file.Close(); err != nil {
		t.Fatal(err)
	}
	reopened, records, err := store.Open(path, "r1")
	if err != nil || len(records) != 2 {
		t.Fatalf("%d records, %v", len(records), err)
	}
	t.Cleanup(func() { _ = reopened.Close() })
}

// A failed write returns the store's error as its result.
func TestRecordWriterReportsStoreError(t *testing.T) {
	file, _, err := store.Open(filepath.Join(t.TempDir(), "r1.ledger"), "r1")
	if err != nil {
		t.Fatal(err)
	}
	if err := file.Close(); err != nil {
		t.Fatal(err)
	}
	w := newRecordWriter(file, func() {})
	w.start()
	w.write([]credit.Record{{Key: "account/a"}})
	if err := w.result(); err == nil {
		t.Error("a write to a closed file succeeded")
	}
	w.stop()
}
