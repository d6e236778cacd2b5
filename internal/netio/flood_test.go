package netio

import (
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"
)

// busyHandler is a handler that takes some time for each call, and records the most input that it got at once and that waited
// behind it.
type busyHandler struct {
	conn         *Conn
	work         time.Duration
	most, waited atomic.Int64
	total        atomic.Int64
}

func (h *busyHandler) Consume(buf []byte) (int, int, error) {
	for begun := time.Now(); time.Since(begun) < h.work; {
	}
	h.total.Add(int64(len(buf)))
	h.most.Store(max(h.most.Load(), int64(len(buf))))
	h.waited.Store(max(h.waited.Load(), int64(h.conn.transport.Reader().Len())))
	return len(buf), 0, nil
}
func (h *busyHandler) Closed() {}

// A peer that sends faster than its handler works does not fill the memory: its connection holds one read, and the rest stays in
// the sender's socket. Nothing is lost.
func TestFastPeerDoesNotFillTheInputBuffer(t *testing.T) {
	const sent, receiveBuffer = 8 << 20, 16 << 10
	limits := testLimits
	limits.ReceiveBuffer = receiveBuffer
	handlers := make(chan *busyHandler, 1)
	s := serve(t, 100, limits, func(c *Conn) Handler {
		h := &busyHandler{conn: c, work: 300 * time.Microsecond}
		handlers <- h
		return h
	})
	nc := dial(t, s.Addr().String())
	h := <-handlers
	if n, err := nc.Write(make([]byte, sent)); err != nil {
		t.Fatalf("wrote %d bytes: %v", n, err)
	}
	for begun := time.Now(); h.total.Load() < sent && time.Since(begun) < 20*time.Second; {
		time.Sleep(time.Millisecond)
	}
	if h.total.Load() != sent {
		t.Errorf("the handler got %d bytes, want %d", h.total.Load(), sent)
	}
	const bound = 4 * receiveBuffer
	if h.most.Load() > bound || h.waited.Load() > bound {
		t.Errorf("%d bytes at once and %d behind them, want %d at most", h.most.Load(), h.waited.Load(), bound)
	}
}

// Bytes that have left the socket and are not in netpoll's buffer yet count as unread: else a stall would seem to be over while
// the poller is in the middle of a read.
func TestInputInTheMiddleOfAReadIsUnread(t *testing.T) {
	_, nc, g := newGatedPair(t, testLimits)
	if _, err := nc.Write([]byte("hi\n")); err != nil {
		t.Fatal(err)
	}
	<-g.received
	g.release <- true
	for g.c.isDelivering() {
		time.Sleep(time.Millisecond)
	}
	if g.c.HasUnreadInput() {
		t.Error("input is unread after all of it was handled")
	}
	g.c.input.taken.Add(^uint64(0)) // as if one byte had left the socket and was not handed on
	if !g.c.HasUnreadInput() {
		t.Error("a byte that was read and not handed on does not count as unread")
	}
}

// panickingHandler is a handler that panics on the input "panic".
type panickingHandler struct{ echo }

func (p panickingHandler) Consume(buf []byte) (int, int, error) {
	if string(buf) == "panic" {
		panic("bad input")
	}
	return p.echo.Consume(buf)
}

// A panic of a handler ends its connection and is counted; other connections are served on.
func TestHandlerPanicEndsOnlyItsConnection(t *testing.T) {
	before := HandlerPanics()
	s := serve(t, 100, testLimits, func(c *Conn) Handler { return panickingHandler{echo{c}} })
	other, bad := dial(t, s.Addr().String()), dial(t, s.Addr().String())
	expectEcho(t, other)
	if _, err := bad.Write([]byte("panic")); err != nil {
		t.Fatal(err)
	}
	expectClosed(t, bad)
	expectEcho(t, other)
	if got := HandlerPanics() - before; got != 1 {
		t.Errorf("%d panics counted, want 1", got)
	}
}

// panickingCallbacks is a handler that echoes, and panics once its echo is written and when it is closed.
type panickingCallbacks struct{ echo }

func (panickingCallbacks) Drained() { panic("drained") }
func (panickingCallbacks) Closed()  { panic("closed") }

