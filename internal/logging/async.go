package logging

import (
	"io"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// maxQueuedLines is how many log lines may wait to be written.
const maxQueuedLines = 1024

// AsyncWriter passes log lines on to another writer in a goroutine of its own, so that a log that can't be written, for example a
// pipe that nobody reads, delays nothing else. Lines that find no room in its queue are dropped and counted. Its methods may be
// called from any goroutine.
type AsyncWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64

	mu      sync.Mutex
	written *sync.Cond // signalled when a line was written; its lock is mu
	waiting int        // lines that are queued or being written
}

// NewAsyncWriter returns a writer that passes lines on to out. Its goroutine runs as long as the process.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out, lines: make(chan []byte, maxQueuedLines)}
	w.written = sync.NewCond(&w.mu)
	go w.run()
	return w
}

// Write queues a line, or drops it if too many wait. It never blocks and returns no error.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case w.lines <- append([]byte(nil), line...):
		w.waiting++
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// run writes lines. Errors are ignored, as there is nowhere to report them: a disk may be full for a while, or the reader of a
// pipe may have gone.
func (w *AsyncWriter) run() {
	for line := range w.lines {
		_, _ = w.out.Write(line)
		w.mu.Lock()
		w.waiting--
		w.written.Broadcast()
		w.mu.Unlock()
	}
}

// Dropped returns how many lines were dropped.
func (w *AsyncWriter) Dropped() uint64 { return w.dropped.Load() }

// Flush waits until all queued lines are written, or for a timeout.
func (w *AsyncWriter) Flush(timeout time.Duration) {
	expired := false
	timer := time.AfterFunc(timeout, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		expired = true
		w.written.Broadcast()
	})
	defer timer.Stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	for w.waiting > 0 && !expired {
		w.written.Wait()
	}
}

// Stderr is the standard error of this process, as a writer that never blocks.
var Stderr = sync.OnceValue(func() *AsyncWriter { return NewAsyncWriter(os.Stderr) })
