package main

import (
	"testing"
	"time"
)

// A page cache resets a connection while the other one has as many attempts as the router sends it. The requests whose attempts
// were in flight on the connection wait for the other page cache, as the first one does not get them again, and are served.
func TestResetRequestsWaitForAnotherPageCache(t *testing.T) {
	r := newTestRouter(t, 2)
	r.start()
	client := r.dial()
	const requests = 30
	for id := range requests {
		client.request(id, "page", nil)
	}
	held := r.collectAttempts()
	if len(held) == 0 {
		t.Fatal("no attempt has arrived")
	}
	victim := held[0]
	resetConnection(victim)
	time.Sleep(20 * time.Millisecond) // the router reads the reset before it reads responses
	for _, attempt := range held {
		if attempt.conn != victim.conn {
			attempt.serve("x")
		}
	}
	stop := make(chan bool)
	defer close(stop)
	go r.handleAttempts(stop, func(attempt endpointMessage) { attempt.serve("x") })
	for range requests {
		if answer, err := client.read(); err != nil || answer.content() != "x" {
			t.Errorf("answer to %d: %q, error %v, want x", answer.id, answer.content(), err)
		}
	}
}
