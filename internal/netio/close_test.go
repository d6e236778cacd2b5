package netio

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"hillknot/internal/config"
)

// Input that arrives before a close and was not consumed yet, in the read buffer or the socket, does not reach the
// handler after the close. Otherwise the request would be forwarded and its reply lost.
func TestNoInputIsHandedOnAfterClose(t *testing.T) {
	for name, end := range map[string]func(*Conn){"Close": (*Conn).Close, "CloseAfterWrites": (*Conn).CloseAfterWrites} {
		s, nc, g := newGatedPair(t, lingeringLimits())
		write(t, nc, "one\n")
		<-g.received
		write(t, nc, "two\n")
		for !g.c.HasUnreadInput() { // until the second line has arrived
			time.Sleep(time.Millisecond)
		}
		end(g.c)
		g.release <- true
		nc.(*net.TCPConn).CloseWrite()
		for s.OpenConns() > 0 && len(g.received) == 0 {
			time.Sleep(time.Millisecond)
		}
		if len(g.received) > 0 {
			t.Errorf("%s: the handler got %q after the close", name, <-g.received)
			g.release <- true
		}
	}
}

// A connection whose handler is consuming input does not count as idle, even if no reply is pending.
func TestNoIdleCloseWhileInputIsHandled(t *testing.T) {
	for name, closeIdle := range map[string]func(*Server, *Conn){
		"CloseWhenIdle":                func(_ *Server, c *Conn) { c.CloseWhenIdle() },
		"idle timeout":                 func(_ *Server, c *Conn) { c.closeIfIdle(closeIdleTimeout, keepPartial) },
		"timeout of a partial message": func(_ *Server, c *Conn) { c.closeIfIdle(closeIdleTimeout, dropPartial) },
		"eviction":                     func(s *Server, _ *Conn) { s.SetMaxConns(0) },
	} {
		s, nc, g := newGatedPair(t, lingeringLimits())
		write(t, nc, "one\n")
		<-g.received
		closeIdle(s, g.c)
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

// A reply that the client has not read yet is not lost when the connection closes while the client keeps sending.
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
		write(t, nc, "more\n") // would fail after a reset of the connection
		time.Sleep(time.Millisecond)
	}
	expectThenEnd(t, nc, "answer\n")
	nc.Close()
	for end := time.Now().Add(20 * time.Second); s.OpenConns() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the connection is still open")
		}
	}
}

// After this side has closed, a peer that keeps sending is disconnected after a number of bytes, and a peer that does
// nothing is disconnected after a timeout.
func TestLingeringCloseIsBounded(t *testing.T) {
	short, long := lingeringLimits(), lingeringLimits()
	short.LingerTimeout, long.LingerTimeout = 50*time.Millisecond, time.Minute
	for name, l := range map[string]config.ConnLimits{"sending peer": long, "inactive peer": short} {
		s, nc, g := newGatedPair(t, l)
		g.c.CloseAfterWrites()
		for end := time.Now().Add(20 * time.Second); s.OpenConns() > 0; time.Sleep(time.Millisecond) {
			if name == "sending peer" {
				_, _ = nc.Write(make([]byte, 4096)) // fails once the connection is closed
			}
			if time.Now().After(end) {
				t.Fatalf("%s: still open", name)
			}
		}
	}
}

// Messages that are sent while the handler is created, before netpoll can write to the connection, are written once it can,
// and a close waits for that. Earlier, bytes beyond what the socket takes at once were lost with the connection.
func TestSendBeforeConnectionIsSetUpIsWritten(t *testing.T) {
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
