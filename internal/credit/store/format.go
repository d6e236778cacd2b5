package store

import (
	"bytes"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"hash/crc32"
	"os"
	"syscall"

	bolt "go.etcd.io/bbolt"

	"hillknot/internal/credit"
)

// The buckets of a ledger. Their names and keys stand in files that exist: they must not change.
var (
	metadataBucket = []byte("about")
	recordsBucket  = []byte("lines")
)

// The keys of the metadata bucket.
var (
	formatKey = []byte("format")
	routerKey = []byte("self")
	idKey     = []byte("id")
	fileKey   = []byte("file") // fileIdentity at the time of creation
)

const (
	format       = "hillknot ledger 1"
	checksumSize = 4
)

// load checks whose ledger a file is and whether it is complete, and returns its records. An empty file becomes a
// ledger.
func (f *File) load(path, router string) ([]credit.Record, error) {
	identity, err := fileIdentity(path)
	if err != nil {
		return nil, err
	}
	var records []credit.Record
	err = f.database.Update(func(tx *bolt.Tx) error {
		metadata := tx.Bucket(metadataBucket)
		if metadata == nil {
			if tx.Bucket(recordsBucket) != nil {
				return ForeignFileError{path, "it lacks what a ledger says of itself"}
			}
			return f.initialize(tx, router, identity)
		}
		f.LedgerID = string(metadata.Get(idKey))
		if err := checkOwner(metadata, path, router, identity); err != nil {
			return err
		}
		bucket := tx.Bucket(recordsBucket)
		if bucket == nil || f.LedgerID == "" {
			return CorruptFileError{path, "its lines are missing"}
		}
		records, err = readRecords(bucket, path)
		return err
	})
	return records, err
}

// initialize makes an empty file a ledger with a new ID.
func (f *File) initialize(tx *bolt.Tx, router, identity string) error {
	id := make([]byte, 16)
	_, _ = rand.Read(id) // it never fails
	f.LedgerID = hex.EncodeToString(id)
	metadata, err := tx.CreateBucket(metadataBucket)
	if err != nil {
		return err
	}
	for _, entry := range []struct {
		key   []byte
		value string
	}{
		{formatKey, format},
		{routerKey, router},
		{idKey, f.LedgerID},
		{fileKey, identity},
	} {
		if err := metadata.Put(entry.key, []byte(entry.value)); err != nil {
			return err
		}
	}
	_, err = tx.CreateBucket(recordsBucket)
	return err
}

// checkOwner returns a ForeignFileError unless a ledger has this format, belongs to the router and is no copy.
func checkOwner(metadata *bolt.Bucket, path, router, identity string) error {
	if found := string(metadata.Get(formatKey)); found != format {
		return ForeignFileError{path, fmt.Sprintf("its format is %q", found)}
	}
	if owner := string(metadata.Get(routerKey)); owner != router {
		return ForeignFileError{path, fmt.Sprintf("it is of %q", owner)}
	}
	if string(metadata.Get(fileKey)) != identity {
		return ForeignFileError{path, "it was made as another file: it is a copy"}
	}
	return nil
}

// readRecords reads all records, so that damage shows now rather than later.
func readRecords(bucket *bolt.Bucket, path string) ([]credit.Record, error) {
	var records []credit.Record
	err := bucket.ForEach(func(key, sealed []byte) error {
		value, ok := openValue(key, sealed)
		if !ok {
			return CorruptFileError{path, fmt.Sprintf("line %q is not as it was written", key)}
		}
		records = append(records, credit.Record{Key: string(key), Value: bytes.Clone(value)})
		return nil
	})
	return records, err
}

// sealValue returns a value behind its checksum, as it is stored.
func sealValue(key, value []byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, checksum(key, value)), value...)
}

// openValue returns the value of what is stored, or false if it isn't what was written.
func openValue(key, sealed []byte) ([]byte, bool) {
	if len(sealed) < checksumSize {
		return nil, false
	}
	value := sealed[checksumSize:]
	return value, binary.BigEndian.Uint32(sealed) == checksum(key, value)
}

func checksum(key, value []byte) uint32 {
	return crc32.Update(crc32.ChecksumIEEE(key), crc32.IEEETable, value)
}

// fileIdentity tells a file from its copies, by device and inode.
func fileIdentity(path string) (string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return "", fmt.Errorf("ledger: %w", err)
	}
	stat, ok := info.Sys().(*syscall.Stat_t)
	if !ok {
		return "", fmt.Errorf("ledger: %s: no identity of the file on this system", path)
	}
	return fmt.Sprintf("%d/%d", stat.Dev, stat.Ino), nil
}
