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

// A peer is to be sent so many messages of such a length, far more than the sockets hold.
const (
	slowReaderMessages    = 48
	slowReaderMessageSize = 240_000
)

// sendAll queues the messages for a peer.
func sendAll(t *testing.T, c *Conn) {
	t.Helper()
	for range slowReaderMessages {
		if err := c.Send(make([]byte, slowReaderMessageSize)); err != nil {
			t.Fatal(err)
		}
	}
}

// A slow reader that reads on gets all that waits for it, though that takes far longer than one write may; one that
// has stopped is cut off as soon as one write has taken too long. The time is that of synctest, which does not pass
// while a goroutine has work: a reader that waits for a processor is no slower for it.
func TestSlowReaderGetsAllAndStalledReaderIsCutOff(t *testing.T) {
	const segments = slowReaderMessages * slowReaderMessageSize / segmentSize
	synctest.Test(t, func(t *testing.T) {
		short := testLimits
		short.WriteTimeout, short.MaxPendingBytes = 600*time.Millisecond, 16<<20
		budget := NewBudget(1 << 25)
		slow, stopped := newStagedTransport(t, short, budget), newStagedTransport(t, short, budget)
		start := time.Now()
		sendAll(t, slow.conn)
		sendAll(t, stopped.conn)
		// A message is read in 0.96 of the time that its write has.
		const pause = 144 * time.Millisecond
		for got := range segments {
			time.Sleep(pause)
			select {
			case <-slow.segments:
			case <-slow.closed:
				t.Fatalf("after %d of %d bytes: closed", got*segmentSize, segments*segmentSize)
			}
		}
		if took := time.Since(start); took < 10*short.WriteTimeout {
			t.Errorf("all was read in %v: the reader was not slow", took)
		}
		synctest.Wait()
		if !slow.IsActive() || budget.used.Load() != 0 {
			t.Errorf("open: %v, %d bytes pending; want an open connection without any", slow.IsActive(), budget.used.Load())
		}
		if stopped.IsActive() {
			t.Fatal("the one that stopped is still open")
		}
		if after := stopped.closedAt.Sub(start); after != short.WriteTimeout {
			t.Errorf("the one that stopped was cut off after %v, not after %v", after, short.WriteTimeout)
		}
	})
}

// The same on sockets, where only the reader that has stopped has a short time-out.
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
	stopped, atStopped := fill(short)
	got, buf := 0, make([]byte, 128<<10)
	for got < slowReaderMessages*slowReaderMessageSize {
		n, err := reading.Read(buf)
		if err != nil {
			t.Fatalf("after %d of %d bytes: %v", got, slowReaderMessages*slowReaderMessageSize, err)
		}
		got += n
	}
	select {
	case <-atStopped.closed:
	case <-time.After(10 * time.Second):
		t.Fatal("the one that stopped is still open")
	}
	if after := time.Since(start); after < short.WriteTimeout {
		t.Errorf("the one that stopped was cut off after %v, before %v", after, short.WriteTimeout)
	}
	var err error
	for err == nil {
		_, err = stopped.Read(buf)
	}
	if e, ok := err.(net.Error); ok && e.Timeout() {
		t.Error("the one that stopped is still open")
	}
}

// A reader is cut off only when it reads nothing for the write time-out. This one reads something ten times within
// it, for twice that long, and then all the rest at once.
//
// The system reports room in a socket only once a third of its send buffer is free, some 1.4 MB of a buffer that has
// grown to 4 MB. The write that waits for room once ran into its time-out before that.
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
			t.Fatalf("after %d of %d bytes: %v; the reader paused for %v at most, the time-out is %v",
				got, total, err, longest, limits.WriteTimeout)
		}
		got += n
		if time.Since(start) < 2*limits.WriteTimeout {
			time.Sleep(limits.WriteTimeout / 10)
		}
	}
}

// sendErrors are the errors that sendmsg(2) on a connected socket documents, with those that a broken connection
// brings. Netpoll returns one only where the call before it took part of the message, at most: the rest is not
// handed to the system any more, and the message never comes to the peer whole.
var sendErrors = []syscall.Errno{syscall.EPIPE, syscall.ECONNRESET, syscall.ETIMEDOUT, syscall.EHOSTUNREACH,
	syscall.ENETUNREACH, syscall.ENETDOWN, syscall.ENOBUFS, syscall.ENOMEM, syscall.EINTR, syscall.EACCES, syscall.EPERM}

// A message whose write failed in the system has not gone out whole. One that waited for room, and whose connection
// ended or whose time was over meanwhile, may have.
func TestIsIncompleteWrite(t *testing.T) {
	for _, errno := range sendErrors {
		if err := fmt.Errorf("write: %w", netpoll.Exception(errno, "when flush")); !IsIncompleteWrite(err) {
			t.Errorf("%v: taken for written", errno)
		}
	}
	for _, errno := range []error{netpoll.ErrWriteTimeout, netpoll.ErrConnClosed, netpoll.ErrEOF} {
		if err := fmt.Errorf("write: %w", netpoll.Exception(errno, "when flush")); IsIncompleteWrite(err) {
			t.Errorf("%v: taken for not written", errno)
		}
	}
	if IsIncompleteWrite(nil) {
		t.Error("no error: taken for not written")
	}
	if !IsIncompleteWrite(fmt.Errorf("write: %w", ErrClosed)) {
		t.Error("closed before: taken for written")
	}
}
