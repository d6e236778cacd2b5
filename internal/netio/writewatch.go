package netio

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// looksPerWriteTimeout is how often a write that waits for room is looked at within the write time-out.
const looksPerWriteTimeout = 8

// maxWriteTimeouts bounds a write whose peer reads on, however slowly: it may wait for so many write time-outs.
const maxWriteTimeouts = 8

// writeProgress is how far the bytes have come that the system has taken for a peer. It changes whenever the peer's
// side takes some.
type writeProgress struct {
	acknowledged uint64 // by a peer over TCP
	queued       int    // in the socket
}

// writeProgress asks the system. What it does not say is 0.
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

// writeWatch closes a connection whose peer takes nothing for the write time-out while a write waits for room. The
// system reports room only once a third of the send buffer is free, which says nothing of a peer that reads on slowly:
// the watch asks how far the bytes have come.
type writeWatch struct {
	conn *Conn

	mu        sync.Mutex
	timer     *time.Timer
	ended     bool
	looked    bool          // latest is valid
	latest    writeProgress // at the latest look
	idleLooks int           // in a row that showed no progress
}

// watchWrite watches a write until end is called.
func (c *Conn) watchWrite() *writeWatch {
	w := &writeWatch{conn: c}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(w.interval(), w.look)
	return w
}

func (w *writeWatch) interval() time.Duration {
	return w.conn.limits.WriteTimeout / looksPerWriteTimeout
}

// end says that the write is over.
func (w *writeWatch) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	w.timer.Stop()
}

// look closes the connection if the peer has taken nothing for too long. Looks count, and not the clock: while the
// process itself stood still, nobody looked.
func (w *writeWatch) look() {
	if w.stalled() {
		w.conn.traceClose(closeWriteTimeout)
		w.conn.Close()
	}
}

// stalled looks once, and says whether that is the last look that the peer has had.
func (w *writeWatch) stalled() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return false
	}
	progress := w.conn.writeProgress()
	w.idleLooks++
	if w.looked && progress != w.latest {
		w.idleLooks = 0
	}
	w.looked, w.latest = true, progress
	w.ended = w.idleLooks >= looksPerWriteTimeout
	if !w.ended {
		w.timer.Reset(w.interval())
	}
	return w.ended
}
