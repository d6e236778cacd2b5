package balancer

import "testing"

// A burst of misses does not fill the link: over its bound requests only look, then wait, then are rejected.
func TestLinkLimitBoundsFills(t *testing.T) {
	r := newRig(t, site(), fleetList())
	fills, looks := 0, 0
	for o := range uint64(200) {
		g := r.request("page", o)
		switch {
		case g.Endpoint == 0:
		case g.Source == g.Endpoint:
			looks++
			r.finish(g, 0, Miss, NoDetail)
		case g.Source > 10:
			fills++
			r.balancer.link.inFlight += 1 - r.balancer.requests.byID[g.ID].attempts[0].fillProbability
			r.balancer.requests.byID[g.ID].attempts[0].fillProbability = 1
		}
	}
	if looks == 0 || float64(fills) > defaultLimit+1 {
		t.Errorf("%d fills under way, %d looks", fills, looks)
	}
	refused := 0
	for _, a := range r.advance(sec) {
		if _, ok := a.(Reject); ok {
			refused++
		}
	}
	if refused == 0 {
		t.Errorf("nobody was rejected in time")
	}
}

// Slow fills, from an origin or a link, take room from fills; quick hits leave the caches theirs.
func TestSlowFillsLowerTheLinkLimit(t *testing.T) {
	r := newRig(t, site(), fleetList())
	room, limit := r.balancer.link.limit, r.balancer.endpoints.byID[1].concurrencyLimit
	for o := range uint64(30) {
		g := r.request("page", o)
		r.now += sec
		r.handle(Outcome{ID: g.ID, Endpoint: g.Endpoint, Status: OK, Answered: true, Detail: Filled, Elapsed: sec})
	}
	if r.balancer.link.limit >= room || r.balancer.endpoints.byID[1].concurrencyLimit != limit {
		t.Errorf("link %.1f of %.1f, cache %.1f of %.1f", r.balancer.link.limit, room, r.balancer.endpoints.byID[1].concurrencyLimit, limit)
	}
}

// With many routers beside, each may still have two attempts at a cache, so that chance alone moves nothing.
func TestCacheLimitHasAFloor(t *testing.T) {
	for beside, want := range map[int]float64{1: 12, 4: 3, 20: 2, 200: 2} {
		s := site()
		s.Topology.RoutersPerZone = []int{0, beside}
		r := newRig(t, s, fleetList())
		if got := r.balancer.endpoints.caches[0].concurrencyLimit; got != want {
			t.Errorf("%d routers: limit %.1f, want %.1f", beside, got, want)
		}
		if r.balancer.link.limit < minLimit {
			t.Errorf("%d routers: %.1f on the link", beside, r.balancer.link.limit)
		}
	}
}

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
