package main

import (
	"fmt"
	"net"
	"testing"
	"time"
)

// replaceProcess ends an endpoint as a process that dies does, with a reset of its connections, and starts another one at its address.
func (r *testRouter) replaceProcess(old *fakeEndpoint, inFlight []endpointMessage, id string) *fakeEndpoint {
	r.t.Helper()
	address := old.Addr().String()
	old.Close()
	for _, message := range inFlight {
		resetConnection(message)
	}
	next := &fakeEndpoint{t: r.t, id: id, messages: r.messages}
	for end := time.Now().Add(harnessTimeout); ; time.Sleep(time.Millisecond) {
		ln, err := net.Listen("tcp", address)
		if err == nil {
			next.Listener = ln
			break
		}
		if time.Now().After(end) {
			r.t.Fatal(err)
		}
	}
	r.t.Cleanup(func() { next.Close() })
	go next.accept()
	return next
}

// Another page cache comes up at the address of one that has died with requests in flight, before or after the router is told. What may
// have run there is not sent to the new one as if it were the old one.
func TestNewEndpointAtAnOldAddressGetsNothingOfTheOldOne(t *testing.T) {
	for name, toldFirst := range map[string]bool{"told before the old one dies": true, "told after the new one is up": false} {
		for _, class := range []string{"order", "filed"} {
			t.Run(class+", "+name, func(t *testing.T) {
				inParallel(t)
				testNewEndpointAtAnOldAddress(t, class, toldFirst)
			})
		}
	}
}

func testNewEndpointAtAnOldAddress(t *testing.T, class string, toldFirst bool) {
	const nextID = "s-next"
	r := newTestRouter(t, 1)
	for _, profile := range r.config["settings"].(jsonMap)["profiles"].([]jsonMap) {
		if profile["name"] == "filed" {
			profile["group"] = "cell" // page caches of one cell drop repeats; the new one is in another cell
		}
	}
	r.startProcess()
	watch := r.acceptWatch("1")
	client := r.dial()
	client.request(1, class, map[string]string{"unique": fmt.Sprintf("%032x", 1)})
	attempt := r.nextAttempt()
	old := r.endpoints[0]
	entry := old.listEntry("ready")
	entry["instanceId"], entry["cell"] = nextID, 7
	tell := func() { watch.sendEndpoints(2, false, old.listEntry("gone"), entry) }
	var next *fakeEndpoint
	if toldFirst {
		tell()
		time.Sleep(100 * time.Millisecond) // the router has applied the list; it would be green without this, too
		next = r.replaceProcess(old, []endpointMessage{attempt}, nextID)
	} else {
		next = r.replaceProcess(old, []endpointMessage{attempt}, nextID)
		r.expectNoAttempt("before the router is told of the new page cache")
		tell()
	}
	if class == "order" {
		if code := client.expectError(1); code == "Throttled" {
			t.Error("the order is told that it never ran")
		}
	}
	r.expectNoAttemptOf(attempt.requestID, 700*time.Millisecond)
	r.endpoints = append(r.endpoints, next)
	r.waitForEndpoint(r.dial(), 100, next) // it is used under its own name
}

// expectNoAttemptOf checks that no endpoint gets an attempt of a request within a time. It answers those of others.
func (r *testRouter) expectNoAttemptOf(requestID string, within time.Duration) {
	r.t.Helper()
	for end := time.After(within); ; {
		select {
		case message := <-r.messages:
			if message.kind == attemptMessage && message.requestID == requestID {
				r.t.Errorf("%s got an attempt for %s", message.endpoint.id, message.requestID)
			}
		case <-end:
			return
		}
	}
}
