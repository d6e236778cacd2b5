package netio

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"hillknot/internal/config"
)

// What comes once a connection was closed is handed to nobody, also if it was in the read buffer by then: a request
// that is read after the close would be forwarded, and its reply lost.
func TestNoInputIsHandedOnAfterClose(t *testing.T) {
	for name, end := range map[string]func(*Conn){"at once": (*Conn).Close, "behind what was sent": (*Conn).CloseAfterWrites} {
		s, nc, g := newGatedPair(t, lingeringLimits())
		write(t, nc, "one\n")
		<-g.received
		write(t, nc, "two\n")
		for !g.c.HasUnreadInput() { // until it has come
			time.Sleep(time.Millisecond)
		}
		end(g.c)
		g.release <- true
		nc.(*net.TCPConn).CloseWrite()
		for s.OpenConns() > 0 && len(g.received) == 0 {
			time.Sleep(time.Millisecond)
		}
		if len(g.received) > 0 {
			t.Errorf("%s: handed on %q after the close", name, <-g.received)
			g.release <- true
		}
	}
}

// A connection whose handler is consuming input is not idle, even if no reply is pending.
func TestNoIdleCloseWhileInputIsHandled(t *testing.T) {
	for name, retire := range map[string]func(*Server, *Conn){
		"behind an answer": func(_ *Server, c *Conn) { c.CloseWhenIdle() },
		"idle":             func(_ *Server, c *Conn) { c.closeIfIdle(closeIdleTimeout, keepPartial) },
		"half":             func(_ *Server, c *Conn) { c.closeIfIdle(closeIdleTimeout, dropPartial) },
		"for a new one":    func(s *Server, _ *Conn) { s.SetMaxConns(0) },
	} {
		s, nc, g := newGatedPair(t, lingeringLimits())
		write(t, nc, "one\n")
		<-g.received
		retire(s, g.c)
		g.c.AddPendingReplies(1)
		g.release <- true
		if err := g.c.Send([]byte("answer\n")); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		g.c.AddPendingReplies(-1)
		g.c.CloseWhenIdle()
		expectThenEnd(t, nc, "answer\n")
	}
}

// A reply that a client has yet to read is not lost as the connection closes while the client sends on.
func TestLingeringCloseKeepsLastReply(t *testing.T) {
	s, nc, g := newGatedPair(t, lingeringLimits())
	write(t, nc, "one\n")
	<-g.received
	g.c.AddPendingReplies(1)
	g.release <- true
	if err := g.c.Send([]byte("answer\n")); err != nil {
		t.Fatal(err)
	}
	g.c.AddPendingReplies(-1)
	g.c.CloseAfterWrites()
	<-g.closed
	for range 20 {
		write(t, nc, "more\n") // fails once the connection is reset
		time.Sleep(time.Millisecond)
	}
	expectThenEnd(t, nc, "answer\n")
	nc.Close()
	for end := time.Now().Add(20 * time.Second); s.OpenConns() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the connection stays")
		}
	}
}

// A peer that goes on and on after our end is cut off by bytes, and one that does nothing by time.
func TestLingeringCloseIsBounded(t *testing.T) {
	short, long := lingeringLimits(), lingeringLimits()
	short.LingerTimeout, long.LingerTimeout = 50*time.Millisecond, time.Minute
	for name, l := range map[string]config.ConnLimits{"sends": long, "rests": short} {
		s, nc, g := newGatedPair(t, l)
		g.c.CloseAfterWrites()
		for end := time.Now().Add(20 * time.Second); s.OpenConns() > 0; time.Sleep(time.Millisecond) {
			if name == "sends" {
				_, _ = nc.Write(make([]byte, 4096)) // fails in the end
			}
			if time.Now().After(end) {
				t.Fatalf("%s: still open", name)
			}
		}
	}
}

// What a handler sends as it is made, before netpoll can write to the connection, is written once it can, and a close waits for
// it. More than the socket takes at once was lost with the connection.
func TestSendBeforeTheConnectionIsSetUp(t *testing.T) {
	greeting := strings.Repeat("x", 8<<20)
	limits := lingeringLimits()
	limits.MaxPendingBytes = 16 << 20
	for range 50 {
		s := serveWithBudget(t, 10, limits, NewBudget(1<<25), func(c *Conn) Handler {
			if err := c.Send([]byte(greeting)); err != nil {
				t.Error(err)
			}
			time.Sleep(time.Millisecond) // netpoll registers the connection after this
			return echo{c}
		})
		nc := dial(t, s.Addr().String())
		buf := make([]byte, len(greeting))
		if n, err := io.ReadFull(nc, buf); err != nil {
			t.Fatalf("after %d of %d bytes: %v", n, len(greeting), err)
		}
		nc.Close()
	}
}
