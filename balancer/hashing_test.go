package balancer

import (
	"fmt"
	"testing"
)

// Every router, of every version, must name the same nodes.
func TestHashIsPinned(t *testing.T) {
	r := newRig(t, site(), fleetList())
	got := ""
	for o := uint64(1); o <= 12; o++ {
		g := r.request("page", o)
		q := &request{Request: Request{Object: o}}
		_, second := r.balancer.homeParents(q)
		got += fmt.Sprintf("%d<%d,%d ", g.Endpoint, g.Source, second.id)
		r.finish(g, 0, OK, Hit)
	}
	const want = "1<13,12 1<13,12 1<11,13 3<11,12 3<11,12 3<11,12 2<13,12 1<11,12 1<11,12 3<11,13 3<13,11 3<12,13 "
	if got != want {
		t.Errorf("got  %q\nwant %q", got, want)
	}
}

func TestHomeIsTheSameInAllZones(t *testing.T) {
	s := site()
	s.Topology.Zones = append(s.Topology.Zones, "elsewhere")
	a := newRig(t, s, fleetList())
	s.Topology.Zone = "elsewhere"
	b := newRig(t, s, fleetList())
	for o := uint64(1); o < 50; o++ {
		ga, gb := a.request("page", o), b.request("page", o)
		if ga.Source != gb.Source || gb.Endpoint != 9 || ga.Endpoint == 9 {
			t.Fatalf("object %d: %+v and %+v", o, ga, gb)
		}
		a.finish(ga, 0, OK, Hit)
		b.finish(gb, 0, OK, Hit)
	}
}

func TestRangeRisesAfterStart(t *testing.T) {
	list := fleetList()
	list[0].StartedAt = 100*sec - rangeRampTime/2
	r := newRig(t, site(), list)
	all, mine := 0, 0
	for o := uint64(0); o < 400; o++ {
		key := mix(o)
		m := r.balancer.endpoints.byID[1]
		q := &request{Request: Request{Object: o}, class: newClass(Class{})}
		next := r.balancer.pick(q, key, r.balancer.endpoints.caches, saltCache, m)
		if next != nil && r.balancer.score(key, m, saltCache) > r.balancer.score(key, next, saltCache) {
			all++
			if r.balancer.servesKey(key, m) {
				mine++
			}
		}
	}
	if part := float64(mine) / float64(all); part < 0.35 || part > 0.65 {
		t.Errorf("half-way through it owns %.2f of its range", part)
	}
}

// A hot object spills to the next score before its cache is far above the others.
func TestHotObjectSpillsOver(t *testing.T) {
	r := newRig(t, site(), fleetList())
	at := map[EndpointID]int{}
	for range 9 {
		at[r.request("page", 5).Endpoint]++
	}
	if len(at) < 2 {
		t.Errorf("all attempts at %v", at)
	}
}
