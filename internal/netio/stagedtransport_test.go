package netio

import (
	"sync"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"

	"hillknot/internal/config"
)

// segmentSize and segmentsInFlight are what a stagedTransport writes at a time, and what it takes from its writer
// before its peer reads.
const (
	segmentSize      = 60_000
	segmentsInFlight = 4
)

// stagedTransport is the transport of a Conn as netpoll has it, without a socket: a flush waits for the peer to make
// room, and for the write time-out at most. The peer is the test, which receives from segments. What it does not
// define, no test may use.
type stagedTransport struct {
	netpoll.Connection
	conn         *Conn
	writeTimeout time.Duration
	segments     chan struct{} // each is segmentSize bytes on their way to the peer
	closeOnce    sync.Once
	closed       chan struct{}
	closedAt     time.Time // valid once closed is
}

// newStagedTransport returns a transport, and in it the Conn on it. It closes as the test ends.
func newStagedTransport(t *testing.T, limits config.ConnLimits, budget *Budget) *stagedTransport {
	t.Helper()
	s := &stagedTransport{segments: make(chan struct{}, segmentsInFlight), closed: make(chan struct{})}
	s.conn = newConn(s, limits, budget)
	s.conn.open()
	s.conn.handler = echo{s.conn}
	t.Cleanup(func() { s.conn.Close() })
	return s
}

func (s *stagedTransport) SetReadTimeout(time.Duration) error { return nil }

func (s *stagedTransport) SetWriteTimeout(timeout time.Duration) error {
	s.writeTimeout = timeout
	return nil
}

func (s *stagedTransport) Writer() netpoll.Writer { return &stagedWriter{transport: s} }

func (s *stagedTransport) IsActive() bool {
	select {
	case <-s.closed:
		return false
	default:
		return true
	}
}

func (s *stagedTransport) Close() (err error) {
	s.closeOnce.Do(func() {
		s.closedAt = time.Now()
		close(s.closed)
		err = s.conn.transportClosed(s)
	})
	return err
}

// stagedWriter writes one batch.
type stagedWriter struct {
	netpoll.Writer
	transport *stagedTransport
	pending   int // bytes
}

func (w *stagedWriter) WriteBinary(b []byte) (int, error) {
	w.pending += len(b)
	return len(b), nil
}

func (w *stagedWriter) Flush() error {
	var timeout <-chan time.Time // none where it is 0, as with netpoll
	if w.transport.writeTimeout > 0 {
		timeout = time.After(w.transport.writeTimeout)
	}
	for ; w.pending > 0; w.pending -= segmentSize {
		select {
		case w.transport.segments <- struct{}{}:
		case <-timeout:
			return netpoll.ErrWriteTimeout
		case <-w.transport.closed:
			return netpoll.ErrConnClosed
		}
	}
	return nil
}
