package balancer

import (
	"reflect"
	"testing"
)

// resolve returns the endpoints that a resolver is given, and reports whether it was rejected.
func (r *rig) resolve(ev Resolve) (named []EndpointID, rejected bool) {
	for _, a := range r.handle(ev) {
		switch a := a.(type) {
		case ResolveAnswer:
			named = a.Endpoints
		case Reject:
			rejected = true
		}
	}
	return named, rejected
}

// Answers to resolvers follow the rules of requests: they use the same hash and name no caches of other zones and no
// draining ones.
func TestResolveFollowsRulesOfRequests(t *testing.T) {
	r := newRig(t, testSettings(), testEndpoints())
	seen := map[EndpointID]int{}
	for key := range uint64(60) {
		first, _ := r.resolve(Resolve{ID: 1, Key: key, MaxEndpoints: 2, Load: 0.01, TTL: sec})
		again, _ := r.resolve(Resolve{ID: 2, Key: key, MaxEndpoints: 2, Load: 0.01, TTL: sec})
		if len(first) != 2 || first[0] == first[1] || !reflect.DeepEqual(first, again) {
			t.Fatalf("key %d: answers %v, then %v", key, first, again)
		}
		seen[first[0]]++
	}
	if len(seen) != 3 || seen[9] > 0 || seen[11] > 0 {
		t.Errorf("named %v, want the three caches of the router's zone", seen)
	}
	drained := listedEndpoint(2, "box", "edge")
	drained.State = Draining
	r.handle(EndpointUpdate{Endpoints: []Endpoint{drained}})
	for key := range uint64(60) {
		if got, _ := r.resolve(Resolve{ID: 3, Key: key, MaxEndpoints: 3}); len(got) != 2 || got[0] == 2 || got[1] == 2 {
			t.Errorf("key %d: answer %v while 2 is draining", key, got)
		}
	}
	if got, rejected := r.resolve(Resolve{ID: 4, MaxEndpoints: 1, OnlyEndpoint: 2}); got != nil || rejected {
		t.Errorf("only the draining cache: answer %v, rejected %v; want neither", got, rejected)
	}
}

// A resolver's load counts for as long as the resolver may keep the answer. So a cache in slow start is named to a few
// resolvers only, and to more once the first answers have expired.
func TestResolveKeepsSlowStartBudget(t *testing.T) {
	start := listedEndpoint(1, "box", "edge")
	r := newRig(t, testSettings(), []Endpoint{start, listedEndpoint(11, "mid", "hub"), listedEndpoint(20, "store", "hub")})
	for range 50 { // builds up a usual load while the cache is warmed up
		r.finish(r.request("page", 7), 0, OK, Hit)
		r.now += 20 * ms
	}
	start.StartedAt = r.now
	r.handle(EndpointUpdate{Endpoints: []Endpoint{start}})
	resolveAll := func() (answered int) {
		for key := range uint64(200) {
			if named, _ := r.resolve(Resolve{ID: 5, Key: key, MaxEndpoints: 1, Load: 0.01, TTL: 3 * sec}); named != nil {
				answered++
			}
		}
		return answered
	}
	first := resolveAll()
	if second := resolveAll(); first == 0 || first > 100 || second != 0 {
		t.Errorf("a cache in slow start was named to %d resolvers of 200, then to %d more", first, second)
	}
	r.now += 4 * sec
	if later := resolveAll(); later < first {
		t.Errorf("the cache was named to %d resolvers after the first answers expired, to %d at first", later, first)
	}
	if _, rejected := r.resolve(Resolve{ID: 6, MaxEndpoints: 1, Load: 0.01, TTL: sec}); !rejected {
		t.Error("a resolver was not rejected with the budget used up")
	}
}
