package main

import (
	"fmt"
	"maps"
	"testing"
	"time"
)

// repeatedID is the id of a request that comes twice in these tests.
const repeatedID = "00000000000000aa"

// waysToEnd are the ways in which a request can end after its attempt was written. Each function returns once the router knows.
var waysToEnd = map[string]func(*testRouter, *testClient, endpointMessage){
	"the client has closed its connection": func(r *testRouter, client *testClient, _ endpointMessage) {
		client.conn.Close()
		r.nextCancel()
	},
	"the client has cancelled": func(r *testRouter, client *testClient, _ endpointMessage) {
		client.cancel(1)
		r.nextCancel()
	},
	"the client has closed, and the answer came too late": func(r *testRouter, client *testClient, attempt endpointMessage) {
		client.conn.Close()
		r.nextCancel()
		attempt.serve("x")
	},
	"it was served": func(_ *testRouter, client *testClient, attempt endpointMessage) {
		attempt.serve("x")
		client.expect(1, "x")
	},
	"it failed": func(r *testRouter, client *testClient, attempt endpointMessage) {
		attempt.fail()
		client.expectError(1)
		for len(r.messages) > 0 { // a keyed request may be sent once more, within its time
			<-r.messages
		}
	},
	"its time is over": func(r *testRouter, client *testClient, _ endpointMessage) {
		client.expectError(1)
		r.nextCancel()
	},
}

// expectError reads the next answer, which must not say that the request was served, and returns its error code.
func (c *testClient) expectError(id int) string {
	c.t.Helper()
	got, err := c.read()
	if err != nil || got.id != id || got.errorCode == "" {
		c.t.Fatalf("answer to %d: body %q, error %v; want an error to %d", got.id, got.body, err, id)
	}
	return got.errorCode
}

// requestRepeatedID sends a request with repeatedID.
func (c *testClient) requestRepeatedID(class string) {
	c.t.Helper()
	c.request(1, class, map[string]string{"txn": repeatedID, "limit": "700", "unique": fmt.Sprintf("%032x", 1)})
}

// expectNoSecondRun sends a request with repeatedID on a new connection. It must fail and reach no endpoint, and a request with
// another id on the same connection must be served.
func (r *testRouter) expectNoSecondRun(class string) {
	r.t.Helper()
	client := r.dial()
	client.requestRepeatedID(class)
	r.expectNoAttempt("the id comes again")
	if code := client.expectError(1); code == "Throttled" {
		r.t.Error("the id that comes again is told that it never ran")
	}
	client.request(2, class, map[string]string{"unique": fmt.Sprintf("%032x", 2)})
	r.nextAttempt().serve("y")
	client.expect(2, "y")
}

// A request that may not simply run twice, whose id came again after its client had left or was answered, ran again at another page
// cache.
func TestRepeatedIDDoesNotRunAgain(t *testing.T) {
	for name, end := range waysToEnd {
		for _, class := range []string{"order", "filed"} {
			t.Run(class+", "+name, func(t *testing.T) {
				inParallel(t)
				r := newTestRouter(t, 3)
				r.startProcess()
				client := r.dial()
				client.requestRepeatedID(class)
				end(r, client, r.nextAttempt())
				r.expectNoSecondRun(class)
			})
		}
	}
}

// The same at the other process of an upgrade: whether the request was sent before the successor served, or by the predecessor after
// that, on a connection that it has kept, and whether or not it is still out there.
func TestRepeatedIDDoesNotRunAgainAtTheSuccessor(t *testing.T) {
	ways := maps.Clone(waysToEnd)
	ways["it is still out"] = func(*testRouter, *testClient, endpointMessage) {}
	for name, sentAfterUpgrade := range map[string]bool{"sent before the upgrade": false, "sent by the predecessor after it": true} {
		for wayName, end := range ways {
			t.Run(name+", "+wayName, func(t *testing.T) {
				inParallel(t)
				r := newTestRouter(t, 3)
				tempDir := shortTempDir(t)
				predecessor := r.startProcess("TMPDIR=" + tempDir)
				client := r.dial()
				client.expectReady(9)
				send := func() {
					client.requestRepeatedID("order")
					end(r, client, r.nextAttempt())
				}
				if !sentAfterUpgrade {
					send()
				}
				r.startSuccessor("TMPDIR=" + tempDir)
				if sentAfterUpgrade {
					send()
					time.Sleep(50 * time.Millisecond) // the predecessor tells the successor beside sending
				}
				predecessor.stop() // from now on, only the successor accepts connections
				r.expectNoSecondRun("order")
			})
		}
	}
}
