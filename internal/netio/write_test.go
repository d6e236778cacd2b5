package netio

import (
	"fmt"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cloudwego/netpoll"

	"hillknot/internal/config"
)

// slowReaderMessages messages of slowReaderMessageSize bytes are sent to each peer, far more than the socket buffers hold.
const (
	slowReaderMessages    = 48
	slowReaderMessageSize = 240_000
)

// sendAll queues all messages for a peer.
func sendAll(t *testing.T, c *Conn) {
	t.Helper()
	for range slowReaderMessages {
		if err := c.Send(make([]byte, slowReaderMessageSize)); err != nil {
			t.Fatal(err)
		}
	}
}

// A slow reader that keeps reading gets all queued messages, although that takes far longer than the write timeout. A reader
// that has stopped is disconnected once a write has made no progress for the write timeout. The test uses the fake clock of
// synctest, which does not advance while a goroutine has work, so that the reader does not appear slower on a busy machine.
func TestSlowReaderGetsAllAndStalledReaderIsCutOff(t *testing.T) {
	const segments = slowReaderMessages * slowReaderMessageSize / segmentSize
	synctest.Test(t, func(t *testing.T) {
		short := testLimits
		short.WriteTimeout, short.MaxPendingBytes = 600*time.Millisecond, 16<<20
		budget := NewBudget(1 << 25)
		slow, stalled := newStagedTransport(t, short, budget), newStagedTransport(t, short, budget)
		start := time.Now()
		sendAll(t, slow.conn)
		sendAll(t, stalled.conn)
		// Reading a message of 4 segments takes 0.96 of the write timeout.
		const pause = 144 * time.Millisecond
		for got := range segments {
			time.Sleep(pause)
			select {
			case <-slow.segments:
			case <-slow.closed:
				t.Fatalf("the connection was closed after %d of %d bytes", got*segmentSize, segments*segmentSize)
			}
		}
		if took := time.Since(start); took < 10*short.WriteTimeout {
			t.Errorf("all messages were read in %v: the reader was not slow", took)
		}
		synctest.Wait()
		if !slow.IsActive() || budget.used.Load() != 0 {
			t.Errorf("open: %v, %d bytes pending; want an open connection with none", slow.IsActive(), budget.used.Load())
		}
		if stalled.IsActive() {
			t.Fatal("the connection of the stalled reader is still open")
		}
		if after := stalled.closedAt.Sub(start); after != short.WriteTimeout {
			t.Errorf("the stalled reader was disconnected after %v, want %v", after, short.WriteTimeout)
		}
	})
}

// A reader that has stopped is disconnected on real sockets too. Only its connection has a short write timeout here.
func TestStalledReaderIsCutOffOnSockets(t *testing.T) {
	short := testLimits
	short.WriteTimeout, short.MaxPendingBytes = 600*time.Millisecond, 16<<20
	long := testLimits
	long.MaxPendingBytes = short.MaxPendingBytes
	fill := func(limits config.ConnLimits) (net.Conn, *gatedHandler) {
		_, nc, g := newGatedPair(t, limits)
		if err := nc.(*net.TCPConn).SetReadBuffer(64 << 10); err != nil {
			t.Fatal(err)
		}
		sendAll(t, g.c)
		return nc, g
	}
	start := time.Now()
	reading, _ := fill(long)
	stalled, stalledHandler := fill(short)
	got, buf := 0, make([]byte, 128<<10)
	for got < slowReaderMessages*slowReaderMessageSize {
		n, err := reading.Read(buf)
		if err != nil {
			t.Fatalf("after %d of %d bytes: %v", got, slowReaderMessages*slowReaderMessageSize, err)
		}
		got += n
	}
	select {
	case <-stalledHandler.closed:
	case <-time.After(10 * time.Second):
		t.Fatal("the connection of the stalled reader is still open")
	}
	if after := time.Since(start); after < short.WriteTimeout {
		t.Errorf("the stalled reader was disconnected after %v, want at least %v", after, short.WriteTimeout)
	}
	var err error
	for err == nil {
		_, err = stalled.Read(buf)
	}
	if e, ok := err.(net.Error); ok && e.Timeout() {
		t.Error("the connection of the stalled reader is still open")
	}
}

// A reader is disconnected only if it reads nothing for the write timeout. This reader reads some bytes ten times per write
// timeout, for twice the write timeout, and then all the rest without pauses.
//
// The system reports free space in a socket only once a third of its send buffer is free, some 1.4 MB of a buffer that has
// grown to 4 MB. Earlier, the write that waited for buffer space timed out before that.
func TestReaderThatNeverStopsIsNotCutOff(t *testing.T) {
	limits := testLimits
	limits.WriteTimeout, limits.MaxPendingBytes = 2*time.Second, 16<<20
	conns := make(chan *Conn, 1)
	s := serveWithBudget(t, 10, limits, NewBudget(1<<25), func(c *Conn) Handler { conns <- c; return echo{c} })
	nc := dial(t, s.Addr().String())
	if err := nc.(*net.TCPConn).SetReadBuffer(64 << 10); err != nil {
		t.Fatal(err)
	}
	sendAll(t, <-conns)
	const total = slowReaderMessages * slowReaderMessageSize
	start, last, longest := time.Now(), time.Now(), time.Duration(0)
	got, buf := 0, make([]byte, 32<<10)
	for got < total {
		n, err := nc.Read(buf)
		longest, last = max(longest, time.Since(last)), time.Now()
		if err != nil {
			t.Fatalf("after %d of %d bytes: %v; the reader paused for %v at most, the timeout is %v",
				got, total, err, longest, limits.WriteTimeout)
		}
		got += n
		if time.Since(start) < 2*limits.WriteTimeout {
			time.Sleep(limits.WriteTimeout / 10)
		}
	}
}

// sendErrors are the errors that sendmsg(2) documents for a connected socket, and those that a broken connection causes.
// When netpoll returns one of them, earlier calls have written a part of the message at most. Netpoll does not pass the
// rest to the system any more, so the peer never gets the whole message.
var sendErrors = []syscall.Errno{syscall.EPIPE, syscall.ECONNRESET, syscall.ETIMEDOUT, syscall.EHOSTUNREACH,
	syscall.ENETUNREACH, syscall.ENETDOWN, syscall.ENOBUFS, syscall.ENOMEM, syscall.EINTR, syscall.EACCES, syscall.EPERM}

// A message whose write failed with a system error was not written completely. A message that waited for buffer space when
// the connection closed or the write timed out may have been written completely.
func TestIsIncompleteWrite(t *testing.T) {
	for _, errno := range sendErrors {
		if err := fmt.Errorf("write: %w", netpoll.Exception(errno, "when flush")); !IsIncompleteWrite(err) {
			t.Errorf("%v: not reported as an incomplete write", errno)
		}
	}
	for _, errno := range []error{netpoll.ErrWriteTimeout, netpoll.ErrConnClosed, netpoll.ErrEOF} {
		if err := fmt.Errorf("write: %w", netpoll.Exception(errno, "when flush")); IsIncompleteWrite(err) {
			t.Errorf("%v: reported as an incomplete write", errno)
		}
	}
	if IsIncompleteWrite(nil) {
		t.Error("no error: reported as an incomplete write")
	}
	if !IsIncompleteWrite(fmt.Errorf("write: %w", ErrClosed)) {
		t.Error("closed before the write: not reported as an incomplete write")
	}
}
