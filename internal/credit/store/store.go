// Package store keeps the records of a credit ledger in one bbolt file, where they survive a kill of the process.
// Records are written in groups: after a kill the file holds all records of a group, or none.
//
// A ledger must not be copied or restored from a backup, because its funds may have been spent since. So a file is bound
// to the router that created it and to its device and inode.
package store

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"runtime/debug"
	"time"

	bolt "go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"

	"hillknot/internal/credit"
)

// lockTimeout is how long Open waits for another process to close the file.
const lockTimeout = 200 * time.Millisecond

// File is an open ledger. It may be used by several goroutines at the same time.
type File struct {
	// LedgerID was chosen at random when the file was created.
	LedgerID string

	database *bolt.DB
}

// Open opens the ledger of a router, or creates it, and returns its records sorted by key. An error is a ForeignFileError,
// CorruptFileError or FileInUseError, or comes from the file system.
func Open(path, router string) (*File, []credit.Record, error) {
	info, err := os.Stat(path)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		if err := create(path, router); err != nil {
			return nil, nil, err
		}
	case err == nil && info.Size() > 0:
		if err := checkLength(path, info.Size()); err != nil {
			return nil, nil, err
		}
	}
	return openDatabase(path, router)
}

// openDatabase opens a file that is a ledger, or initializes an empty or missing file as one.
func openDatabase(path, router string) (file *File, records []credit.Record, err error) {
	// Reads of a damaged file may fault. Without SetPanicOnFault a fault would end the process.
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if cause := recover(); cause != nil {
			file, records, err = nil, nil, CorruptFileError{path, fmt.Sprint(cause)}
		}
	}()
	database, err := bolt.Open(path, 0o600, &bolt.Options{Timeout: lockTimeout})
	if err != nil {
		return nil, nil, openError(path, err)
	}
	file = &File{database: database}
	records, err = file.load(path, router)
	if err != nil {
		_ = database.Close() // the first error is the one to report
		return nil, nil, err
	}
	return file, records, nil
}

// openError returns the error to report for an error with which bbolt failed to open a file.
func openError(path string, err error) error {
	switch {
	case errors.Is(err, bolterrors.ErrTimeout):
		return FileInUseError{path}
	case errors.As(err, new(*os.PathError)):
		return fmt.Errorf("ledger: %w", err)
	}
	return CorruptFileError{path, err.Error()}
}

// Write writes all of the records or none, and returns once they are durable. After an error they may be durable or not.
func (f *File) Write(records []credit.Record) error {
	return f.database.Update(func(tx *bolt.Tx) error {
		bucket := tx.Bucket(recordsBucket)
		for _, record := range records {
			key := []byte(record.Key)
			if err := bucket.Put(key, encodeValue(key, record.Value)); err != nil {
				return err
			}
		}
		return nil
	})
}

// Close closes the file.
func (f *File) Close() error { return f.database.Close() }
