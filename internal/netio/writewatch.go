package netio

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// checksPerWriteTimeout is how often a write that waits for buffer space is checked within the write timeout.
const checksPerWriteTimeout = 8

// maxWriteTimeoutsPerWrite is the time limit of a write whose peer keeps reading, however slowly, in write timeouts.
const maxWriteTimeoutsPerWrite = 8

// writeProgress is the system's progress in delivering written bytes to a peer. It changes whenever the peer's side
// takes some of them.
type writeProgress struct {
	acknowledged uint64 // bytes that a TCP peer has acknowledged
	queued       int    // bytes in the socket's send buffer
}

// writeProgress asks the system for the progress. Values that the system does not report are 0.
func (c *Conn) writeProgress() (progress writeProgress) {
	fd, ok := c.socket()
	if !ok {
		return progress
	}
	if queued, err := unix.IoctlGetInt(fd, unix.TIOCOUTQ); err == nil {
		progress.queued = queued
	}
	if info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
		progress.acknowledged = info.Bytes_acked
	}
	return progress
}

// writeWatch closes a connection if its peer takes no bytes for the write timeout while a write waits for buffer space.
// The system reports free space only once a third of the send buffer is free, which does not show whether a slow peer
// still reads, so writeWatch checks writeProgress instead.
type writeWatch struct {
	conn *Conn

	mu                    sync.Mutex
	timer                 *time.Timer
	ended                 bool
	hasLatest             bool          // latest is valid
	latest                writeProgress // at the latest check
	checksWithoutProgress int           // consecutive checks without progress
}

// watchWrite starts watching a write. The caller calls end when the write returns.
func (c *Conn) watchWrite() *writeWatch {
	w := &writeWatch{conn: c}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(w.interval(), w.check)
	return w
}

func (w *writeWatch) interval() time.Duration {
	return w.conn.limits.WriteTimeout / checksPerWriteTimeout
}

// end stops watching, after the write has returned.
func (w *writeWatch) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	w.timer.Stop()
}

// check closes the connection if the peer has taken nothing for the write timeout. The time is counted in checks rather
// than measured by the clock, so that time during which this process was suspended does not count.
func (w *writeWatch) check() {
	if w.stalled() {
		w.conn.recordClose(closeWriteTimeout)
		w.conn.Close()
	}
}

// stalled makes one check, and reports whether the peer has shown no progress in checksPerWriteTimeout consecutive checks.
func (w *writeWatch) stalled() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return false
	}
	progress := w.conn.writeProgress()
	w.checksWithoutProgress++
	if w.hasLatest && progress != w.latest {
		w.checksWithoutProgress = 0
	}
	w.hasLatest, w.latest = true, progress
	w.ended = w.checksWithoutProgress >= checksPerWriteTimeout
	if !w.ended {
		w.timer.Reset(w.interval())
	}
	return w.ended
}
