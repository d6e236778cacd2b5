package balancer

import (
	"testing"
	"time"
)

// A crashed cache is left after a few failures, though the list still names it (a late list), is tried about
// once a second, and gets its work back when it answers.
func TestCrashedCacheIsProbedAndRecovers(t *testing.T) {
	r := newRig(t, site(), fleetList())
	r.failUntilEjected(1, ConnectFailed)
	for o := range uint64(40) {
		if g := r.request("page", o); g.Endpoint == 1 {
			t.Fatalf("sent to the dead cache")
		} else {
			r.finish(g, 0, OK, Hit)
		}
	}
	r.now += 5 * sec
	trials := 0
	for o := range uint64(40) {
		g := r.request("page", o)
		if g.Endpoint == 1 {
			trials++
			r.now += ms
			r.finish(g, 0, OK, Filled)
			break
		}
		r.finish(g, 0, OK, Hit)
	}
	m := r.balancer.endpoints.byID[1]
	if trials != 1 || m.health.ejected {
		t.Errorf("%d trials, back as %+v", trials, m)
	}
}

// With all caches of the zone lost, requests pass them by, within the link; when the caches are
// back the ordinary path is too.
func TestZoneLostAndBack(t *testing.T) {
	r := newRig(t, site(), fleetList())
	gone := fleetList()[:3]
	for i := range gone {
		gone[i].State = Removed
	}
	r.handle(EndpointUpdate{Endpoints: gone})
	passed := 0
	for o := range uint64(100) {
		if g := r.request("page", o); g.Endpoint >= 11 && g.Source == 20 {
			passed++
		} else if g.Endpoint != 0 {
			t.Fatalf("%+v", g)
		}
	}
	if passed == 0 || float64(passed) > defaultLimit*cheapAllowance+1 {
		t.Errorf("%d passed the caches by", passed)
	}
	r.now += 60 * sec
	back := fleetList()[:3]
	for i := range back {
		back[i].StartedAt = r.now - 30*sec
	}
	r.handle(EndpointUpdate{Endpoints: back})
	r.balancer.link.inFlight = 0
	if g := r.request("page", 500); g.Endpoint < 1 || g.Endpoint > 3 {
		t.Errorf("after the return: %+v", g)
	}
}

// A rolling deploy: nothing for what drains, a rising part for its successor.
func TestRollingDeploy(t *testing.T) {
	r := newRig(t, site(), fleetList())
	for o := range uint64(100) { // some usual load
		r.now += 100 * ms
		r.finish(r.request("page", o), 0, OK, Hit)
	}
	old, fresh := listedEndpoint(1, "box", "edge"), listedEndpoint(4, "box", "edge")
	old.State, fresh.StartedAt = Draining, r.now
	r.handle(EndpointUpdate{Endpoints: []Endpoint{old, fresh}})
	part := func() (n int) {
		for o := range uint64(200) {
			r.now += 5 * ms
			g := r.request("page", o)
			if g.Endpoint == 1 {
				t.Fatalf("sent to what drains")
			}
			if g.Endpoint == 4 {
				n++
			}
			r.finish(g, 0, OK, Hit)
		}
		return n
	}
	early := part()
	r.now += 20 * sec
	if late := part(); early >= late/2 || late < 40 {
		t.Errorf("the successor got %d of 200 at first, %d when warm", early, late)
	}
}

// A scan washes nothing out: what is seen once stays at the lowest rank.
func TestScanDoesNotEvictPopularObjects(t *testing.T) {
	r := newRig(t, site(), fleetList())
	for n, want := range []int{1, 2, 2} {
		g := r.request("page", 5)
		if g.CachePriority != want {
			t.Errorf("request %d: rank %d, want %d", n, g.CachePriority, want)
		}
		r.finish(g, 0, OK, Hit)
	}
}

// Two at once: a cache is dead and so is a home; the request still gets away.
func TestTwoFaultsAtOnce(t *testing.T) {
	r := newRig(t, site(), fleetList())
	home := r.request("page", 5)
	r.finish(home, 0, OK, Filled)
	r.failUntilEjected(home.Endpoint, Reset)
	h := r.balancer.endpoints.byID[home.Source]
	h.health.ejected, h.health.nextProbe = true, r.now+time.Minute
	g := r.request("page", 5)
	if g.Endpoint == home.Endpoint || g.Source == home.Source || g.Endpoint == 0 {
		t.Errorf("%+v, the lost are %d and %d", g, home.Endpoint, home.Source)
	}
}

// While the living caches are full, requests wait rather than run into the dead one.
func TestEjectedCacheTakesNoOverflow(t *testing.T) {
	s := site()
	s.Capabilities.DirectAttempts = false
	r := newRig(t, s, fleetList())
	r.failUntilEjected(1, ConnectFailed)
	r.balancer.endpoints.byID[2].concurrencyLimit, r.balancer.endpoints.byID[3].concurrencyLimit = 0, 0
	for o := range uint64(30) {
		if g := r.request("page", o); g.Endpoint != 0 {
			t.Fatalf("%+v", g)
		}
	}
}

// A lost hub: the parents left take the fills at once; those that return get a part that rises.
func TestHubLostAndBack(t *testing.T) {
	r := newRig(t, site(), fleetList())
	for o := range uint64(200) { // some usual load of fills
		r.now += 50 * ms
		r.finish(r.request("page", o), 0, OK, Filled)
	}
	lost := []Endpoint{listedEndpoint(11, "mid", "hub"), listedEndpoint(12, "mid", "hub")}
	for i := range lost {
		lost[i].State = Removed
	}
	r.handle(EndpointUpdate{Endpoints: lost})
	part := func() (n int) {
		for o := range uint64(200) {
			r.now += 5 * ms
			g := r.request("page", 1000+o)
			if g.Source == 11 || g.Source == 12 {
				n++
			}
			r.finish(g, 0, OK, Hit)
		}
		return n
	}
	if n := part(); n != 0 {
		t.Errorf("%d fills named a lost parent", n)
	}
	for i := range lost {
		lost[i].State, lost[i].StartedAt = InService, r.now
	}
	r.handle(EndpointUpdate{Endpoints: lost})
	early := part()
	r.now += 20 * sec
	if late := part(); early >= late/2 || late < 80 {
		t.Errorf("the returned parents were named by %d of 200 at first, by %d when warm", early, late)
	}
}
