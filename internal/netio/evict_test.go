package netio

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"hillknot/internal/clock"
)

// Peers that connect and send nothing, or stay after a reply, make room for new ones; not those with a pending
// reply.
func TestEvictionMakesRoomForNewPeers(t *testing.T) {
	accepted := make(chan *Conn, 100)
	s := serve(t, 8, testLimits, func(c *Conn) Handler { accepted <- c; return echo{c} })
	owed := dial(t, s.Addr().String())
	(<-accepted).AddPendingReplies(1)
	for range 100 {
		dial(t, s.Addr().String())
		<-accepted
	}
	exchange(t, s.Addr().String())
	expectEcho(t, owed)
}

// A client that takes its time to write a request keeps its place while a crowd connects, says nothing or idles;
// one that has stopped half way gives way last.
func TestSlowWriterIsEvictedLast(t *testing.T) {
	short := testLimits
	short.SilentTimeout = time.Second // silent for an eighth of it gives way
	s := serve(t, 8, short, newLines)
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
		t.Errorf("the slow writer gets no answer: %v", err)
	}
}

// Idle connections over a lower limit close; those with a pending reply and those that are writing stay.
func TestSetMaxConnsClosesIdleConnections(t *testing.T) {
	conns := make(chan *Conn, 10)
	s := serve(t, 10, testLimits, func(c *Conn) Handler { conns <- c; return newLines(c) })
	owed, half := dial(t, s.Addr().String()), dial(t, s.Addr().String())
	(<-conns).AddPendingReplies(1)
	half.Write([]byte("h"))
	for range 6 {
		expectEcho(t, dial(t, s.Addr().String()))
	}
	for c := <-conns; c.input.partialSince.Load() == 0; time.Sleep(time.Millisecond) { // until the half message has come in
	}
	s.SetMaxConns(1)
	for end := time.Now().Add(20 * time.Second); s.OpenConns() > 2; time.Sleep(time.Millisecond) {
		s.SetMaxConns(1) // a connection may not be done with its echo yet though the client has read it, and rests only then
		if time.Now().After(end) {
			t.Fatalf("%d connections", s.OpenConns())
		}
	}
	expectEcho(t, owed)
	half.Write([]byte("i\n"))
	if n, err := half.Read(make([]byte, 3)); n == 0 {
		t.Errorf("the one that was writing: %v", err)
	}
}

// A connection whose peer has yet to take an answer gives way to no other: a close would lose the answer if the peer sends
// something just then. It does give way once the peer has taken nothing for the write time-out.
func TestAnswerUnderWayIsNotLostToEviction(t *testing.T) {
	limits := lingeringLimits()
	limits.WriteTimeout = time.Second
	answer := strings.Repeat("x", 600_000) // more than the peer's side takes before it reads
	made := make(chan *Conn, 10)
	s := serveWithBudget(t, 1, limits, NewBudget(1<<25), func(c *Conn) Handler {
		made <- c
		return lines{echo{c}}
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
	for taken := false; !taken; _, taken = c.idleFor(clock.Now()) { // until the system has taken it
		time.Sleep(time.Millisecond)
	}
	dial(t, s.Addr().String())        // it needs a place
	time.Sleep(50 * time.Millisecond) // and would have got one
	write(t, slow, "hi\n")
	time.Sleep(50 * time.Millisecond) // what follows from that reaches the peer
	got := make([]byte, len(answer))
	if n, err := io.ReadFull(slow, got); err != nil {
		t.Fatalf("after %d of %d bytes: %v", n, len(got), err)
	}
	if err := c.Send([]byte(answer)); err != nil { // which is not read
		t.Fatal(err)
	}
	time.Sleep(limits.WriteTimeout + 100*time.Millisecond)
	exchange(t, s.Addr().String())
}
