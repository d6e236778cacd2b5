//go:build cluster

package membership

import (
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"hillknot/internal/clock"
	"hillknot/internal/logging"
)

// Bounds on connections for gossip. The gossip library reads 20 MB from each, however many there are, before it checks whether the peer
// has the key of the cluster.
const (
	maxOpenStreams     = 16       // that other routers have opened
	maxStreamBytes     = 2 << 20  // received on one connection: twice the longest full state
	maxReceivedOnAll   = 4 << 20  // received on all open connections
	maxReceiveRate     = 8 << 20  // received on all connections, in bytes a second
	maxUnhandledStream = 1        // connections that wait to be handled
	smallStreamBytes   = 64 << 10 // up to here a connection is replaced for its age, not for its size

	replaceInterval = 10 * time.Millisecond // between two connections that are closed for others
)

var (
	errStreamTooLong  = errors.New("too many bytes on a connection for gossip")
	errStreamReplaced = errors.New("connection for gossip closed for other ones")
)

// streamLimits bounds the connections for gossip. Where they reach a bound, the one that has received most is closed, so that the short
// exchanges of routers go on beside peers that send without end.
type streamLimits struct {
	mu         sync.Mutex
	open       []*boundedStream // the earliest first
	received   int              // bytes, on all of them
	nextReadAt time.Duration    // reading of package clock from which on maxReceiveRate allows the next read
}

// accept returns a bounded connection for one that another router has opened. If too many are open, it closes another one for it, and
// replaced is true.
func (l *streamLimits) accept(conn net.Conn) (stream *boundedStream, replaced bool) {
	stream = &boundedStream{Conn: conn, limits: l, isAccepted: true}
	l.mu.Lock()
	var victim *boundedStream
	if l.acceptedCount() >= maxOpenStreams {
		victim = l.removeForAnother()
	}
	l.open = append(l.open, stream)
	l.mu.Unlock()
	if victim != nil {
		_ = victim.Conn.Close()
	}
	return stream, victim != nil
}

// dialed returns a bounded connection for one that this router has opened.
func (l *streamLimits) dialed(conn net.Conn) net.Conn {
	stream := &boundedStream{Conn: conn, limits: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open = append(l.open, stream)
	return stream
}

// acceptedCount returns how many connections that other routers have opened are open. The caller holds mu.
func (l *streamLimits) acceptedCount() int {
	count := 0
	for _, s := range l.open {
		if s.isAccepted {
			count++
		}
	}
	return count
}

// removeForAnother removes and returns the accepted connection that is closed for another one: the one that has received most, or the
// earliest if none has received much. The caller holds mu.
func (l *streamLimits) removeForAnother() *boundedStream {
	var victim *boundedStream
	for _, s := range l.open {
		if s.isAccepted && (victim == nil || s.received > max(victim.received, smallStreamBytes)) {
			victim = s
		}
	}
	l.remove(victim)
	return victim
}

// removeLongest removes and returns the connection that has received most. The caller holds mu.
func (l *streamLimits) removeLongest() *boundedStream {
	longest := slices.MaxFunc(l.open, func(a, b *boundedStream) int { return a.received - b.received })
	l.remove(longest)
	return longest
}

// remove takes a connection off the open ones, if it is one of them. The caller holds mu.
func (l *streamLimits) remove(s *boundedStream) {
	i := slices.Index(l.open, s)
	if i < 0 {
		return
	}
	l.open = slices.Delete(l.open, i, i+1)
	l.received -= s.received
}

// count counts bytes that a connection has received, and returns how long the next read has to wait. It closes the connection that has
// received most if all have received too much together.
func (l *streamLimits) count(s *boundedStream, n int) (wait time.Duration, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !slices.Contains(l.open, s) {
		return 0, errStreamReplaced
	}
	s.received += n
	l.received += n
	if s.received > maxStreamBytes {
		return 0, errStreamTooLong
	}
	if l.received > maxReceivedOnAll {
		longest := l.removeLongest()
		_ = longest.Conn.Close()
		if longest == s {
			return 0, errStreamReplaced
		}
	}
	now := clock.Now()
	l.nextReadAt = max(l.nextReadAt, now) + time.Duration(n)*time.Second/maxReceiveRate
	return l.nextReadAt - now, nil
}

// boundedStream is a connection for gossip from which no more may be read than streamLimits allows. One goroutine reads it.
type boundedStream struct {
	net.Conn
	limits     *streamLimits
	isAccepted bool // another router has opened it
	received   int  // bytes; limits.mu guards it
}

// Read implements net.Conn.
func (s *boundedStream) Read(p []byte) (int, error) {
	n, err := s.Conn.Read(p)
	wait, limitErr := s.limits.count(s, n)
	if limitErr != nil {
		return 0, limitErr
	}
	time.Sleep(wait)
	return n, err
}

// Close implements net.Conn.
func (s *boundedStream) Close() error {
	s.limits.mu.Lock()
	s.limits.remove(s)
	s.limits.mu.Unlock()
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

// passOn passes on a connection, or closes it if the agent ends.
func (t *transport) passOn(conn net.Conn) {
	stream, replaced := t.limits.accept(conn)
	select {
	case t.streams <- stream:
	case <-t.stop:
		_ = stream.Close()
	}
	if !replaced {
		return
	}
	select {
	case <-time.After(replaceInterval): // further ones wait in the queue of the socket
	case <-t.stop:
	}
}
