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

// The buckets of a ledger. Their names and keys are stored in existing files and must not change.
var (
	metadataBucket = []byte("about")
	recordsBucket  = []byte("lines")
)

// The keys of the metadata bucket.
var (
	formatKey = []byte("format")
	routerKey = []byte("self")
	idKey     = []byte("id")
	fileKey   = []byte("file") // result of fileIdentity at the time of creation
)

const (
	format       = "hillknot ledger 1"
	checksumSize = 4 // bytes
)

// load checks that a file is a complete ledger of the router, and returns its records. An empty file is initialized as a
// new ledger.
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
				return ForeignFileError{path, "it has no ledger metadata"}
			}
			return f.initialize(tx, router, identity)
		}
		f.LedgerID = string(metadata.Get(idKey))
		if err := checkOwner(metadata, path, router, identity); err != nil {
			return err
		}
		bucket := tx.Bucket(recordsBucket)
		if bucket == nil || f.LedgerID == "" {
			return CorruptFileError{path, "its records or its ledger ID are missing"}
		}
		records, err = readRecords(bucket, path)
		return err
	})
	return records, err
}

// initialize writes the metadata of a ledger with a new random ID into an empty file.
func (f *File) initialize(tx *bolt.Tx, router, identity string) error {
	id := make([]byte, 16)
	_, _ = rand.Read(id) // never returns an error
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

// checkOwner returns a ForeignFileError unless a ledger has this format, belongs to the router and is not a copy.
func checkOwner(metadata *bolt.Bucket, path, router, identity string) error {
	if found := string(metadata.Get(formatKey)); found != format {
		return ForeignFileError{path, fmt.Sprintf("its format is %q", found)}
	}
	if owner := string(metadata.Get(routerKey)); owner != router {
		return ForeignFileError{path, fmt.Sprintf("it belongs to router %q", owner)}
	}
	if string(metadata.Get(fileKey)) != identity {
		return ForeignFileError{path, "it is a copy of the file that was created as the ledger"}
	}
	return nil
}

// readRecords reads and verifies all records, so that damage is found when the ledger is opened rather than later.
func readRecords(bucket *bolt.Bucket, path string) ([]credit.Record, error) {
	var records []credit.Record
	err := bucket.ForEach(func(key, stored []byte) error {
		value, ok := decodeValue(key, stored)
		if !ok {
			return CorruptFileError{path, fmt.Sprintf("the checksum of record %q does not match", key)}
		}
		records = append(records, credit.Record{Key: string(key), Value: bytes.Clone(value)})
		return nil
	})
	return records, err
}

// encodeValue returns the stored form of a value: the checksum of key and value, 4 bytes in big-endian order, followed by
// the value.
func encodeValue(key, value []byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, checksum(key, value)), value...)
}

// decodeValue returns the value from its stored form, and reports whether the checksum matches.
func decodeValue(key, stored []byte) ([]byte, bool) {
	if len(stored) < checksumSize {
		return nil, false
	}
	value := stored[checksumSize:]
	return value, binary.BigEndian.Uint32(stored) == checksum(key, value)
}

func checksum(key, value []byte) uint32 {
	return crc32.Update(crc32.ChecksumIEEE(key), crc32.IEEETable, value)
}

// fileIdentity returns the device and inode of a file, which distinguish it from its copies.
func fileIdentity(path string) (string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return "", fmt.Errorf("ledger: %w", err)
	}
	stat, ok := info.Sys().(*syscall.Stat_t)
	if !ok {
		return "", fmt.Errorf("ledger: %s: this system reports no device and inode of files", path)
	}
	return fmt.Sprintf("%d/%d", stat.Dev, stat.Ino), nil
}
