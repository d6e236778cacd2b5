package netio

import (
	"strings"
	"testing"
	"time"

	"hillknot/internal/clock"
)

// Shutdown writes queued messages, also to a peer that reads late, closes the other connections, and returns once all
// peers have closed their sides.
func TestShutdownFlushesAndWaitsForPeers(t *testing.T) {
	s, nc, g := newGatedPair(t, lingeringLimits())
	idle := dial(t, s.Addr().String())
	write(t, nc, "one\n")
	<-g.received
	g.c.AddPendingReplies(1)
	g.release <- true
	answer := strings.Repeat("x", 1<<24) // more than the socket buffers hold
	if err := g.c.Send([]byte(answer)); err != nil {
		t.Fatal(err)
	}
	g.c.AddPendingReplies(-1)
	done := make(chan bool)
	go func() { s.Shutdown(clock.Now() + 20*time.Second); close(done) }()
	expectThenEnd(t, idle, "")
	idle.Close()
	expectThenEnd(t, nc, answer)
	nc.Close()
	<-done
	if n := s.OpenConns(); n > 0 {
		t.Errorf("%d connections are open, want none", n)
	}
}

// Shutdown waits for the replies to requests that were read before, also if a reply is sent only after Shutdown has begun,
// as with a busy core. Earlier, the connection was closed and the request lost.
func TestShutdownWaitsForRepliesToReadRequests(t *testing.T) {
	s, nc, g := newGatedPair(t, lingeringLimits())
	g.c.AddPendingReplies(1)
	write(t, nc, "one\n")
	<-g.received
	g.release <- true
	done := make(chan bool)
	go func() { s.Shutdown(clock.Now() + 20*time.Second); close(done) }()
	time.Sleep(50 * time.Millisecond) // Shutdown has polled many times by now
	if err := g.c.Send([]byte("answer")); err != nil {
		t.Errorf("the reply can't be sent: %v", err)
	}
	g.c.AddPendingReplies(-1)
	expectThenEnd(t, nc, "answer")
	nc.Close()
	<-done
}
