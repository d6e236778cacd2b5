package netio

import (
	"strings"
	"testing"
	"time"

	"hillknot/internal/clock"
)

// Shutdown writes what was sent, also to a peer that reads late, closes the other connections, and returns as soon
// as all peers have closed.
func TestShutdownFlushesAndWaitsForPeers(t *testing.T) {
	s, nc, g := newGatedPair(t, lingeringLimits())
	rests := dial(t, s.Addr().String())
	write(t, nc, "one\n")
	<-g.received
	g.c.AddPendingReplies(1)
	g.release <- true
	answer := strings.Repeat("x", 1<<24) // more than the sockets hold
	if err := g.c.Send([]byte(answer)); err != nil {
		t.Fatal(err)
	}
	g.c.AddPendingReplies(-1)
	done := make(chan bool)
	go func() { s.Shutdown(clock.Now() + 20*time.Second); close(done) }()
	expectThenEnd(t, rests, "")
	rests.Close()
	expectThenEnd(t, nc, answer)
	nc.Close()
	<-done
	if n := s.OpenConns(); n > 0 {
		t.Errorf("%d connections are left", n)
	}
}

// Shutdown lets requests be answered that were read before, also where the reply is given only after Shutdown
// began, as by a busy core. The connection was once cut off, and the request lost.
func TestShutdownAnswersWhatWasRead(t *testing.T) {
	s, nc, g := newGatedPair(t, lingeringLimits())
	g.c.AddPendingReplies(1)
	write(t, nc, "one\n")
	<-g.received
	g.release <- true
	done := make(chan bool)
	go func() { s.Shutdown(clock.Now() + 20*time.Second); close(done) }()
	time.Sleep(50 * time.Millisecond) // it has hasLatest many times
	if err := g.c.Send([]byte("answer")); err != nil {
		t.Errorf("the answer can't be sent: %v", err)
	}
	g.c.AddPendingReplies(-1)
	expectThenEnd(t, nc, "answer")
	nc.Close()
	<-done
}
