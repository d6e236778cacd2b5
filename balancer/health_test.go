package balancer

import "testing"

// A cache that hangs is left long before any time-out, and what waited there moves.
func TestSilentCacheIsEjected(t *testing.T) {
	r := newRig(t, site(), fleetList())
	var stuck []SendAttempt
	for o := uint64(0); len(stuck) < 4; o++ {
		g := r.request("page", o)
		if g.Endpoint == 1 {
			stuck = append(stuck, g)
		} else {
			r.finish(g, 0, OK, Hit)
		}
	}
	cancelled := 0
	for _, a := range r.advance(1200 * ms) {
		if _, ok := a.(CancelAttempt); ok {
			cancelled++
		}
	}
	if !r.balancer.endpoints.byID[1].health.ejected || cancelled == 0 {
		t.Fatalf("bad %v, %d attempts cancelled", r.balancer.endpoints.byID[1].health.ejected, cancelled)
	}
	if g := sentAttempts(r.finish(stuck[0], 0, Cancelled, NoDetail)); len(g) != 1 || g[0].Endpoint == 1 {
		t.Errorf("the stuck request went to %v", g)
	}
}

// A short stall makes nobody flee.
func TestShortStallEjectsNobody(t *testing.T) {
	r := newRig(t, site(), fleetList())
	for o := range uint64(30) {
		r.request("page", o)
	}
	r.advance(300 * ms)
	for _, m := range r.balancer.endpoints.caches {
		if m.health.ejected {
			t.Errorf("cache %d was ejected after 300 ms", m.id)
		}
	}
}

// A source that fails behind several caches must not count against them; the second home stands in.
func TestFailedSourceIsEjectedNotItsCaches(t *testing.T) {
	r := newRig(t, site(), fleetList())
	home := r.request("page", 5)
	r.finish(home, 0, Rejected, SourceUnreachable)
	for o := uint64(100); !r.balancer.endpoints.byID[home.Source].health.ejected; o++ {
		if o > 400 {
			t.Fatal("a source that fails every fill was never ejected")
		}
		if g := r.request("page", o); g.Source == home.Source {
			r.finish(g, 0, Rejected, SourceUnreachable)
		} else {
			r.finish(g, 0, OK, Filled)
		}
	}
	for _, m := range r.balancer.endpoints.caches {
		if m.health.ejected || r.balancer.healthScore(m) < 1 {
			t.Errorf("cache %d took the blame", m.id)
		}
	}
	r.advance(5 * sec)
	r.balancer.endpoints.byID[home.Source].health.nextProbe = r.now + sec
	if g := r.request("page", 5); g.Source == home.Source || g.Source < 11 || g.Source > 13 {
		t.Errorf("source %d, the home %d is bad", g.Source, home.Source)
	}
}

// Where nothing is told of fills, a rejection from afar counts against the source, a quick one against nobody.
func TestLateRejectionIsTheSources(t *testing.T) {
	r := newRig(t, site(), fleetList())
	first := r.request("page", 5)
	as := r.handle(Outcome{ID: first.ID, Endpoint: first.Endpoint, Status: Rejected, Elapsed: 200 * ms})
	if g := sentAttempts(as); len(g) != 1 || g[0].Endpoint != first.Endpoint || g[0].Source == first.Source {
		t.Fatalf("after the first refusal: %v, it was %v", g, first)
	}
	for o := uint64(100); o < 400 && !r.balancer.endpoints.byID[first.Source].health.ejected; o++ {
		if g := r.request("page", o); g.Source == first.Source {
			r.handle(Outcome{ID: g.ID, Endpoint: g.Endpoint, Status: Rejected, Elapsed: 200 * ms})
		} else {
			r.finish(g, 0, OK, Filled)
		}
	}
	source, cache := r.balancer.endpoints.byID[first.Source], r.balancer.endpoints.byID[first.Endpoint]
	if !source.health.ejected || cache.health.ejected {
		t.Errorf("source ejected %v, cache ejected %v", source.health.ejected, cache.health.ejected)
	}
	q := newRig(t, site(), fleetList())
	for range ejectAfterFailures {
		g := q.request("page", 5)
		q.handle(Outcome{ID: g.ID, Endpoint: g.Endpoint, Status: Rejected, Elapsed: ms})
	}
	for _, m := range q.balancer.endpoints.byID {
		if m.health.ejected {
			t.Errorf("member %d was ejected for being full", m.id)
		}
	}
}

// A connection that breaks ends all attempts on it at once: one spoilt answer must not make its cache bad.
func TestBrokenConnectionCountsOnce(t *testing.T) {
	r := newRig(t, site(), fleetList())
	var out []SendAttempt
	for o := range uint64(24) {
		if g := r.request("page", o); g.Endpoint == 1 {
			out = append(out, g)
		}
	}
	if len(out) <= ejectAfterFailures {
		t.Fatalf("only %d attempts at the cache", len(out))
	}
	for _, g := range out {
		r.finish(g, 0, Reset, NoDetail)
	}
	if m := r.balancer.endpoints.byID[1]; m.health.ejected || m.health.consecutiveFailures != 1 {
		t.Errorf("%d failures, bad: %v; want one", m.health.consecutiveFailures, m.health.ejected)
	}
}

