package netio

import (
	"sync"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"

	"hillknot/internal/config"
)

// segmentSize is how many bytes a stagedTransport writes at a time. segmentsInFlight is how many segments it accepts from
// its writer before its peer reads.
const (
	segmentSize      = 60_000
	segmentsInFlight = 4
)

// stagedTransport simulates netpoll's transport of a Conn without a socket: a flush waits until the peer has read enough,
// and at most for the write timeout. The test plays the peer and receives from segments. Tests must not use methods that
// stagedTransport does not define itself.
type stagedTransport struct {
	netpoll.Connection
	conn         *Conn
	writeTimeout time.Duration
	segments     chan struct{} // each value is segmentSize bytes in flight to the peer
	closeOnce    sync.Once
	closed       chan struct{}
	closedAt     time.Time // valid once the channel closed is closed
}

// newStagedTransport returns a transport with a Conn on it. Both are closed when the test ends.
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
	var timeout <-chan time.Time // nil for a write timeout of 0, which means none, as with netpoll
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
