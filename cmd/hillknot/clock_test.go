package main

import (
	"strconv"
	"testing"
	"time"
)

// clockSteps are steps of a wall clock: that of the router, or that of the machine whose timestamps the router reads. The router
// only sees the difference between the two clocks.
var clockSteps = []time.Duration{-time.Hour, -3 * time.Second, 3 * time.Second, time.Hour}

// A purge excludes all copies from before it, no matter how the wall clocks of the router and of discovery differ: the purge
// arrives now, so it is no older than the latest contact before it.
func TestPurgeIgnoresClockSteps(t *testing.T) {
	for _, step := range clockSteps {
		t.Run(step.String(), func(t *testing.T) { testPurgeWithClockStep(t, step) })
	}
}

func testPurgeWithClockStep(t *testing.T, step time.Duration) {
	r := newTestRouter(t, 2)
	r.configure(6000*millisecond, "settings", "specifics", "purgeTakesUs")
	r.start()
	watch := r.acceptWatch("1")
	watch.sendEndpoints(2, false)
	late := r.newEndpoint("late")
	const object = 9000
	contact := time.Now()
	watch.write(": here\n\n")
	time.Sleep(20 * time.Millisecond) // so that it is not read together with the events that follow
	watch.sendPurge(3, object, time.Now().Add(step))
	watch.sendEndpoints(4, false, late.listEntry("ready"))
	client := r.dial()
	r.waitForEndpoint(client, 1, late)
	client.request(object, "page", nil)
	attempt := r.nextAttempt()
	maxAge := attempt.fields["newer"]
	newer, err := strconv.Atoi(maxAge)
	if maxNewer := time.Since(contact).Milliseconds() + 1; err != nil || int64(newer) > maxNewer {
		t.Errorf("clocks %v apart: the attempt allows a copy of at most %q ms, want at most %d ms", step, maxAge, maxNewer)
	}
	attempt.serve("x")
	client.expect(object, "x")
}

// An endpoint that has just started is cold and warms up from then on, no matter how the wall clocks differ.
func TestWarmUpIgnoresClockSteps(t *testing.T) {
	for _, step := range append([]time.Duration{0}, clockSteps...) {
		t.Run(step.String(), func(t *testing.T) { testWarmUpWithClockStep(t, step) })
	}
}

func testWarmUpWithClockStep(t *testing.T, step time.Duration) {
	r := newTestRouter(t, 2)
	r.configure(jsonMap{
		"coldFrom":       0.1,
		"coldUs":         1500 * millisecond,
		"fallUs":         1000 * millisecond,
		"overloadFactor": 2,
	}, "settings", "invariants")
	r.start()
	watch := r.acceptWatch("1")
	client := r.dial()
	r.countRequestsAt(client, 1, 200, nil)
	late := r.newEndpoint("late")
	watch.write(": here\n\n")
	time.Sleep(20 * time.Millisecond)
	listedAt, host := time.Now(), late.listEntry("ready")
	host["startedAtMs"] = listedAt.Add(step).UnixMilli()
	watch.sendEndpoints(2, false, host)
	if n := r.countRequestsAt(client, 201, 200, late); n > 12 { // a warm page cache would get a third
		t.Errorf("clocks %v apart: %d of 200 requests went to a page cache that has just started", step, n)
	}
	time.Sleep(time.Until(listedAt.Add(2 * time.Second)))
	if n := r.countRequestsAt(client, 401, 200, late); n < 3 { // the page cache has a fifth of its range by now
		t.Errorf("clocks %v apart: %d of 200 requests went to a page cache that is warm", step, n)
	}
}

// countRequestsAt sends requests one after the other, with ids from id on, and returns how many of them reach endpoint.
func (r *testRouter) countRequestsAt(client *testClient, id, requests int, endpoint *fakeEndpoint) (n int) {
	r.t.Helper()
	for ; requests > 0; id, requests = id+1, requests-1 {
		attempt := r.serveOne(client, id, "page")
		if attempt.endpoint == endpoint {
			n++
		}
	}
	return n
}