// A cache that grows slower and slower while it still answers keeps ever less of its range (aging), and has
// all of it back when it answers quickly.
func TestAgingCacheLosesRange(t *testing.T) {
	r := newRig(t, site(), fleetList())
	for o := uint64(0); o < 500 && r.balancer.healthScore(r.balancer.endpoints.byID[1]) > 0.1; o++ {
		if g := r.request("page", o); g.Endpoint == 1 {
			r.finishAfter(g, 900*ms, Hit)
		} else {
			r.finishAfter(g, 100*ms, Hit)
		}
	}
	if r.balancer.endpoints.byID[1].health.ejected {
		t.Error("slow is not dead")
	}
	if n := r.rangeOf(1); n > 90 || n == 0 {
		t.Errorf("slow, and owns %d of 300 objects", n)
	}
	for o := range uint64(300) {
		r.finishAfter(r.request("page", o), 100*ms, Hit)
	}
	if n := r.rangeOf(1); n < 270 {
		t.Errorf("quick again, and owns %d of 300 objects", n)
	}
}

// A parent whose fills are slow while its peers' are quick loses range to the second homes, and no cache does.
func TestSlowParentLosesRange(t *testing.T) {
	r := newRig(t, site(), fleetList())
	for o := uint64(0); o < 500 && r.balancer.healthScore(r.balancer.endpoints.byID[11]) > 0.1; o++ {
		if g := r.request("page", o); g.Source == 11 {
			r.finishAfter(g, 900*ms, Filled)
		} else {
			r.finishAfter(g, 100*ms, Filled)
		}
	}
	if n := r.rangeOf(11); n > 90 || n == 0 {
		t.Errorf("slow, and owns %d of 300 objects", n)
	}
	for _, m := range r.balancer.endpoints.caches {
		if r.balancer.healthScore(m) < 1 {
			t.Errorf("cache %d took the blame", m.id)
		}
	}
}

// A parent behind which half the fills break, while the caches' answers name no cause, loses range to the second
// homes: the second deployment's fast errors came so, from one upper cache through every edge box.
func TestFailingParentLosesRange(t *testing.T) {
	r := newRig(t, site(), fleetList())
	for o := uint64(0); o < 500 && r.balancer.healthScore(r.balancer.endpoints.byID[11]) > 0.1; o++ {
		g := r.request("page", o)
		if r.now += 10 * ms; g.Source == 11 && o%2 == 0 {
			r.finish(g, 0, Error, NoDetail)
			r.finish(r.request("page", o), 1, OK, Filled) // the client's retry is served elsewhere
		} else {
			r.finishAfter(g, 100*ms, Filled)
		}
	}
	if n := r.rangeOf(11); n > 90 || n == 0 {
		t.Errorf("failing, and owns %d of 300 objects", n)
	}
}

// What slows all caches alike, as overload does, moves nobody's range.
func TestOverloadOfAllMovesNoRange(t *testing.T) {
	r := newRig(t, site(), fleetList())
	for o := range uint64(40) {
		if g := r.request("page", o); g.Endpoint != 0 {
			r.finishAfter(g, 900*ms, Hit)
		}
	}
	for _, m := range r.balancer.endpoints.caches {
		if !r.balancer.servesKey(7, m) && !r.balancer.servesKey(8, m) && !r.balancer.servesKey(9, m) {
			t.Errorf("cache %d lost its range with trust %.2f", m.id, r.balancer.healthScore(m))
		}
	}
}

// While fills by way of the origin are slow, most objects are filled only from what their home holds; what it
// lacks is not asked of the origin, but for a few objects that show when it is well again.
func TestSlowOriginIsSpared(t *testing.T) {
	r := newRig(t, site(), fleetList())
	for o := uint64(0); o < 500 && r.balancer.healthScore(r.balancer.endpoints.origin) > 0.1; o++ {
		if g := r.request("page", o); g.Endpoint != 0 {
			r.finishAfter(g, 900*ms, FilledByOrigin)
		}
	}
	held := 0
	for o := uint64(900); o < 1000; o++ {
		g := r.request("page", o)
		if g.CachedOnly {
			held++
			for n, next := 0, []SendAttempt{g}; len(next) > 0; n++ {
				if next[0].Source == 20 {
					t.Fatalf("object %d went to the slow origin", o)
				}
				next = sentAttempts(r.finish(next[0], n, Miss, SourceMiss))
			}
		} else if g.Endpoint != 0 {
			r.finish(g, 0, OK, Hit)
		}
		r.advance(scanInterval)
	}
	if held < 40 || held > 99 {
		t.Errorf("%d of 100 objects only as held", held)
	}
}

// What a slow origin owes is not cancelled: there is no other, so the work would be lost and asked for again.
func TestSlowOriginIsNotRetried(t *testing.T) {
	list := append(fleetList()[:3], fleetList()[7]) // no parents
	r := newRig(t, site(), list)
	for o := range uint64(6) {
		if g := r.request("page", o); g.Source != 20 && g.Source != g.Endpoint {
			t.Fatalf("source %d without parents", g.Source)
		}
	}
	for range 80 {
		r.now += scanInterval
		for _, m := range r.balancer.endpoints.caches {
			m.health.lastResponse = r.now // the caches answer others
		}
		for _, a := range r.handle(Timer{Token: scanToken}) {
			if c, ok := a.(CancelAttempt); ok {
				t.Fatalf("cancelled: %+v", c)
			}
		}
	}
	if !r.balancer.endpoints.origin.health.ejected {
		t.Error("the test did not make the origin silent")
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
