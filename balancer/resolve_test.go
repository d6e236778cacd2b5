package balancer

import (
	"reflect"
	"testing"
)

// named returns the endpoints that a resolver is told, and whether it was rejected.
func (r *rig) resolve(ev Resolve) (nodes []EndpointID, refused bool) {
	for _, a := range r.handle(ev) {
		switch a := a.(type) {
		case ResolveAnswer:
			nodes = a.Endpoints
		case Reject:
			refused = true
		}
	}
	return nodes, refused
}

// Resolvers' answers follow the rules of requests: the same hash, no other zone, nobody who drains.
func TestResolve(t *testing.T) {
	r := newRig(t, site(), fleetList())
	seen := map[EndpointID]int{}
	for key := range uint64(60) {
		first, _ := r.resolve(Resolve{ID: 1, Key: key, MaxEndpoints: 2, Load: 0.01, TTL: sec})
		again, _ := r.resolve(Resolve{ID: 2, Key: key, MaxEndpoints: 2, Load: 0.01, TTL: sec})
		if len(first) != 2 || first[0] == first[1] || !reflect.DeepEqual(first, again) {
			t.Fatalf("key %d: %v, then %v", key, first, again)
		}
		seen[first[0]]++
	}
	if len(seen) != 3 || seen[9] > 0 || seen[11] > 0 {
		t.Errorf("named %v, want the three caches of the own location", seen)
	}
	drained := listedEndpoint(2, "box", "edge")
	drained.State = Draining
	r.handle(EndpointUpdate{Endpoints: []Endpoint{drained}})
	for key := range uint64(60) {
		if got, _ := r.resolve(Resolve{ID: 3, Key: key, MaxEndpoints: 3}); len(got) != 2 || got[0] == 2 || got[1] == 2 {
			t.Errorf("key %d: %v after 2 drains", key, got)
		}
	}
	if got, refused := r.resolve(Resolve{ID: 4, MaxEndpoints: 1, OnlyEndpoint: 2}); got != nil || refused {
		t.Errorf("only the drained one: %v, refused %v; want none", got, refused)
	}
}

// A resolver's load stands for as long as it may keep the answer: a cold cache is named to a few only, and to
// more once they let go of it.
func TestResolveKeepsSlowStartBudget(t *testing.T) {
	start := listedEndpoint(1, "box", "edge")
	r := newRig(t, site(), []Endpoint{start, listedEndpoint(11, "mid", "hub"), listedEndpoint(20, "store", "hub")})
	for range 50 { // a usual load, while it is warm
		r.finish(r.request("page", 7), 0, OK, Hit)
		r.now += 20 * ms
	}
	start.StartedAt = r.now
	r.handle(EndpointUpdate{Endpoints: []Endpoint{start}})
	ask := func() (told int) {
		for key := range uint64(200) {
			if nodes, _ := r.resolve(Resolve{ID: 5, Key: key, MaxEndpoints: 1, Load: 0.01, TTL: 3 * sec}); nodes != nil {
				told++
			}
		}
		return told
	}
	first := ask()
	if second := ask(); first == 0 || first > 100 || second != 0 {
		t.Errorf("%d resolvers of 200 were told of a cold cache, then %d more", first, second)
	}
	r.now += 4 * sec
	if later := ask(); later < first {
		t.Errorf("%d resolvers were told after the first let go, %d at first", later, first)
	}
	if _, refused := r.resolve(Resolve{ID: 6, MaxEndpoints: 1, Load: 0.01, TTL: sec}); !refused {
		t.Error("no refusal with the budget used up")
	}
}
