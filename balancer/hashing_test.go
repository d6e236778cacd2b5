package balancer

import (
	"fmt"
	"testing"
)

// Routers of all versions must choose the same endpoints for an object.
func TestHashedEndpointsArePinned(t *testing.T) {
	r := newRig(t, testSettings(), testEndpoints())
	got := ""
	for o := uint64(1); o <= 12; o++ {
		send := r.request("page", o)
		q := &request{Request: Request{Object: o}}
		_, secondHome := r.balancer.homeParents(q)
		got += fmt.Sprintf("%d<%d,%d ", send.Endpoint, send.Source, secondHome.id)
		r.finish(send, 0, OK, Hit)
	}
	const want = "1<13,12 1<13,12 1<11,13 3<11,12 3<11,12 3<11,12 2<13,12 1<11,12 1<11,12 3<11,13 3<13,11 3<12,13 "
	if got != want {
		t.Errorf("got  %q\nwant %q", got, want)
	}
}

func TestHomeIsTheSameInAllZones(t *testing.T) {
	s := testSettings()
	s.Topology.Zones = append(s.Topology.Zones, "elsewhere")
	a := newRig(t, s, testEndpoints())
	s.Topology.Zone = "elsewhere"
	b := newRig(t, s, testEndpoints())
	for o := uint64(1); o < 50; o++ {
		sendA, sendB := a.request("page", o), b.request("page", o)
		if sendA.Source != sendB.Source || sendB.Endpoint != 9 || sendA.Endpoint == 9 {
			t.Fatalf("object %d: attempts %+v and %+v", o, sendA, sendB)
		}
		a.finish(sendA, 0, OK, Hit)
		b.finish(sendB, 0, OK, Hit)
	}
}

func TestRangeRisesAfterStart(t *testing.T) {
	list := testEndpoints()
	list[0].StartedAt = 100*sec - rangeRampTime/2
	r := newRig(t, testSettings(), list)
	inRange, served := 0, 0
	for o := uint64(0); o < 400; o++ {
		key := mix(o)
		e := r.balancer.endpoints.byID[1]
		q := &request{Request: Request{Object: o}, class: newClass(Class{})}
		next := r.balancer.pick(q, key, r.balancer.endpoints.caches, saltCache, e)
		if next != nil && r.balancer.score(key, e, saltCache) > r.balancer.score(key, next, saltCache) {
			inRange++
			if r.balancer.servesKey(key, e) {
				served++
			}
		}
	}
	if fraction := float64(served) / float64(inRange); fraction < 0.35 || fraction > 0.65 {
		t.Errorf("half-way through rangeRampTime it serves %.2f of its range", fraction)
	}
}

// Requests for a hot object spill over to the cache with the next score before its own cache has many more attempts in
// flight than the others.
func TestHotObjectSpillsOver(t *testing.T) {
	r := newRig(t, testSettings(), testEndpoints())
	attempts := map[EndpointID]int{}
	for range 9 {
		attempts[r.request("page", 5).Endpoint]++
	}
	if len(attempts) < 2 {
		t.Errorf("all attempts went to one cache: %v", attempts)
	}
}
