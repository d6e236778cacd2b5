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

// ledgerPathEnv is the environment variable with the path of the ledger that a child process of the test writes. It is
// set only for that process.
const ledgerPathEnv = "HILLKNOT_TEST_LEDGER"

// TestMain runs writeWithAndWithoutSpace instead of the tests in a child process that has ledgerPathEnv set.
func TestMain(m *testing.M) {
	if path := os.Getenv(ledgerPathEnv); path != "" {
		if err := writeWithAndWithoutSpace(path); err != nil {
			fmt.Println(err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// writeWithAndWithoutSpace writes a ledger, limits the size of files so that writes fail, and writes again without the
// limit.
func writeWithAndWithoutSpace(path string) error {
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
			return errors.New("a write over the file size limit succeeded")
		}
	}
	if err := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &unlimited); err != nil {
		return err
	}
	if err := ledger.Write(large); err != nil {
		return fmt.Errorf("write after the limit was lifted: %w", err)
	}
	return ledger.Close()
}

// A ledger on a full disk returns an error for each write, keeps all records that were acknowledged before, and takes
// writes again once there is space.
func TestWritesFailWhileDiskFullThenSucceed(t *testing.T) {
	path := filepath.Join(t.TempDir(), "r1.ledger")
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), ledgerPathEnv+"="+path)
	if output, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, output)
	}
	ledger, records, err := Open(path, "r1")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ledger.Close() })
	var found []string
	for _, record := range records {
		found = append(found, fmt.Sprintf("%s %d", record.Key, len(record.Value)))
	}
	if got := strings.Join(found, ", "); got != "before 1, large 1048576" {
		t.Errorf("the ledger holds %s, want before 1, large 1048576", got)
	}
}