// Panics of a handler's other callbacks, which run in goroutines of the writer and of netpoll, end its connection only, too.
func TestCallbackPanicsEndOnlyTheirConnection(t *testing.T) {
	before := HandlerPanics()
	s := serve(t, 100, testLimits, func(c *Conn) Handler { return panickingCallbacks{echo{c}} })
	bad := dial(t, s.Addr().String())
	expectEcho(t, bad)
	expectClosed(t, bad)
	for begun := time.Now(); HandlerPanics()-before < 2 && time.Since(begun) < 10*time.Second; {
		time.Sleep(time.Millisecond)
	}
	if got := HandlerPanics() - before; got != 2 {
		t.Errorf("%d panics counted, want 2", got)
	}
	expectEcho(t, dial(t, s.Addr().String()))
}

// A peer that sends before anything was sent to it is not connected to, as netpoll would read from it without a limit.
func TestDialRefusesUnsolicitedInput(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer nc.Close()
				for {
					if _, err := nc.Write(make([]byte, 64<<10)); err != nil {
						return
					}
				}
			}()
		}
	}()
	limits := testLimits
	limits.ReceiveBuffer = 16 << 10
	var h *busyHandler
	c, err := Dial(ln.Addr().String(), 10*time.Second, limits, NewBudget(1<<20), func(c *Conn) Handler {
		h = &busyHandler{conn: c}
		return h
	})
	if err != nil {
		return // refused, as it should be
	}
	defer c.Close()
	time.Sleep(200 * time.Millisecond) // the first bytes came after the check: the connection is bounded then
	if h.most.Load() > 4*16<<10 {
		t.Errorf("%d bytes at once", h.most.Load())
	}
}

// overflow fills the queue of a connection whose peer reads nothing. All later sends fail, and only one close is started.
func TestOverflowClosesOnce(t *testing.T) {
	limits := testLimits
	limits.MaxPendingBytes = 1 << 16
	made := make(chan *Conn, 1)
	s := serveWithBudget(t, 100, limits, NewBudget(1<<25), func(c *Conn) Handler {
		made <- c
		return echo{c}
	})
	dial(t, s.Addr().String())
	c := <-made
	before := closeCounts[closeTooMuchPending].Load()
	failed := 0
	for range 10_000 {
		if c.Send(make([]byte, 1<<12)) != nil {
			failed++
		}
	}
	if got := closeCounts[closeTooMuchPending].Load() - before; failed == 0 || got != 1 {
		t.Errorf("%d sends failed and %d closes were recorded, want one", failed, got)
	}
}

// A message that is complete in the socket is not cut off by the time-out that came due while the process was stopped.
func TestIncompleteMessageTimesOutOnlyOnceItsInputIsRead(t *testing.T) {
	limits := testLimits
	limits.ReadTimeout, limits.MessageTimeout = 50*time.Millisecond, 50*time.Millisecond
	s := serve(t, 100, limits, newLineEcho)
	nc := dial(t, s.Addr().String())
	if _, err := nc.Write([]byte("half")); err != nil {
		t.Fatal(err)
	}
	begun := time.Now()
	if _, err := io.ReadAll(nc); err != nil {
		t.Errorf("the connection ended with %v, want a close", err)
	}
	if took := time.Since(begun); took < 40*time.Millisecond || took > 5*time.Second {
		t.Errorf("an incomplete message was closed after %v, want 50ms", took)
	}
}

// A connection was closed for an incomplete message when the rest of the message had left the socket but was still being handled:
// after a stop of the process, that depended on whether the time-out or the reader of the socket came first.
func TestMessageWhoseRestIsBeingHandledIsNotIncomplete(t *testing.T) {
	limits := testLimits
	limits.ReadTimeout, limits.MessageTimeout = 50*time.Millisecond, time.Second
	_, nc, g := newGatedPair(t, limits)
	write(t, nc, "half")
	for !g.c.input.isPartial() {
		time.Sleep(time.Millisecond)
	}
	write(t, nc, " a line\n")
	<-g.received
	time.Sleep(2 * limits.ReadTimeout) // the time-out comes due while the rest is being handled
	g.release <- true
	write(t, nc, "next\n")
	select {
	case <-g.received:
		g.release <- true
	case <-g.closed:
		t.Error("the connection was closed although its message was complete")
	case <-time.After(10 * time.Second):
		t.Error("the next message is not handled")
	}
}
