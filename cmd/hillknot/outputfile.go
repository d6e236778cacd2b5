package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
)

// minProgressSize is the size of an answer, in bytes, from which progress is shown.
const minProgressSize = 64 << 10

// outputFile is a file that is written under a temporary name beside its place, and renamed once it is complete. It
// implements client.Sizer and client.Rewinder.
type outputFile struct {
	*os.File
	path     string
	progress io.Writer // nil: none is shown
	size     int       // of the answer, in bytes
	written  int       // of these
}

// createOutputFile begins a file that commit puts at path. The caller calls discard in any case.
func createOutputFile(path string, progress io.Writer) (*outputFile, error) {
	file, err := os.CreateTemp(filepath.Dir(path), ".hillknot-*")
	if err != nil {
		return nil, usageError{err}
	}
	return &outputFile{File: file, path: path, progress: progress}, nil
}

// Size implements client.Sizer.
func (f *outputFile) Size(n int) { f.size = n }

// Rewind implements client.Rewinder: the answer is read again from its start.
func (f *outputFile) Rewind() error {
	f.written = 0
	if err := f.Truncate(0); err != nil {
		return err
	}
	_, err := f.Seek(0, io.SeekStart)
	return err
}

// Write implements io.Writer, and shows the progress.
func (f *outputFile) Write(b []byte) (int, error) {
	n, err := f.File.Write(b)
	f.written += n
	f.showProgress()
	return n, err
}

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

// commit puts the complete file in its place.
func (f *outputFile) commit() error {
	if err := f.Sync(); err != nil {
		return err
	}
	if err := f.Chmod(0o644); err != nil {
		return err
	}
	return os.Rename(f.Name(), f.path)
}

// discard closes the file, and removes it unless commit has put it in its place.
func (f *outputFile) discard() {
	_ = f.Close()           // commit has synced it
	_ = os.Remove(f.Name()) // fails after commit: the temporary name is gone
}
