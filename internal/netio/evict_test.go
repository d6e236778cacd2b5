package netio

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"hillknot/internal/clock"
)

// Peers that connect and send nothing, or that stay connected after a reply, are evicted for new ones. Peers with a
// pending reply are not.
func TestEvictionMakesRoomForNewPeers(t *testing.T) {
	accepted := make(chan *Conn, 100)
	s := serve(t, 8, testLimits, func(c *Conn) Handler { accepted <- c; return echo{c} })
	awaitingReply := dial(t, s.Addr().String())
	(<-accepted).AddPendingReplies(1)
	for range 100 {
		dial(t, s.Addr().String())
		<-accepted
	}
	exchange(t, s.Addr().String())
	expectEcho(t, awaitingReply)
}

// A client that writes its request slowly keeps its connection while many peers connect that send nothing or are idle. A
// client that has stopped in the middle of a message is evicted last.
func TestSlowWriterIsEvictedLast(t *testing.T) {
	short := testLimits
	short.SilentTimeout = time.Second // a peer that is silent for an eighth of it may be evicted
	s := serve(t, 8, short, newLineEcho)
	slow, idle := dial(t, s.Addr().String()), dial(t, s.Addr().String())
	expectEcho(t, idle)
	if _, err := slow.Write([]byte("h")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(short.SilentTimeout / 4)
	for range 50 {
		dial(t, s.Addr().String())
	}
	exchange(t, s.Addr().String())
	expectClosed(t, idle)
	if _, err := slow.Write([]byte("i\n")); err != nil {
		t.Fatal(err)
	}
	if n, err := slow.Read(make([]byte, 3)); n == 0 {
		t.Errorf("the slow writer gets no reply: %v", err)
	}
}

// When the limit is lowered, idle connections above it are closed. Connections with a pending reply and those whose peer is
// in the middle of a message stay open.
func TestSetMaxConnsClosesIdleConnections(t *testing.T) {
	conns := make(chan *Conn, 10)
	s := serve(t, 10, testLimits, func(c *Conn) Handler { conns <- c; return newLineEcho(c) })
	awaitingReply, writing := dial(t, s.Addr().String()), dial(t, s.Addr().String())
	(<-conns).AddPendingReplies(1)
	writing.Write([]byte("h"))
	for range 6 {
		expectEcho(t, dial(t, s.Addr().String()))
	}
	for c := <-conns; c.input.partialSince.Load() == 0; time.Sleep(time.Millisecond) { // until the partial message has arrived
	}
	s.SetMaxConns(1)
	for end := time.Now().Add(20 * time.Second); s.OpenConns() > 2; time.Sleep(time.Millisecond) {
		s.SetMaxConns(1) // again, because a connection may still be finishing its echo when the client has already read it
		if time.Now().After(end) {
			t.Fatalf("%d connections are open, want at most 2", s.OpenConns())
		}
	}
	expectEcho(t, awaitingReply)
	writing.Write([]byte("i\n"))
	if n, err := writing.Read(make([]byte, 3)); n == 0 {
		t.Errorf("the client that was writing gets no reply: %v", err)
	}
}

// A connection is not evicted while its peer has not received a reply completely: a close would lose the reply if the peer
// sends something at the same time. The connection may be evicted once the peer has taken nothing for the write timeout.
func TestEvictionDoesNotLoseUndeliveredReply(t *testing.T) {
	limits := lingeringLimits()
	limits.WriteTimeout = time.Second
	answer := strings.Repeat("x", 600_000) // more than the peer's receive buffer takes before the peer reads
	made := make(chan *Conn, 10)
	s := serveWithBudget(t, 1, limits, NewBudget(1<<25), func(c *Conn) Handler {
		made <- c
		return lineEcho{echo{c}}
	})
	slow := dial(t, s.Addr().String())
	if err := slow.(*net.TCPConn).SetReadBuffer(16 << 10); err != nil {
		t.Fatal(err)
	}
	c := <-made
	write(t, slow, "hi\n")
	if _, err := io.ReadFull(slow, make([]byte, 3)); err != nil {
		t.Fatal(err)
	}
	if err := c.Send([]byte(answer)); err != nil {
		t.Fatal(err)
	}
	for taken := false; !taken; _, taken = c.idleFor(clock.Now()) { // until the system has taken the reply
		time.Sleep(time.Millisecond)
	}
	dial(t, s.Addr().String())        // needs a slot
	time.Sleep(50 * time.Millisecond) // long enough for an eviction
	write(t, slow, "hi\n")
	time.Sleep(50 * time.Millisecond) // long enough for a reset to reach the peer
	got := make([]byte, len(answer))
	if n, err := io.ReadFull(slow, got); err != nil {
		t.Fatalf("after %d of %d bytes: %v", n, len(got), err)
	}
	if err := c.Send([]byte(answer)); err != nil { // the peer does not read this reply
		t.Fatal(err)
	}
	time.Sleep(limits.WriteTimeout + 100*time.Millisecond)
	exchange(t, s.Addr().String())
}
