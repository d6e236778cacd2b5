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

// A request that waits in its socket while other connections are handled is answered, however long that takes: earlier, what was not
// read 50 ms after the start of Shutdown was discarded, and its client got the end of the connection for an answer.
func TestShutdownAnswersRequestsThatWaitToBeRead(t *testing.T) {
	handlers := make(chan *gatedHandler, 2)
	s := serveWithBudget(t, 100, lingeringLimits(), NewBudget(1<<25), func(c *Conn) Handler {
		g := &gatedHandler{c: c, received: make(chan string, 10), release: make(chan bool), closed: make(chan bool)}
		handlers <- g
		return g
	})
	slow, waiting := dial(t, s.Addr().String()), dial(t, s.Addr().String())
	slowHandler, waitingHandler := <-handlers, <-handlers
	write(t, slow, "slow\n")
	<-slowHandler.received // the poller waits for this handler
	write(t, waiting, "request\n")
	done := make(chan bool)
	go func() { s.Shutdown(clock.Now() + 20*time.Second); close(done) }()
	time.Sleep(4 * shutdownPartialTime)
	slowHandler.release <- true
	select {
	case <-waitingHandler.received:
		waitingHandler.c.AddPendingReplies(1)
		waitingHandler.release <- true
		if err := waitingHandler.c.Send([]byte("answer")); err != nil {
			t.Errorf("the reply can't be sent: %v", err)
		}
		waitingHandler.c.AddPendingReplies(-1)
	case <-time.After(5 * time.Second):
		t.Error("the request was not read")
	}
	expectThenEnd(t, waiting, "answer")
	slow.Close()
	waiting.Close()
	<-done
}

// An incomplete message, and a peer that sends without pause, do not keep Shutdown from ending.
func TestShutdownEndsBesidePeersThatNeverPause(t *testing.T) {
	s := serve(t, 100, lingeringLimits(), newLineEcho)
	half, endless := dial(t, s.Addr().String()), dial(t, s.Addr().String())
	write(t, half, "half")
	for s.OpenConns() < 2 {
		time.Sleep(time.Millisecond)
	}
	stop, stopped := make(chan bool), make(chan bool)
	go func() {
		defer close(stopped)
		for {
			select {
			case <-stop:
				return
			default:
				_, _ = endless.Write([]byte("x\n")) // fails once the server has closed the connection
			}
		}
	}()
	const length = 500 * time.Millisecond
	begun := clock.Now()
	done := make(chan bool)
	go func() { s.Shutdown(begun + length); close(done) }()
	expectThenEnd(t, half, "")
	if elapsed := clock.Now() - begun; elapsed > length/2 {
		t.Errorf("a connection with half a message was closed after %v, want %v", elapsed, shutdownPartialTime)
	}
	half.Close()
	<-done
	if elapsed := clock.Now() - begun; elapsed > length+length/2 {
		t.Errorf("Shutdown returned after %v, want %v", elapsed, length)
	}
	close(stop)
	<-stopped
}
