package balancer

import (
	"testing"
	"time"
)

// While the zone's link is half full, a client that asks again gets what its cache holds and no fill: its first
// try has used up the time, and the fill would make requests late that are still in time.
func TestClientRetryLeavesLinkToFirstAttempts(t *testing.T) {
	s := site()
	s.Capabilities.DirectAttempts, s.LinkKBps, s.StaticWeights = false, []float64{0, 4000}, true // the link fits 4 transfers
	list := fleetList()
	for i := range list {
		list[i].Weight = 20 // and the caches many
	}
	r := newRig(t, s, list)
	fills := func(again bool) (n int) {
		for range 30 {
			r.lastID++
			g := sentAttempts(r.handle(Request{ID: r.lastID, Class: "page", Object: uint64(r.lastID), Remaining: 3 * sec,
				SizeKB: 100, Retry: again}))
			if len(g) == 1 && g[0].Source != g[0].Endpoint {
				n++
			}
		}
		return n
	}
	again := fills(true)
	first := fills(false)
	if again == 0 || first < again/2 {
		t.Errorf("%d fills of those who ask again, then %d of first tries", again, first)
	}
	if more := fills(true); more != 0 {
		t.Errorf("%d fills of those who ask again on a full link", more)
	}
}

// A router that has run for a few seconds knows its usual load from these alone: a mean that counts the time before
// its start as idle would send a cold cache a third of what it may be sent, until it is warm.
func TestUsualLoadOfAYoungRouter(t *testing.T) {
	for _, age := range []time.Duration{3 * sec, 5 * sec, 60 * sec} {
		r := newRig(t, site(), fleetList())
		for until := r.now + age; r.now < until; r.now += 50 * ms {
			r.finish(r.request("page", uint64(r.lastID)), 0, OK, Hit)
		}
		if peak := r.balancer.classes.serviceTime(r.balancer.load[roleCache].peak); peak < 1.8 || peak > 2.4 { // 20 a second, 0.1 s each
			t.Errorf("after %v: %.2f s of sending a second, not 2", age, peak)
		}
	}
}

// What one router learns of the origin thins out as more of them share it: each counts a slow answer for more.
func TestOriginScoreFallsFasterWhereManyShareIt(t *testing.T) {
	trust := func(directors int) float64 {
		s := site()
		s.Topology.RoutersPerZone = []int{0, directors}
		r := newRig(t, s, fleetList())
		g := r.request("page", 1)
		r.now += 400 * ms
		r.handle(Outcome{ID: g.ID, Endpoint: g.Endpoint, Answered: true, Detail: FilledByOrigin,
			Elapsed: 400 * ms, SourceWait: 300 * ms})
		if parent := r.balancer.healthScore(r.balancer.endpoints.byID[g.Source]); parent != 1 {
			t.Errorf("%d routers: the parent has the trust %.2f", directors, parent)
		}
		return r.balancer.healthScore(r.balancer.endpoints.origin)
	}
	few, many := trust(4), trust(80)
	if few != slowScoreFactor || many < 0.2 || many > 0.3 {
		t.Errorf("one slow answer leaves %.2f with 4 directors, %.2f with 80", few, many)
	}
}

// A release lists the new endpoints while the old ones drain. The usual load is that of as many as served at once: with
// both counted, each new one would get half of what it may be sent for as long as the router lives.
func TestReleaseKeepsSlowStartBudget(t *testing.T) {
	drained, fresh := fleetList()[:3], []Endpoint{}
	for i := range drained {
		drained[i].State = Draining
		e := listedEndpoint(EndpointID(5+i), "box", "edge")
		e.StartedAt = 100 * sec
		fresh = append(fresh, e)
	}
	for _, order := range [][2][]Endpoint{{drained, fresh}, {fresh, drained}} { // some take the old ones out last
		r := newRig(t, site(), fleetList())
		r.handle(EndpointUpdate{Endpoints: order[0]})
		r.handle(EndpointUpdate{Endpoints: order[1]})
		if n := r.balancer.endpoints.peakCapacity[roleCache]; n != 3 {
			t.Errorf("%v page caches at once, not 3", n)
		}
		r = newRig(t, site(), append(fresh, listedEndpoint(1, "box", "edge")))
		if n := r.balancer.endpoints.peakCapacity[roleCache]; n != 4 { // who starts then knows of no more
			t.Errorf("%v page caches at the start, not 4", n)
		}
	}
}

