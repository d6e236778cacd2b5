package balancer

import "testing"

func TestFillIsReplicatedToSecondHome(t *testing.T) {
	r := newRig(t, site(), fleetList())
	g := r.request("page", 5)
	r.finish(g, 0, OK, Filled)
	r.now += replicationInterval / 2
	if early := r.request("page", 5); early.Source != g.Source {
		t.Errorf("warmed before the interval was over")
	} else {
		r.finish(early, 0, OK, Hit)
	}
	r.now += replicationInterval
	warm := r.request("page", 5)
	if warm.Source == g.Source || warm.Source < 11 || warm.Source > 13 {
		t.Errorf("source %d after the interval, home is %d", warm.Source, g.Source)
	}
	r.finish(warm, 0, OK, Filled)
	if again := r.request("page", 5); again.Source != g.Source {
		t.Errorf("the copy did not start the interval anew")
	}
}

// Only what the home holds is copied: a fill that went through to the origin warms nobody.
func TestNoReplicationOfWhatTheHomeLacks(t *testing.T) {
	r := newRig(t, site(), fleetList())
	g := r.request("page", 5)
	r.finish(g, 0, OK, FilledByOrigin)
	r.now += 2 * replicationInterval
	if g2 := r.request("page", 5); g2.Source != g.Source {
		t.Errorf("source %d, want the home %d", g2.Source, g.Source)
	}
}

func TestWithoutParentsTheOriginFills(t *testing.T) {
	r := newRig(t, site(), append(fleetList()[:3:3], listedEndpoint(20, "store", "hub")))
	if g := r.request("page", 5); g.Source != 20 || g.Endpoint > 3 {
		t.Errorf("%+v", g)
	}
}

func TestDrainingEndpointsGetNothing(t *testing.T) {
	r := newRig(t, site(), fleetList())
	for _, id := range []EndpointID{1, 11} {
		kind, zone := "box", "edge"
		if id == 11 {
			kind, zone = "mid", "hub"
		}
		r.handle(EndpointUpdate{Endpoints: []Endpoint{{ID: id, Kind: kind, Zone: zone, State: Draining}}})
	}
	for o := uint64(0); o < 60; o++ {
		g := r.request("page", o)
		if g.Endpoint == 1 || g.Source == 11 || g.Endpoint == 0 {
			t.Fatalf("%+v", g)
		}
		r.finish(g, 0, OK, Hit)
	}
}

// A repeat goes only to a cache of the group that drops it, also of a class that is read: another group would run
// it again.
func TestRetryStaysInDedupScope(t *testing.T) {
	set, list := site(), fleetList()
	set.Classes = append(set.Classes, Class{Name: "read", LatencyObjective: 600 * ms, Deadline: 3 * sec,
		Idempotency: IdempotentByKey, DedupWindow: 2 * sec})
	for i := range list {
		list[i].Cell = i % 2 // the caches of the location are in cells 0, 1 and 0
	}
	for object := range uint64(40) {
		r := newRig(t, set, list)
		g := r.request("read", object)
		for _, again := range sentAttempts(r.finish(g, 0, Reset, NoDetail)) {
			if r.balancer.endpoints.byID[again.Endpoint].cell != r.balancer.endpoints.byID[g.Endpoint].cell {
				t.Errorf("object %d: first at cell %d, then at another", object, r.balancer.endpoints.byID[g.Endpoint].cell)
			}
		}
	}
}
