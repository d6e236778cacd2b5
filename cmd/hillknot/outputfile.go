package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
)

// minProgressSize is the smallest size of an answer, in bytes, for which progress is shown.
const minProgressSize = 64 << 10

// outputFile is a file that is written under a temporary name in its final directory and renamed once it is complete. It
// implements client.Sizer and client.Rewinder.
type outputFile struct {
	*os.File
	path     string
	progress io.Writer // nil if no progress is shown
	size     int       // size of the answer, in bytes
	written  int       // bytes of the answer that have been written
}

// createOutputFile creates a temporary file that commit renames to path. The caller must call discard, also after commit.
// An error is a usageError.
func createOutputFile(path string, progress io.Writer) (*outputFile, error) {
	file, err := os.CreateTemp(filepath.Dir(path), ".hillknot-*")
	if err != nil {
		return nil, usageError{err}
	}
	return &outputFile{File: file, path: path, progress: progress}, nil
}

// Size implements client.Sizer.
func (f *outputFile) Size(n int) { f.size = n }

// Rewind implements client.Rewinder. It discards what was written, because the answer is read again from its start.
func (f *outputFile) Rewind() error {
	f.written = 0
	if err := f.Truncate(0); err != nil {
		return err
	}
	_, err := f.Seek(0, io.SeekStart)
	return err
}

// Write implements io.Writer and shows the progress.
func (f *outputFile) Write(b []byte) (int, error) {
	n, err := f.File.Write(b)
	f.written += n
	f.showProgress()
	return n, err
}

// showProgress overwrites the line of progress. It ends the line once the answer is complete.
func (f *outputFile) showProgress() {
	if f.progress == nil || f.size < minProgressSize {
		return
	}
	end := ""
	if f.written == f.size {
		end = "\n"
	}
	fmt.Fprintf(f.progress, "\r%4d of %d kB%s", f.written>>10, f.size>>10, end)
}

// commit syncs the complete file to disk and renames it to its path.
func (f *outputFile) commit() error {
	if err := f.Sync(); err != nil {
		return err
	}
	if err := f.Chmod(0o644); err != nil {
		return err
	}
	return os.Rename(f.Name(), f.path)
}

// discard closes the file, and removes it unless commit has renamed it.
func (f *outputFile) discard() {
	_ = f.Close()           // an error loses nothing: commit has synced the file, or it is removed
	_ = os.Remove(f.Name()) // fails after commit, because the temporary name no longer exists
}
