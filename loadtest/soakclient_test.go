package loadtest

import (
	"net"
	"testing"
	"time"
)

// A client of the soak whose requests wait for the lock of the history, as they do beside thousands of others, must not blame its
// router for the wait: a request counts as sent once it is written, and a write that finds the end of the connection tells when.
func TestSoakTimesAreThoseOfTheEvents(t *testing.T) {
	client, router := net.Pipe()
	router.Close()
	history := newSoakHistory()
	conn := &soakConn{conn: client, client: newSoakClient("router", history, 1, 0), inFlight: map[uint64]*soakRequest{}}
	history.mu.Lock()
	sent := make(chan *soakRequest)
	go func() { sent <- conn.send(1) }()
	time.Sleep(20 * time.Millisecond)
	unlocked := time.Now()
	history.mu.Unlock()
	request := <-sent
	if request.sent.Before(unlocked) {
		t.Errorf("sent %v before it could be written", unlocked.Sub(request.sent))
	}
	if request.disconnected.IsZero() {
		t.Error("the write found the end of the connection, which is not recorded")
	}
}

// A request counts as abandoned from before the client cancels it, as no answer is due any more, and its router has time to act on
// that from when the cancellation is written.
func TestSoakRequestIsAbandonedByTheAct(t *testing.T) {
	history := newSoakHistory()
	request := &soakRequest{}
	conn := &soakConn{client: newSoakClient("router", history, 1, 0), inFlight: map[uint64]*soakRequest{1: request}}
	var acted time.Time
	conn.abandonAll(func() {
		if request.abandoned.IsZero() {
			t.Error("an answer is still due while the client acts")
		}
		time.Sleep(time.Millisecond)
		acted = time.Now()
	})
	if request.abandoned.Before(acted) || len(conn.inFlight) > 0 {
		t.Errorf("abandoned %v before the act, %d requests in flight", acted.Sub(request.abandoned), len(conn.inFlight))
	}
}
