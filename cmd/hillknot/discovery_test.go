package main

import (
	"io"
	"syscall"
	"testing"
)

// An event that arrives truncated, or is missing between two others, is requested again. Otherwise a drain in it would be lost
// for good, because the next event moves the position on.
func TestDamagedOrMissingEventIsRequestedAgain(t *testing.T) {
	const empty = "id: 3\ndata: {\"pos\":3,\"hosts\":{\"instances\":[]}}\n\n"
	for name, sendDamaged := range map[string]func(watchStream){
		"cut":     func(w watchStream) { w.write("id: 2\ndata: {\"pos\":2,\"hosts\":{\"inst\n\n" + empty) },
		"missing": func(w watchStream) { w.write(empty) },
	} {
		t.Run(name, func(t *testing.T) {
			r := newTestRouter(t, 2).start()
			sendDamaged(r.acceptWatch("1"))
			watch := r.acceptWatch("1")
			watch.sendEndpoints(2, false, r.endpoints[0].listEntry("draining"))
			watch.sendEndpoints(3, false)
			r.expectFirstEndpointDrained(watch, 1)
		})
	}
}

// An event that can't be read the second time either is skipped with an error in the log, and the next event is applied.
func TestUnreadableEventIsSkipped(t *testing.T) {
	r := newTestRouter(t, 2).start()
	const unreadable = "id: 2\ndata: {\"pos\":2,\"hosts\":{\"instances\":[{\"instanceId\":\"s-9\",\"lifecycle\":\"odd\"}]}}\n\n"
	r.acceptWatch("1").write(unreadable)
	watch := r.acceptWatch("1")
	watch.write(unreadable)
	watch.sendEndpoints(3, false, r.endpoints[0].listEntry("draining"))
	r.expectFirstEndpointDrained(watch, 1)
}

// If a watch is silent before its first event, the router opens another watch and gets the events from that one.
func TestSilentWatchIsReplaced(t *testing.T) {
	r := newTestRouter(t, 2).start()
	r.acceptWatch("1") // sends nothing, and its connection stays open
	watch := r.acceptWatch("1")
	watch.sendEndpoints(2, false, r.endpoints[0].listEntry("draining"))
	watch.sendEndpoints(3, false)
	r.expectFirstEndpointDrained(watch, 1)
}

// Discovery is down when the router starts, and sends a drain right after it returns. The router applies it.
func TestDrainIsAppliedWhenDiscoveryReturns(t *testing.T) {
	r := newTestRouter(t, 2)
	address := r.discovery.Addr().String()
	r.discovery.Close()
	r.start()
	client := r.dial()
	r.serveOne(client, 1, "page") // the router serves while discovery is down
	watch := r.restartDiscovery(address)
	watch.sendEndpoints(2, false, r.endpoints[0].listEntry("draining"))
	watch.sendEndpoints(3, false)
	r.expectFirstEndpointDrained(watch, 2)
}

// A reload moves the router to another discovery service while the old stream still delivers events. The router applies only
// the events of the new service.
func TestOldStreamIsIgnoredAfterReload(t *testing.T) {
	r := newTestRouter(t, 2).start()
	old := r.acceptWatch("1")
	moved := listen(t)
	go r.serveWatches(moved)
	r.configure(moved.Addr().String(), "journal")
	r.writeConfig()
	r.signals <- syscall.SIGHUP
	watch := r.acceptWatch("1")
	watch.sendEndpoints(2, false, r.endpoints[0].listEntry("draining"))
	watch.sendEndpoints(3, false)
	const stale = "id: 2\ndata: {\"pos\":2,\"hosts\":{\"instances\":[]}}\n\nid: 4\n"
	_, _ = io.WriteString(old, stale) // fails if the router has closed the old stream
	r.expectFirstEndpointDrained(watch, 1)
}

// An endpoint that is missing from a new complete list is removed. It gets no more requests, neither on open connections nor as
// the source of another endpoint.
func TestRemovedEndpointGetsNoRequests(t *testing.T) {
	r := newTestRouter(t, 2).start()
	watch := r.acceptWatch("1")
	watch.sendEndpoints(2, true, r.endpoints[1].listEntry("ready"))
	watch.sendEndpoints(3, false)
	r.expectFirstEndpointDrained(watch, 1)
}

// An endpoint begins to drain while a request that was assigned to it waits for a connection. The router does not write the
// request to it, and sends it to another endpoint.
func TestDrainBeforeWriteMovesRequestToAnotherEndpoint(t *testing.T) {
	r := newTestRouter(t, 1)
	release := r.endpoints[0].holdConnections()
	defer release()
	r.start()
	watch := r.acceptWatch("1")
	client := r.dial()
	client.request(1, "page", nil)
	client.expectReady(9) // the request has been assigned to the endpoint
	next := r.newEndpoint("s-next")
	r.endpoints = append(r.endpoints, next)
	watch.sendEndpoints(2, false, r.endpoints[0].listEntry("draining"), next.listEntry("ready"))
	probe := r.dial()
	for id := 2; r.probe(probe, id) == nil; id++ { // until the router has the list; before, the probe is rejected at its deadline
	}
	release()
	attempt := r.nextAttempt() // nothing was written on the connection that came up late
	if attempt.endpoint != next || attempt.requestID != "0000000000000001" {
		t.Errorf("%s got an attempt for %s", attempt.endpoint.id, attempt.requestID)
	}
	attempt.serve("u")
	client.expect(1, "u")
}

// waitForEndpoint sends requests until one reaches endpoint, which the latest event added. The router has then applied all
// events up to that one.
func (r *testRouter) waitForEndpoint(client *testClient, id int, endpoint *fakeEndpoint) {
	r.t.Helper()
	for ; ; id++ {
		attempt := r.serveOne(client, id, "page")
		if attempt.endpoint == endpoint {
			return
		}
	}
}

// expectFirstEndpointDrained checks that the router has applied an event that drains or removes the first endpoint: none of many
// requests reaches that endpoint. The event at position 3 must have been sent.
func (r *testRouter) expectFirstEndpointDrained(watch watchStream, id int) {
	r.t.Helper()
	late := r.newEndpoint("late")
	r.endpoints = append(r.endpoints, late)
	watch.sendEndpoints(4, false, late.listEntry("ready"))
	client := r.dial()
	r.waitForEndpoint(client, id, late)
	for id += 100; id < 120; id++ {
		attempt := r.serveOne(client, id, "page")
		if attempt.endpoint == r.endpoints[0] {
			r.t.Errorf("the drained endpoint got an attempt for %s", attempt.requestID)
		}
	}
}
