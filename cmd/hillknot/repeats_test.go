package main

import (
	"fmt"
	"net"
	"strconv"
	"testing"
	"time"
)

// keyedRouter is a router whose clients send keyed requests, and whose parent and origin accept attempts of its own.
type keyedRouter struct {
	*testRouter
	cache, parent *fakeEndpoint
}

// entryIn returns the list entry of an endpoint of a machine type in a zone and a cell.
func (e *fakeEndpoint) entryIn(machineType, zone string, cell int, lifecycle string) jsonMap {
	entry := e.listEntry(lifecycle)
	entry["machineType"], entry["zone"], entry["cell"] = machineType, zone, cell
	return entry
}

// newKeyedRouter returns a router with a page cache in zone e, cell 1, a parent with the given place, and an origin elsewhere.
// The requests of its class "part" are keyed; page caches of one group drop repeats. The router is not started yet.
func newKeyedRouter(t *testing.T, group, parentZone string, parentCell int) *keyedRouter {
	t.Helper()
	r := &keyedRouter{testRouter: newTestRouter(t, 1)}
	origin := r.newEndpoint("o-0")
	r.cache, r.parent = r.endpoints[0], r.newEndpoint("p-0")
	r.endpoints = append(r.endpoints, r.parent, origin)
	hosts := []jsonMap{
		r.cache.entryIn("box", "e", 1, "ready"),
		r.parent.entryIn("mid", parentZone, parentCell, "ready"),
		origin.entryIn("store", "hub", 9, "ready"),
	}
	r.configure(jsonMap{"pos": 1, "entries": []jsonMap{{"pos": 1, "hosts": jsonMap{"reset": true, "instances": hosts}}}}, "known")
	r.configure([]string{"box", "store", "mid"}, "settings", "hostTypes")
	settings := r.config["settings"].(jsonMap)
	settings["hostTypes"] = []string{"box", "store", "mid"}
	settings["profiles"] = append(settings["profiles"].([]jsonMap), jsonMap{
		"name":       "part",
		"repeat":     "keyed",
		"group":      group,
		"windowUs":   5000 * millisecond, // longer than any request waits
		"promiseUs":  500 * millisecond,
		"deadlineUs": 3000 * millisecond,
		"worth":      1,
	})
	settings["specifics"] = jsonMap{
		"instancesByZone": []int{0, 1},
		"midKind":         2,
		"storeKind":       1,
		"classWrite":      []bool{false, true, true, false},
		"passThroughOk":   true,
	}
	return r
}

// startWithAttempt starts the router and sends a keyed request, whose first attempt it returns.
func (r *keyedRouter) startWithAttempt() (*testClient, endpointMessage) {
	r.t.Helper()
	r.start()
	client := r.dial()
	client.request(1, "part", map[string]string{"unique": keyOfRequest})
	return client, r.nextAttempt()
}

// keyOfRequest is the idempotency key of the keyed request.
const keyOfRequest = "7a"

// drainCache lists the page cache as draining, and waits until requests go to the parent.
func (r *keyedRouter) drainCache() {
	r.t.Helper()
	r.acceptWatch("1").sendEndpoints(2, false, r.cache.entryIn("box", "e", 1, "draining"))
	r.waitForEndpoint(r.dial(), 100, r.parent)
}

// resetConnection resets the connection on which an endpoint got an attempt.
func resetConnection(a endpointMessage) {
	_ = a.conn.(*net.TCPConn).SetLinger(0) // fails only if the connection is closed
	a.conn.Close()
}

// A keyed request that a page cache has begun must not run again at a parent or the origin outside the cache's group when no
// page cache is left (review, case 2). The client is told once, and in time, that it may have run. Where the request surely
// never ran, or the parent drops repeats too, the router still sends it on.
func TestKeyedRequestIsRepeatedOnlyInItsGroup(t *testing.T) {
	for _, test := range []struct {
		name, group string
		parentZone  string
		parentCell  int
		end         func(endpointMessage) // how the attempt at the page cache ends
		repeated    bool
	}{
		{"cell, reset", "cell", "hub", 9, resetConnection, false},
		{"cell, failed", "cell", "hub", 9, endpointMessage.fail, false},
		{"cell, parent in another cell of the zone", "cell", "e", 2, resetConnection, false},
		{"zone, reset", "zone", "hub", 1, resetConnection, false},
		{"cell, never ran", "cell", "hub", 9, func(a endpointMessage) { a.reply("LACK - 0\r\n\r\n") }, true},
		{"cell, parent in the cell", "cell", "e", 1, resetConnection, true},
		{"zone, parent in the zone", "zone", "e", 2, resetConnection, true},
		{"all", "all", "hub", 9, resetConnection, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newKeyedRouter(t, test.group, test.parentZone, test.parentCell)
			client, first := r.startWithAttempt()
			if first.endpoint != r.cache {
				t.Fatalf("the first attempt went to %s, want the page cache", first.endpoint.id)
			}
			r.drainCache()
			test.end(first)
			if !test.repeated {
				client.expect(1, "Failed")
				r.expectNoAttempt("after the request may have run")
				return
			}
			repeat := r.nextAttempt()
			if repeat.endpoint != r.parent || repeat.requestID != first.requestID || repeat.fields["token"] != keyOfRequest {
				t.Errorf("the repeat is %+v, want the same request at the parent", repeat)
			}
			repeat.serve("x")
			client.expect(1, "x")
		})
	}
}

