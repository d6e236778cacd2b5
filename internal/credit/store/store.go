// Package store keeps lines on the disk that must survive a kill, in one bbolt file: all lines of a group are there, or none.
package store

import (
	"bytes"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"os"
	"path/filepath"
	"runtime/debug"
	"syscall"
	"time"

	bolt "go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"

	"hillknot/internal/operatorhint"
)

// ForeignFileError says that a file is no ledger of this router.
type ForeignFileError struct{ Path, Why string }

func (e ForeignFileError) Error() string {
	return fmt.Sprintf("%s is no ledger of this router: %s", e.Path, e.Why)
}

// Hint implements operatorhint.Error.
func (ForeignFileError) Hint() string {
	return "Name this router's own file; a copied ledger is refused, as what it holds may be spent already: move the first one back."
}

// CorruptFileError says that a ledger is damaged.
type CorruptFileError struct{ Path, Why string }

func (e CorruptFileError) Error() string { return fmt.Sprintf("%s is damaged: %s", e.Path, e.Why) }

// Hint implements operatorhint.Error.
func (CorruptFileError) Hint() string {
	return "Keep the file for who can read it, and start the router under a name that no router had; what it held rests."
}

// FileInUseError says that another process has the ledger open.
type FileInUseError struct{ Path string }

func (e FileInUseError) Error() string { return e.Path + " is open in another process" }

// Hint implements operatorhint.Error.
func (FileInUseError) Hint() string {
	return "End the other process, or give each router a ledger of its own."
}

// Errors holds an example of each type of this package, as docs/errors.md shows it.
var Errors = []operatorhint.Error{ForeignFileError{"r1.ledger", "it is of \"r2\""}, CorruptFileError{"r1.ledger", "it is shorter than it says"}, FileInUseError{"r1.ledger"}}

// Record is a key and its value.
type Record struct {
	Key   string
	Value []byte
}

// File is an open file. Its methods may be called anywhere; Write blocks until the disk has it.
type File struct {
	db       *bolt.DB
	LedgerID string // drawn as the file was made
}

var (
	about = []byte("about")
	lines = []byte("lines")
)

const (
	format   = "hillknot ledger 1"
	openWait = 200 * time.Millisecond
	making   = ".making" // behind the name of a ledger that is not whole yet
)

// Open opens the ledger of a router, or makes it, and returns its lines. An error is Foreign, Torn or InUse, or one of the
// file system.
func Open(path, self string) (l *File, all []Record, err error) {
	switch info, err := os.Stat(path); {
	case errors.Is(err, fs.ErrNotExist):
		if err := create(path, self); err != nil {
			return nil, nil, err
		}
	case err == nil && info.Size() > 0:
		if err := looked(path, info.Size()); err != nil {
			return nil, nil, err
		}
	}
	return open(path, self)
}

// create makes a new ledger under another name and gives it its own once it is whole: a kill leaves no half of one that would
// be taken for a damaged ledger.
func create(path, self string) error {
	unfinished := path + making
	if err := claimUnfinished(unfinished); err != nil {
		return err
	}
	l, _, err := open(unfinished, self)
	if err != nil {
		return err
	}
	if err := l.Close(); err != nil {
		return fmt.Errorf("ledger: %w", err)
	}
	if err := os.Link(unfinished, path); err != nil && !errors.Is(err, fs.ErrExist) { // if it exists, another process was quicker
		return fmt.Errorf("ledger: %w", err)
	}
	if err := os.Remove(unfinished); err != nil {
		return fmt.Errorf("ledger: %w", err)
	}
	return syncFolder(filepath.Dir(path))
}

// claimUnfinished removes what a process that was killed has left, unless it is being made just now.
func claimUnfinished(path string) error {
	if _, err := os.Stat(path); errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	db, err := bolt.Open(path, 0o600, &bolt.Options{Timeout: openWait})
	switch {
	case errors.Is(err, bolterrors.ErrTimeout):
		return FileInUseError{path}
	case err == nil:
		_ = db.Close() // nothing was written
	}
	if err := os.Remove(path); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("ledger: %w", err)
	}
	return nil
}

// syncFolder has the disk hold what was renamed in a folder.
func syncFolder(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("ledger: %w", err)
	}
	defer dir.Close()
	if err := dir.Sync(); err != nil {
		return fmt.Errorf("ledger: %w", err)
	}
	return nil
}

// open opens a file that is a ledger, or is to become one.
func open(path, self string) (l *File, all []Record, err error) {
	// What is damaged in other ways may make reads fault, which would end the process.
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			l, all, err = nil, nil, CorruptFileError{path, fmt.Sprint(p)}
		}
	}()
	db, err := bolt.Open(path, 0o600, &bolt.Options{Timeout: openWait})
	switch {
	case errors.Is(err, bolterrors.ErrTimeout):
		return nil, nil, FileInUseError{path}
	case err != nil && errors.As(err, new(*os.PathError)):
		return nil, nil, fmt.Errorf("ledger: %w", err)
	case err != nil:
		return nil, nil, CorruptFileError{path, err.Error()}
	}
	l = &File{db: db}
	if all, err = l.begin(path, self); err != nil {
		_ = db.Close() // the first error is the one to report
		return nil, nil, err
	}
	return l, all, nil
}

