package main

import (
	"net"
	"testing"
	"time"
)

// waysToLeave has the client of request 1 leave, in each way that there is, and returns once the router knows.
var waysToLeave = map[string]func(*testClient){
	"cancels": func(client *testClient) {
		client.cancel(1)
		client.expectReady(2)
	},
	"closes its side": func(client *testClient) {
		if err := client.conn.(*net.TCPConn).CloseWrite(); err != nil {
			client.t.Error(err)
		}
		if _, err := client.conn.Read(make([]byte, 1)); err == nil {
			client.t.Error("still answered")
		}
	},
}

// Once a client has left, nothing but a cancel is sent for its request: not while a connection is coming up, not while the
// request waits for capacity, and not where an attempt fails and a retry would follow.
func TestNothingIsSentForAClientThatLeft(t *testing.T) {
	for name, leave := range waysToLeave {
		t.Run(name+" during a connect", func(t *testing.T) { testLeaveDuringConnect(t, leave) })
		t.Run(name+" while it waits for room", func(t *testing.T) { testLeaveWhileQueued(t, leave) })
		t.Run(name+" as it fails", func(t *testing.T) { testLeaveAsAttemptFails(t, leave) })
	}
}

func testLeaveDuringConnect(t *testing.T, leave func(*testClient)) {
	r := newTestRouter(t, 1)
	release := r.endpoints[0].holdConnections()
	defer release()
	r.start()
	client := r.dial()
	client.request(1, "page", nil)
	client.expectReady(9) // the request has been taken
	leave(client)
	release()
	r.expectNoAttempt("gone")
}

func testLeaveWhileQueued(t *testing.T, leave func(*testClient)) {
	const others = 30 // requests, more than the endpoint has capacity for
	r := newTestRouter(t, 1).start()
	busy := r.dial()
	for id := 100; id < 100+others; id++ {
		busy.request(id, "page", nil)
	}
	busy.expectReady(1000)
	inFlight := r.collectAttempts()
	if len(inFlight) == others {
		t.Fatal("none waits")
	}
	client := r.dial()
	client.request(1, "page", nil)
	client.expectReady(9)
	leave(client)
	for range others {
		if len(inFlight) == 0 {
			inFlight = append(inFlight, r.nextAttempt())
		}
		if inFlight[0].requestID == "0000000000000001" {
			t.Fatal("asked for it")
		}
		inFlight[0].serve("x")
		inFlight = inFlight[1:]
		_, _ = busy.read() // served, or rejected after it waited for too long
	}
	r.expectNoAttempt("gone")
}

// collectAttempts returns the attempts that come until the router sends no more for a while.
func (r *testRouter) collectAttempts() (attempts []endpointMessage) {
	for {
		select {
		case attempt := <-r.messages:
			attempts = append(attempts, attempt)
		case <-time.After(200 * time.Millisecond):
			return attempts
		}
	}
}

func testLeaveAsAttemptFails(t *testing.T, leave func(*testClient)) {
	r := newTestRouter(t, 2).start()
	client := r.dial()
	client.request(1, "page", nil)
	attempt := r.nextAttempt()
	leave(client)
	if cancel := r.nextCancel(); cancel.requestID != attempt.requestID {
		t.Errorf("gives up %s", cancel.requestID)
	}
	attempt.fail()
	r.expectNoAttempt("gone")
}
