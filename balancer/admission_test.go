package balancer

import "testing"

// A burst of misses must not fill the link. Over the link limit, requests are first sent to a cache for a cached copy
// only, then queued, and at last rejected.
func TestLinkLimitBoundsFills(t *testing.T) {
	r := newRig(t, testSettings(), testEndpoints())
	fills, lookups := 0, 0
	for o := range uint64(200) {
		send := r.request("page", o)
		switch {
		case send.Endpoint == 0:
		case send.Source == send.Endpoint:
			lookups++
			r.finish(send, 0, Miss, NoDetail)
		case send.Source > 10:
			fills++
			r.balancer.link.inFlight += 1 - r.balancer.requests.byID[send.ID].attempts[0].fillProbability
			r.balancer.requests.byID[send.ID].attempts[0].fillProbability = 1
		}
	}
	if lookups == 0 || float64(fills) > defaultLimit+1 {
		t.Errorf("%d fills in flight, %d lookups", fills, lookups)
	}
	rejected := 0
	for _, a := range r.advance(sec) {
		if _, ok := a.(Reject); ok {
			rejected++
		}
	}
	if rejected == 0 {
		t.Errorf("no request was rejected within a second")
	}
}

// Slow fills, be it because of the origin or the link, lower the link limit, but not the limits of the caches.
func TestSlowFillsLowerTheLinkLimit(t *testing.T) {
	r := newRig(t, testSettings(), testEndpoints())
	linkLimit, cacheLimit := r.balancer.link.limit, r.balancer.endpoints.byID[1].concurrencyLimit
	for o := range uint64(30) {
		send := r.request("page", o)
		r.now += sec
		r.handle(Outcome{ID: send.ID, Endpoint: send.Endpoint, Status: OK, Answered: true, Detail: Filled, Elapsed: sec})
	}
	if r.balancer.link.limit >= linkLimit || r.balancer.endpoints.byID[1].concurrencyLimit != cacheLimit {
		t.Errorf("link limit %.1f, before %.1f; cache limit %.1f, before %.1f", r.balancer.link.limit, linkLimit,
			r.balancer.endpoints.byID[1].concurrencyLimit, cacheLimit)
	}
}

// With many routers in the zone, each may still have two attempts in flight at a cache, so that chance alone moves no
// requests to other caches.
func TestCacheLimitHasAFloor(t *testing.T) {
	for routers, want := range map[int]float64{1: 12, 4: 3, 20: 2, 200: 2} {
		s := testSettings()
		s.Topology.RoutersPerZone = []int{0, routers}
		r := newRig(t, s, testEndpoints())
		if got := r.balancer.endpoints.caches[0].concurrencyLimit; got != want {
			t.Errorf("%d routers: cache limit %.1f, want %.1f", routers, got, want)
		}
		if r.balancer.link.limit < minLimit {
			t.Errorf("%d routers: link limit %.1f is under the minimum", routers, r.balancer.link.limit)
		}
	}
}

// While the zone's link is half full, a client's retry gets a cached copy but no fill. Its first request has used up the
// time, and a fill would delay requests that are still in time.
func TestClientRetryLeavesLinkToFirstAttempts(t *testing.T) {
	s := testSettings()
	s.Capabilities.DirectAttempts, s.LinkKBps, s.StaticWeights = false, []float64{0, 4000}, true // the link fits 4 transfers
	list := testEndpoints()
	for i := range list {
		list[i].Weight = 20 // the caches' own links fit many transfers
	}
	r := newRig(t, s, list)
	fills := func(retry bool) (n int) {
		for range 30 {
			r.lastID++
			sent := sentAttempts(r.handle(Request{ID: r.lastID, Class: "page", Object: uint64(r.lastID), Remaining: 3 * sec,
				SizeKB: 100, Retry: retry}))
			if len(sent) == 1 && sent[0].Source != sent[0].Endpoint {
				n++
			}
		}
		return n
	}
	retryFills := fills(true)
	firstFills := fills(false)
	if retryFills == 0 || firstFills < retryFills/2 {
		t.Errorf("%d fills of retries, then %d of first requests", retryFills, firstFills)
	}
	if fullLinkFills := fills(true); fullLinkFills != 0 {
		t.Errorf("%d fills of retries on a full link", fullLinkFills)
	}
}

// One router's part of a shared link is small compared to the variance of its fills. A limit of just that part would
// leave the link idle while requests are rejected. A limit with a margin for the variance must still keep the fills of
// all routers together near the link's capacity.
func TestLinkLimitAllowsForVariance(t *testing.T) {
	for routers, want := range map[int][2]float64{1: {16, 16}, 4: {4.5, 5}, 16: {1.9, 2.1}} {
		s := testSettings()
		s.Topology.RoutersPerZone, s.LinkKBps = []int{0, routers}, []float64{0, 8000} // the link fits 8 transfers
		if linkLimit := newRig(t, s, testEndpoints()).balancer.link.limit; linkLimit < want[0] || linkLimit > want[1] {
			t.Errorf("%d routers: link limit %.2f each, want between the two of %v", routers, linkLimit, want)
		}
	}
}

// Where many routers share a link, each learns of the others' transfers only from the times of its own fills, and few of
// those have a known size. So it must learn from fills of unknown size as well. A router that is alone on the link must
// not, as its own count of transfers is better than a guess.
func TestSharedLinkLearnsFromUnknownSizes(t *testing.T) {
	for routers, shrinks := range map[int]bool{1: false, 8: true} {
		s := testSettings()
		s.Topology.RoutersPerZone, s.LinkKBps, s.Capabilities.DirectAttempts = []int{0, routers}, []float64{0, 8000}, false
		r := newRig(t, s, testEndpoints())
		before := r.balancer.link.limit
		for range 5 {
			r.lastID++
			for _, send := range sentAttempts(r.handle(Request{ID: r.lastID, Class: "page", Object: uint64(r.lastID),
				Remaining: 3 * sec})) {
				r.now += 500 * ms
				r.handle(Outcome{ID: send.ID, Endpoint: send.Endpoint, Answered: true, Detail: Filled,
					Elapsed: 2 * sec, SourceWait: 50 * ms})
			}
		}
		if after := r.balancer.link.limit; (after < before) != shrinks {
			t.Errorf("%d routers: link limit %.2f, then %.2f", routers, before, after)
		}
	}
}

// However many routers share a zone's link, the fills of all of them at once stay near what the link can carry in time.
// With a larger margin for variance per router, responses during an overload come late, and the link has carried them
// in vain.
func TestFillsOfAllRoutersFitTheLink(t *testing.T) {
	for _, routers := range []int{4, 8, 16} {
		s := testSettings()
		s.Capabilities.DirectAttempts, s.StaticWeights = false, true
		s.LinkKBps, s.Topology.RoutersPerZone = []float64{0, 20_000}, []int{0, routers} // the link fits 20 transfers
		list := testEndpoints()
		for i := range list {
			list[i].Weight = 100 // the caches' own links fit many
		}
		all := 0.0
		for range routers {
			r := newRig(t, s, list)
			for _, e := range r.balancer.endpoints.caches {
				e.missRate = 1 // they have just started
			}
			for range 60 {
				r.request("page", uint64(r.lastID)*7919)
			}
			all += r.balancer.link.inFlight
		}
		if all > 2.5*20 {
			t.Errorf("%d routers: %.1f transfers on a link that fits 20", routers, all)
		}
	}
}
