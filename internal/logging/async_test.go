package logging

import (
	"errors"
	"strings"
	"sync"
	"testing"
	"time"
)

// stuckWriter blocks until it is released, and then records what it gets.
type stuckWriter struct {
	release chan struct{}

	mu   sync.Mutex
	text strings.Builder
}

func (w *stuckWriter) Write(b []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(b)
}

// A log that nobody reads delays no line; lines over the bound are dropped and counted, and the others are written in their order
// once the log is read.
func TestUnreadLogDelaysNothing(t *testing.T) {
	out := &stuckWriter{release: make(chan struct{})}
	w := NewAsyncWriter(out)
	begun := time.Now()
	const lines = 3 * maxQueuedLines
	for range lines {
		if n, err := w.Write([]byte("x\n")); n != 2 || err != nil {
			t.Fatalf("wrote %d bytes: %v", n, err)
		}
	}
	w.Flush(50 * time.Millisecond) // ends although nothing is written
	if took := time.Since(begun); took > 5*time.Second {
		t.Errorf("writing took %v", took)
	}
	kept := lines - int(w.Dropped())
	if kept < maxQueuedLines || kept > maxQueuedLines+1 {
		t.Errorf("%d lines kept, want %d and one that is being written", kept, maxQueuedLines)
	}
	close(out.release)
	w.Flush(20 * time.Second)
	out.mu.Lock()
	defer out.mu.Unlock()
	if got := strings.Count(out.text.String(), "x\n"); got != kept {
		t.Errorf("%d lines written, want %d", got, kept)
	}
}

// failingWriter fails each write.
type failingWriter struct{}

func (failingWriter) Write([]byte) (int, error) { return 0, errors.New("no space left on device") }

// A log on a full disk is written on.
func TestFailingLogIsIgnored(t *testing.T) {
	w := NewAsyncWriter(failingWriter{})
	for range 10 {
		if _, err := w.Write([]byte("x\n")); err != nil {
			t.Error(err)
		}
	}
	w.Flush(20 * time.Second)
	if w.Dropped() != 0 {
		t.Errorf("%d lines dropped", w.Dropped())
	}
}