// looked tells whether a file begins as a ledger does, and is as long as it says: reads of what is missing would fault. It
// reads bbolt's two meta pages: a header of 16 bytes, then mark, version, page size and flags in 4 bytes each, 24 bytes of
// roots, and in 8 bytes each how many pages there are and the number of the change; the later one holds.
func looked(path string, size int64) error {
	f, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("ledger: %w", err)
	}
	defer f.Close()
	var pages, latest uint64
	page := int64(0)
	for i := range 2 {
		meta := make([]byte, 80)
		_, err := f.ReadAt(meta, int64(i)*page)
		switch {
		case err != nil && i == 0 && size < 80:
			return ForeignFileError{path, "it is shorter than any ledger"}
		case err != nil:
			return CorruptFileError{path, "it is shorter than any ledger"}
		case binary.LittleEndian.Uint32(meta[16:]) != 0xED0CDAED && i == 0:
			return ForeignFileError{path, "it is another kind of file"}
		}
		if page = int64(binary.LittleEndian.Uint32(meta[24:])); page < 512 || page > 1<<16 {
			return CorruptFileError{path, fmt.Sprintf("its pages have %d bytes", page)}
		}
		if n := binary.LittleEndian.Uint64(meta[64:]); i == 0 || n > latest {
			pages, latest = binary.LittleEndian.Uint64(meta[56:]), n
		}
	}
	if pages > 1<<32 || size < int64(pages)*page {
		return CorruptFileError{path, fmt.Sprintf("it has %d bytes of %d pages", size, pages)}
	}
	return nil
}

// begin checks whose ledger it is and whether it is whole, or makes a new one.
func (l *File) begin(path, self string) (all []Record, err error) {
	here, err := identity(path)
	if err != nil {
		return nil, err
	}
	err = l.db.Update(func(tx *bolt.Tx) error {
		b := tx.Bucket(about)
		if b == nil {
			if tx.Bucket(lines) != nil {
				return ForeignFileError{path, "it lacks what a ledger says of itself"}
			}
			id := make([]byte, 16)
			_, _ = rand.Read(id) // it never fails
			b, err := tx.CreateBucket(about)
			if err != nil {
				return err
			}
			l.LedgerID = hex.EncodeToString(id)
			for k, v := range map[string]string{"format": format, "self": self, "id": l.LedgerID, "file": here} {
				if err := b.Put([]byte(k), []byte(v)); err != nil {
					return err
				}
			}
			_, err = tx.CreateBucket(lines)
			return err
		}
		l.LedgerID = string(b.Get([]byte("id")))
		switch {
		case string(b.Get([]byte("format"))) != format:
			return ForeignFileError{path, fmt.Sprintf("its format is %q", b.Get([]byte("format")))}
		case string(b.Get([]byte("self"))) != self:
			return ForeignFileError{path, fmt.Sprintf("it is of %q", b.Get([]byte("self")))}
		case string(b.Get([]byte("file"))) != here:
			return ForeignFileError{path, "it was made as another file: it is a copy"}
		case tx.Bucket(lines) == nil || l.LedgerID == "":
			return CorruptFileError{path, "its lines are missing"}
		}
		return tx.Bucket(lines).ForEach(func(k, v []byte) error { // all of it is read, so that what is missing shows now
			if len(v) < 4 || binary.BigEndian.Uint32(v) != sum(k, v[4:]) {
				return CorruptFileError{path, fmt.Sprintf("line %q is not as it was written", k)}
			}
			all = append(all, Record{string(k), bytes.Clone(v[4:])})
			return nil
		})
	})
	return all, err
}

// identity tells a file from its copies.
func identity(path string) (string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return "", fmt.Errorf("ledger: %w", err)
	}
	st, ok := info.Sys().(*syscall.Stat_t)
	if !ok {
		return "", fmt.Errorf("ledger: %s: no identity of the file on this system", path)
	}
	return fmt.Sprintf("%d/%d", st.Dev, st.Ino), nil
}

// sum guards a line against a disk that brings back something else.
func sum(key, value []byte) uint32 {
	return crc32.Update(crc32.ChecksumIEEE(key), crc32.IEEETable, value)
}

// Write writes lines, all or none, and returns once the disk has them. After an error they may be there or not.
func (l *File) Write(group []Record) error {
	return l.db.Update(func(tx *bolt.Tx) error {
		b := tx.Bucket(lines)
		for _, line := range group {
			key := []byte(line.Key)
			if err := b.Put(key, append(binary.BigEndian.AppendUint32(nil, sum(key, line.Value)), line.Value...)); err != nil {
				return err
			}
		}
		return nil
	})
}

// Close closes the file.
func (l *File) Close() error { return l.db.Close() }
