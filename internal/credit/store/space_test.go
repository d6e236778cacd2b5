package store

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"hillknot/internal/credit"
)

// spaceFile names the ledger of a process that is to run out of space.
const spaceFile = "HILLKNOT_TEST_LEDGER"

// TestMain lets the test's own program be a process whose files may not grow for a while.
func TestMain(m *testing.M) {
	if path := os.Getenv(spaceFile); path != "" {
		if err := runOutOfSpace(path); err != nil {
			fmt.Println(err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// runOutOfSpace writes a ledger, has writes fail for want of space, and writes on once there is space again.
func runOutOfSpace(path string) error {
	ledger, _, err := Open(path, "r1")
	if err != nil {
		return err
	}
	if err := ledger.Write([]credit.Record{record("before", []byte("1"))}); err != nil {
		return err
	}
	signal.Ignore(syscall.SIGXFSZ) // the write fails with EFBIG instead
	info, err := os.Stat(path)
	if err != nil {
		return err
	}
	var unlimited syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_FSIZE, &unlimited); err != nil {
		return err
	}
	full := syscall.Rlimit{Cur: uint64(info.Size()), Max: unlimited.Max}
	if err := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &full); err != nil {
		return err
	}
	large := []credit.Record{record("large", bytes.Repeat([]byte("x"), 1<<20))}
	for range 20 {
		if err := ledger.Write(large); err == nil {
			return errors.New("written without space")
		}
	}
	if err := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &unlimited); err != nil {
		return err
	}
	if err := ledger.Write(large); err != nil {
		return fmt.Errorf("with space again: %w", err)
	}
	return ledger.Close()
}

// A ledger that could not be written because the disk was full holds all that was acknowledged before, says so of
// each write that fails, and takes writes again once there is space.
func TestDiskFullForAWhile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "r1.ledger")
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), spaceFile+"="+path)
	if text, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, text)
	}
	ledger, records, err := Open(path, "r1")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ledger.Close() })
	var keys []string
	for _, record := range records {
		keys = append(keys, fmt.Sprintf("%s %d", record.Key, len(record.Value)))
	}
	if got := strings.Join(keys, ", "); got != "before 1, large 1048576" {
		t.Errorf("the ledger holds %s", got)
	}
}