// A page cache is listed in another cell while it works on a keyed request. The page caches of that cell do not know the
// request, so it must not run again there; one of the cell in which it was sent drops the repeat.
func TestKeyedRequestIsRepeatedInTheCellOfItsSend(t *testing.T) {
	for _, test := range []struct {
		name     string
		cell     int // of the page cache that joins
		repeated bool
	}{
		{"another cache in the new cell", 2, false},
		{"another cache in the old cell", 1, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newKeyedRouter(t, "cell", "hub", 9)
			client, first := r.startWithAttempt()
			joins := r.newEndpoint("s-1")
			r.endpoints = append(r.endpoints, joins)
			r.acceptWatch("1").sendEndpoints(2, false, r.cache.entryIn("box", "e", 2, "ready"), joins.entryIn("box", "e", test.cell, "ready"))
			r.waitForEndpoint(r.dial(), 100, joins)
			resetConnection(first)
			if !test.repeated {
				client.expect(1, "Failed")
				r.expectNoAttempt("after the page cache has moved")
				return
			}
			repeat := r.nextAttempt()
			if repeat.endpoint != joins || repeat.requestID != first.requestID {
				t.Errorf("the repeat is %+v, want the same request at %s", repeat, joins.id)
			}
			repeat.serve("x")
			client.expect(1, "x")
		})
	}
}

// probe sends a request with little time and returns the endpoint that got it, or nil if it waited for a connection until the
// client's time was over.
func (r *testRouter) probe(client *testClient, id int) *fakeEndpoint {
	r.t.Helper()
	const limit = 60 * time.Millisecond
	client.request(id, "page", map[string]string{"limit": strconv.Itoa(int(limit.Milliseconds()))})
	attempt, ok := r.attemptWithin(limit, id)
	if ok {
		attempt.serve("v")
	}
	answer, err := client.read() // on a slow machine the endpoint's answer may come too late
	if err != nil || answer.id != id || answer.content() != "v" && answer.content() != "Throttled" {
		r.t.Fatalf("answer to probe %d: %+v, error %v", id, answer, err)
	}
	return attempt.endpoint
}

// attemptWithin returns the next attempt of a request, if one comes in time. It skips all other messages.
func (r *testRouter) attemptWithin(limit time.Duration, id int) (attempt endpointMessage, ok bool) {
	for end := time.After(limit); ; {
		select {
		case message := <-r.messages:
			if message.kind == attemptMessage && message.requestID == fmt.Sprintf("%016x", id) {
				return message, true
			}
		case <-end:
			return endpointMessage{}, false
		}
	}
}

// A repeat has been decided for a page cache of the cell, which is listed in another cell before its connection comes up. Nothing
// is written to it then.
func TestKeyedRequestIsNotWrittenAfterAMove(t *testing.T) {
	r := newKeyedRouter(t, "cell", "hub", 9)
	client, first := r.startWithAttempt()
	moves := r.newEndpoint("s-1")
	release := moves.holdConnections()
	defer release()
	stays := r.newEndpoint("s-2")
	r.endpoints = append(r.endpoints, moves, stays)
	watch := r.acceptWatch("1")
	watch.sendEndpoints(2, false, moves.entryIn("box", "e", 1, "ready"), r.cache.entryIn("box", "e", 1, "draining"))
	probe := r.dial()
	for id := 100; r.probe(probe, id) != nil; id++ { // until requests wait for a connection to the page cache that will move
	}
	resetConnection(first)
	client.expectReady(9) // the repeat has been decided
	watch.sendEndpoints(3, false, moves.entryIn("box", "e", 2, "ready"), stays.entryIn("box", "e", 2, "ready"))
	for id := 200; r.probe(probe, id) != stays; id++ { // until the router has applied the move
	}
	release()
	client.expect(1, "Failed")
	r.expectNoAttempt("after the page cache has moved")
}
