package store

import (
	"encoding/binary"
	"fmt"
	"os"
)

// The layout of a bbolt file: its first two pages are meta pages. Each has a page header, then magic number, version,
// page size and flags in 4 bytes each, 24 bytes of roots, and the number of pages and the transaction ID in 8 bytes each.
// Sizes and offsets are in bytes.
const (
	metaSize          = 80
	magicOffset       = 16
	pageSizeOffset    = 24
	pageCountOffset   = 56
	transactionOffset = 64

	magic          = 0xED0CDAED
	minPageSize    = 512
	maxPageSize    = 1 << 16
	maxPages       = 1 << 32
	metaPages      = 2
	reasonTooShort = "it is shorter than any ledger"
)

// checkLength checks that a file begins with the meta pages of a bbolt file, and is as long as these say: bbolt maps the
// file into memory, and reads beyond its end would fault. An error is a ForeignFileError or CorruptFileError, or comes
// from the file system.
func checkLength(path string, size int64) error {
	file, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("ledger: %w", err)
	}
	defer file.Close()
	var pageCount, latestTransaction uint64 // of the meta page with the latest transaction, which is the valid one
	pageSize := int64(0)
	for i := range metaPages {
		meta := make([]byte, metaSize)
		_, err := file.ReadAt(meta, int64(i)*pageSize)
		if err != nil && (i > 0 || size >= metaSize) {
			return CorruptFileError{path, reasonTooShort}
		}
		if err != nil {
			return ForeignFileError{path, reasonTooShort}
		}
		if i == 0 && binary.LittleEndian.Uint32(meta[magicOffset:]) != magic {
			return ForeignFileError{path, "it is another kind of file"}
		}
		pageSize = int64(binary.LittleEndian.Uint32(meta[pageSizeOffset:]))
		if pageSize < minPageSize || pageSize > maxPageSize {
			return CorruptFileError{path, fmt.Sprintf("its page size of %d bytes is invalid", pageSize)}
		}
		transaction := binary.LittleEndian.Uint64(meta[transactionOffset:])
		if i == 0 || transaction > latestTransaction {
			pageCount, latestTransaction = binary.LittleEndian.Uint64(meta[pageCountOffset:]), transaction
		}
	}
	if pageCount > maxPages || size < int64(pageCount)*pageSize {
		return CorruptFileError{path, fmt.Sprintf("its size is %d bytes, less than its %d pages", size, pageCount)}
	}
	return nil
}
