package main

import (
	"io"
	"syscall"
	"testing"
	"time"
)

// An event that comes cut, and one that is missing between two others, are requested again: a drain in it would be lost for
// good, as the next event moves the position on.
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

// An event that can't be read, not the second time either, is skipped with an error in the log, and the next one counts.
func TestUnreadableEventIsSkipped(t *testing.T) {
	r := newTestRouter(t, 2).start()
	const unreadable = "id: 2\ndata: {\"pos\":2,\"hosts\":{\"instances\":[{\"instanceId\":\"s-9\",\"lifecycle\":\"odd\"}]}}\n\n"
	r.acceptWatch("1").write(unreadable)
	watch := r.acceptWatch("1")
	watch.write(unreadable)
	watch.sendEndpoints(3, false, r.endpoints[0].listEntry("draining"))
	r.expectFirstEndpointDrained(watch, 1)
}

// A watch falls silent before its first event; the router opens another and hears the events there.
func TestSilentWatchIsReplaced(t *testing.T) {
	r := newTestRouter(t, 2).start()
	r.acceptWatch("1") // and nothing more, while the connection stays open
	watch := r.acceptWatch("1")
	watch.sendEndpoints(2, false, r.endpoints[0].listEntry("draining"))
	watch.sendEndpoints(3, false)
	r.expectFirstEndpointDrained(watch, 1)
}

// Discovery is down at the start, and sends a drain right after its return.
func TestDrainIsAppliedWhenDiscoveryReturns(t *testing.T) {
	r := newTestRouter(t, 2)
	address := r.discovery.Addr().String()
	r.discovery.Close()
	r.start()
	client := r.dial()
	r.serveOne(client, 1, "page") // it serves meanwhile
	watch := r.restartDiscovery(address)
	watch.sendEndpoints(2, false, r.endpoints[0].listEntry("draining"))
	watch.sendEndpoints(3, false)
	r.expectFirstEndpointDrained(watch, 2)
}

// A reload moves to another discovery service while the old stream still delivers: the events of the new one stand.
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
	_, _ = io.WriteString(old, stale) // fails if the router has ended it
	r.expectFirstEndpointDrained(watch, 1)
}

// An endpoint that a new list lacks has gone: it gets nothing more, neither on open connections nor as another endpoint's
// source.
func TestRemovedEndpointGetsNoRequests(t *testing.T) {
	r := newTestRouter(t, 2).start()
	watch := r.acceptWatch("1")
	watch.sendEndpoints(2, true, r.endpoints[1].listEntry("ready"))
	watch.sendEndpoints(3, false)
	r.expectFirstEndpointDrained(watch, 1)
}

// An endpoint begins to drain while a request that was decided for it waits for a connection: the request moves on unwritten.
func TestDrainBeforeWriteMovesRequestToAnotherEndpoint(t *testing.T) {
	r := newTestRouter(t, 1)
	release := r.endpoints[0].holdConnections()
	defer release()
	r.start()
	watch := r.acceptWatch("1")
	client := r.dial()
	client.request(1, "page", nil)
	client.expectReady(9) // it has been decided
	next := r.newEndpoint("s-next")
	r.endpoints = append(r.endpoints, next)
	watch.sendEndpoints(2, false, r.endpoints[0].listEntry("draining"), next.listEntry("ready"))
	probe := r.dial()
	for id, known := 2, false; !known; id++ { // until the list is known; before, it is rejected when its time is up
		probe.request(id, "page", map[string]string{"limit": "60"})
		probe.expectReady(1000 + id)
		select {
		case attempt := <-r.messages:
			attempt.serve("v")
			probe.expect(id, "v")
			known = true
		case <-time.After(10 * time.Millisecond):
			probe.expect(id, "Throttled")
		}
	}
	release()
	attempt := r.nextAttempt() // on the connection that came up late nothing was written
	if attempt.endpoint != next || attempt.requestID != "0000000000000001" {
		t.Errorf("%s is asked for %s", attempt.endpoint.id, attempt.requestID)
	}
	attempt.serve("u")
	client.expect(1, "u")
}

// waitForEndpoint sends requests until one reaches an endpoint that the latest event brought: so the router has taken all
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

// expectFirstEndpointDrained checks that the router follows an event that drains the first endpoint: of many requests none
// goes there. The event at position 3 must have been sent.
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
			r.t.Errorf("asked for %s while it drains", attempt.requestID)
		}
	}
}
