package store

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	bolt "go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"
)

// unfinishedSuffix is appended to the file name of a ledger until the ledger is complete. A process that was killed may
// have left such a file, so the suffix must not change.
const unfinishedSuffix = ".making"

// create creates a ledger under a temporary name and links it to path once it is complete, so that a kill leaves no
// incomplete file that would be taken for a damaged ledger. If path exists by then, create leaves it unchanged.
func create(path, router string) error {
	unfinished := path + unfinishedSuffix
	if err := removeUnfinished(unfinished); err != nil {
		return err
	}
	file, _, err := openDatabase(unfinished, router)
	if err != nil {
		return err
	}
	if err := file.Close(); err != nil {
		return fmt.Errorf("ledger: %w", err)
	}
	err = os.Link(unfinished, path)
	if err != nil && !errors.Is(err, fs.ErrExist) { // if path exists, another process has created it meanwhile
		return fmt.Errorf("ledger: %w", err)
	}
	if err := os.Remove(unfinished); err != nil {
		return fmt.Errorf("ledger: %w", err)
	}
	return syncDirectory(filepath.Dir(path))
}

// removeUnfinished removes the unfinished file that a killed process has left, if there is one. If another process is
// creating the file now, it returns a FileInUseError.
func removeUnfinished(path string) error {
	if _, err := os.Stat(path); errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	database, err := bolt.Open(path, 0o600, &bolt.Options{Timeout: lockTimeout})
	switch {
	case errors.Is(err, bolterrors.ErrTimeout):
		return FileInUseError{path}
	case err == nil:
		_ = database.Close() // the error does not matter, as nothing was written
	}
	if err := os.Remove(path); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("ledger: %w", err)
	}
	return nil
}

// syncDirectory makes the entries of a directory durable.
func syncDirectory(path string) error {
	directory, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("ledger: %w", err)
	}
	defer directory.Close()
	if err := directory.Sync(); err != nil {
		return fmt.Errorf("ledger: %w", err)
	}
	return nil
}