// The part of one router among many is small beside what chance brings it. A bound of just that part would leave
// the link idle while requests are rejected; one with room for chance must still keep all together near what the
// link fits.
func TestLinkLimitAllowsForVariance(t *testing.T) {
	for beside, want := range map[int][2]float64{1: {16, 16}, 4: {4.5, 5}, 16: {1.9, 2.1}} {
		s := site()
		s.Topology.RoutersPerZone, s.LinkKBps = []int{0, beside}, []float64{0, 8000} // the link fits 8 transfers
		if room := newRig(t, s, fleetList()).balancer.link.limit; room < want[0] || room > want[1] {
			t.Errorf("%d routers: room for %.2f each, not %v", beside, room, want)
		}
	}
}

// Where many share a link, each sees what the others have on it only in how long its own fills take, and few of those
// are of a size that it knows. Alone, its own count tells more than a guess.
func TestSharedLinkLearnsFromUnknownSizes(t *testing.T) {
	for beside, shrinks := range map[int]bool{1: false, 8: true} {
		s := site()
		s.Topology.RoutersPerZone, s.LinkKBps, s.Capabilities.DirectAttempts = []int{0, beside}, []float64{0, 8000}, false
		r := newRig(t, s, fleetList())
		before := r.balancer.link.limit
		for range 5 {
			r.lastID++
			for _, g := range sentAttempts(r.handle(Request{ID: r.lastID, Class: "page", Object: uint64(r.lastID), Remaining: 3 * sec})) {
				r.now += 500 * ms
				r.handle(Outcome{ID: g.ID, Endpoint: g.Endpoint, Answered: true, Detail: Filled,
					Elapsed: 2 * sec, SourceWait: 50 * ms})
			}
		}
		if after := r.balancer.link.limit; (after < before) != shrinks {
			t.Errorf("%d routers: room for %.2f, then %.2f", beside, before, after)
		}
	}
}

// A router that starts beside a zone that comes back, all cold, under an overload, knows nothing but what it is
// asked for: many times what the caches ever carried. What it sends a cold one stays within what the caches' links
// carry.
func TestNewRouterUnderOverload(t *testing.T) {
	s := site()
	s.LinkKBps = []float64{0, 6000} // the location's link fits 6 transfers
	list := fleetList()
	for i := range list {
		list[i].StartedAt = 100 * sec // where the rig begins
	}
	r := newRig(t, s, list)
	sent := map[EndpointID]float64{}
	for r.now < 104*sec {
		r.now += 10 * ms
		for range 5 { // 500 a second, 0.1 s each
			if g := r.request("page", uint64(r.lastID)); g.Endpoint != 0 {
				if r.now >= 102*sec {
					sent[g.Endpoint] += 0.1
				}
				r.finish(g, 0, OK, Filled)
			}
		}
	}
	m := r.balancer.endpoints.byID[1]
	share := s.CacheSlowStart.InitialCapacity + (1-s.CacheSlowStart.InitialCapacity)*4/15
	if most := s.CacheSlowStart.OverloadFactor * share * m.concurrencyLimit / cacheLimitFactor * 2; sent[1] == 0 || sent[1] > most {
		t.Errorf("a cold cache was sent %.1f s of work in 2 s, of %.1f that its link may bear", sent[1], most)
	}
}

// However many routers share a zone's link, what all of them fill at once stays near to what it can carry in
// time: with more room for chance for each, the answers of a bad minute come late, and the link has carried them
// for nothing.
func TestFillsOfAllRouters(t *testing.T) {
	for _, directors := range []int{4, 8, 16} {
		s := site()
		s.Capabilities.DirectAttempts, s.StaticWeights = false, true
		s.LinkKBps, s.Topology.RoutersPerZone = []float64{0, 20_000}, []int{0, directors} // the link fits 20 transfers
		list := fleetList()
		for i := range list {
			list[i].Weight = 100 // and the caches' own links many
		}
		all := 0.0
		for range directors {
			r := newRig(t, s, list)
			for _, m := range r.balancer.endpoints.caches {
				m.missRate = 1 // they have just started
			}
			for range 60 {
				r.request("page", uint64(r.lastID)*7919)
			}
			all += r.balancer.link.inFlight
		}
		if all > 2.5*20 {
			t.Errorf("%d routers: %.1f transfers on a link that fits 20", directors, all)
		}
	}
}
