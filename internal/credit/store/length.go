package store

import (
	"encoding/binary"
	"fmt"
	"os"
)

// The layout of a bbolt file: its first two pages are meta pages. Each has a page header, then magic number, version,
// page size and flags in 4 bytes each, 24 bytes of roots, and in 8 bytes each the number of pages and that of the
// transaction.
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
	shorterThanAny = "it is shorter than any ledger"
)

// checkLength checks that a file begins as a ledger does, and is as long as it says: bbolt maps the file into memory,
// and reads of what is missing would fault. An error is a ForeignFileError or CorruptFileError, or comes from the
// file system.
func checkLength(path string, size int64) error {
	file, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("ledger: %w", err)
	}
	defer file.Close()
	var pages, latest uint64 // of the meta page with the latest transaction, which counts
	pageSize := int64(0)
	for i := range metaPages {
		meta := make([]byte, metaSize)
		_, err := file.ReadAt(meta, int64(i)*pageSize)
		if err != nil && (i > 0 || size >= metaSize) {
			return CorruptFileError{path, shorterThanAny}
		}
		if err != nil {
			return ForeignFileError{path, shorterThanAny}
		}
		if i == 0 && binary.LittleEndian.Uint32(meta[magicOffset:]) != magic {
			return ForeignFileError{path, "it is another kind of file"}
		}
		pageSize = int64(binary.LittleEndian.Uint32(meta[pageSizeOffset:]))
		if pageSize < minPageSize || pageSize > maxPageSize {
			return CorruptFileError{path, fmt.Sprintf("its pages have %d bytes", pageSize)}
		}
		transaction := binary.LittleEndian.Uint64(meta[transactionOffset:])
		if i == 0 || transaction > latest {
			pages, latest = binary.LittleEndian.Uint64(meta[pageCountOffset:]), transaction
		}
	}
	if pages > maxPages || size < int64(pages)*pageSize {
		return CorruptFileError{path, fmt.Sprintf("it has %d bytes of %d pages", size, pages)}
	}
	return nil
}
