package balancer

import "testing"

func TestFillIsReplicatedToSecondHome(t *testing.T) {
	r := newRig(t, testSettings(), testEndpoints())
	send := r.request("page", 5)
	r.finish(send, 0, OK, Filled)
	r.now += replicationInterval / 2
	if early := r.request("page", 5); early.Source != send.Source {
		t.Errorf("a fill went to another source before the replication interval was over")
	} else {
		r.finish(early, 0, OK, Hit)
	}
	r.now += replicationInterval
	replicating := r.request("page", 5)
	if replicating.Source == send.Source || replicating.Source < 11 || replicating.Source > 13 {
		t.Errorf("source %d after the interval, want another parent than the home %d", replicating.Source, send.Source)
	}
	r.finish(replicating, 0, OK, Filled)
	if again := r.request("page", 5); again.Source != send.Source {
		t.Errorf("the replicating fill did not restart the interval")
	}
}

// Only objects that the home has cached are replicated to the second home, not those that it had to get from the origin.
func TestNoReplicationOfObjectsTheHomeLacks(t *testing.T) {
	r := newRig(t, testSettings(), testEndpoints())
	send := r.request("page", 5)
	r.finish(send, 0, OK, FilledByOrigin)
	r.now += 2 * replicationInterval
	if later := r.request("page", 5); later.Source != send.Source {
		t.Errorf("source %d, want the home %d", later.Source, send.Source)
	}
}

func TestOriginFillsWithoutParents(t *testing.T) {
	r := newRig(t, testSettings(), append(testEndpoints()[:3:3], listedEndpoint(20, "store", "hub")))
	if send := r.request("page", 5); send.Source != 20 || send.Endpoint > 3 {
		t.Errorf("attempt %+v, want a cache with the origin as its source", send)
	}
}

func TestDrainingEndpointsGetNoAttempts(t *testing.T) {
	r := newRig(t, testSettings(), testEndpoints())
	for _, id := range []EndpointID{1, 11} {
		kind, zone := "box", "edge"
		if id == 11 {
			kind, zone = "mid", "hub"
		}
		r.handle(EndpointUpdate{Endpoints: []Endpoint{{ID: id, Kind: kind, Zone: zone, State: Draining}}})
	}
	for o := uint64(0); o < 60; o++ {
		send := r.request("page", o)
		if send.Endpoint == 1 || send.Source == 11 || send.Endpoint == 0 {
			t.Fatalf("attempt %+v while 1 and 11 are draining", send)
		}
		r.finish(send, 0, OK, Hit)
	}
}

// A retry of a request with an idempotency key goes only to a cache of the same deduplication scope, also for a class of
// reads. A cache of another scope would run it again.
func TestRetryStaysInDedupScope(t *testing.T) {
	settings, list := testSettings(), testEndpoints()
	settings.Classes = append(settings.Classes, Class{Name: "read", LatencyObjective: 600 * ms, Deadline: 3 * sec,
		Idempotency: IdempotentByKey, DedupWindow: 2 * sec})
	for i := range list {
		list[i].Cell = i % 2 // the caches of the zone are in cells 0, 1 and 0
	}
	for object := range uint64(40) {
		r := newRig(t, settings, list)
		send := r.request("read", object)
		for _, retry := range sentAttempts(r.finish(send, 0, Reset, NoDetail)) {
			if r.balancer.endpoints.byID[retry.Endpoint].placement.Cell != r.balancer.endpoints.byID[send.Endpoint].placement.Cell {
				t.Errorf("object %d: first attempt in cell %d, retry in another", object,
					r.balancer.endpoints.byID[send.Endpoint].placement.Cell)
			}
		}
	}
}
