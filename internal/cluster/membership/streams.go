//go:build cluster

package membership

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"hillknot/internal/clock"
	"hillknot/internal/logging"
)

// Bounds on connections for gossip. The gossip library reads 20 MB from each, however many there are, before it checks whether the peer
// has the key of the cluster.
const (
	maxOpenStreams     = 16      // that other routers have opened; further ones are closed
	maxStreamBytes     = 2 << 20 // received on one connection: twice the longest full state
	maxReceivedOnAll   = 4 << 20 // received on all open connections
	maxReceiveRate     = 8 << 20 // received on all connections, in bytes a second
	maxUnhandledStream = 1       // connections that wait to be handled

	rejectInterval = 10 * time.Millisecond // between two connections that are closed because too many are open
)

var (
	errStreamTooLong  = errors.New("too many bytes on a connection for gossip")
	errStreamsTooLong = errors.New("too many bytes on all connections for gossip")
)

// streamLimits bounds the connections for gossip.
type streamLimits struct {
	open     atomic.Int64 // that other routers have opened
	received atomic.Int64 // bytes, on all connections that are open

	mu         sync.Mutex
	nextReadAt time.Duration // reading of package clock from which on maxReceiveRate allows the next read
}

// pace waits until maxReceiveRate allows further bytes, of which n were just read.
func (l *streamLimits) pace(n int) {
	l.mu.Lock()
	now := clock.Now()
	l.nextReadAt = max(l.nextReadAt, now) + time.Duration(n)*time.Second/maxReceiveRate
	wait := l.nextReadAt - now
	l.mu.Unlock()
	time.Sleep(wait)
}

// accept returns a bounded connection for one that another router has opened, or false if too many are open. The connection is closed
// then.
func (l *streamLimits) accept(conn net.Conn) (net.Conn, bool) {
	if l.open.Add(1) > maxOpenStreams {
		l.open.Add(-1)
		_ = conn.Close() // the peer tries again
		return nil, false
	}
	return &boundedStream{Conn: conn, limits: l, onClose: func() { l.open.Add(-1) }}, true
}

// dialed returns a bounded connection for one that this router has opened.
func (l *streamLimits) dialed(conn net.Conn) net.Conn {
	return &boundedStream{Conn: conn, limits: l, onClose: func() {}}
}

// boundedStream is a connection for gossip from which no more may be read than streamLimits allows. One goroutine reads it.
type boundedStream struct {
	net.Conn
	limits   *streamLimits
	onClose  func()
	received atomic.Int64
	closed   sync.Once
}

// Read implements net.Conn.
func (s *boundedStream) Read(p []byte) (int, error) {
	n, err := s.Conn.Read(p)
	s.limits.pace(n)
	received, onAll := s.received.Add(int64(n)), s.limits.received.Add(int64(n))
	switch {
	case received > maxStreamBytes:
		return 0, errStreamTooLong
	case onAll > maxReceivedOnAll:
		return 0, errStreamsTooLong
	}
	return n, err
}

// Close implements net.Conn.
func (s *boundedStream) Close() error {
	s.closed.Do(func() {
		s.limits.received.Add(-s.received.Load())
		s.onClose()
	})
	return s.Conn.Close()
}

// acceptStreams passes on the connections that other routers open, within the limits, until Shutdown. It then closes what the network
// still accepts until its listeners have ended: they can't end while a connection waits to be taken.
func (t *transport) acceptStreams() {
	defer logging.ReportPanic(log)
	for {
		select {
		case conn := <-t.NetTransport.StreamCh():
			t.passOn(conn)
		case <-t.ended:
			return
		}
	}
}

// passOn passes on a connection, or closes it if too many are open or the agent ends.
func (t *transport) passOn(conn net.Conn) {
	stream, ok := t.limits.accept(conn)
	if !ok {
		select {
		case <-time.After(rejectInterval): // further ones wait in the queue of the socket
		case <-t.stop:
		}
		return
	}
	select {
	case t.streams <- stream:
	case <-t.stop:
		_ = stream.Close()
	}
}
