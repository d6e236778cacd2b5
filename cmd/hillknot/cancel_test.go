package main

import (
	"net"
	"testing"
	"time"
)

// waysToLeave holds the ways in which the client of request 1 can leave. Each function returns once the router knows.
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
			client.t.Error("the router still answered")
		}
	},
}

// Once a client has left, the router sends nothing but a cancel for its request: neither when a connection comes up, nor when
// the request gets the capacity it waited for, nor when an attempt fails that would otherwise be retried.
func TestNothingIsSentForAClientThatLeft(t *testing.T) {
	for name, leave := range waysToLeave {
		t.Run(name+" during a connect: nothing is sent", func(t *testing.T) { testLeaveDuringConnect(t, leave) })
		t.Run(name+" while its request waits for capacity: nothing is sent", func(t *testing.T) { testLeaveWhileQueued(t, leave) })
		t.Run(name+" as its attempt fails: no retry", func(t *testing.T) { testLeaveAsAttemptFails(t, leave) })
	}
}

func testLeaveDuringConnect(t *testing.T, leave func(*testClient)) {
	r := newTestRouter(t, 1)
	release := r.endpoints[0].holdConnections()
	defer release()
	r.start()
	client := r.dial()
	client.request(1, "page", nil)
	client.expectReady(9) // the router has read the request
	leave(client)
	release()
	r.expectNoAttempt("gone")
}

func testLeaveWhileQueued(t *testing.T, leave func(*testClient)) {
	const others = 30 // requests of another client, more than the endpoint has capacity for
	r := newTestRouter(t, 1).start()
	busy := r.dial()
	for id := 100; id < 100+others; id++ {
		busy.request(id, "page", nil)
	}
	busy.expectReady(1000)
	inFlight := r.collectAttempts()
	if len(inFlight) == others {
		t.Fatal("no request waits for capacity")
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
			t.Fatal("the endpoint got an attempt for the client that left")
		}
		inFlight[0].serve("x")
		inFlight = inFlight[1:]
		_, _ = busy.read() // the request is served, or rejected after it has waited too long
	}
	r.expectNoAttempt("gone")
}

// collectAttempts returns the attempts that endpoints get until the router has sent none for 200 ms.
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
		t.Errorf("the router cancelled another request, %s", cancel.requestID)
	}
	attempt.fail()
	r.expectNoAttempt("gone")
}
