package balancer

import "testing"

// A cache that hangs is ejected long before any timeout, and the requests that wait for it go elsewhere.
func TestSilentCacheIsEjected(t *testing.T) {
	r := newRig(t, testSettings(), testEndpoints())
	var stuck []SendAttempt
	for o := uint64(0); len(stuck) < 4; o++ {
		send := r.request("page", o)
		if send.Endpoint == 1 {
			stuck = append(stuck, send)
		} else {
			r.finish(send, 0, OK, Hit)
		}
	}
	cancelled := 0
	for _, a := range r.advance(1200 * ms) {
		if _, ok := a.(CancelAttempt); ok {
			cancelled++
		}
	}
	if !r.balancer.endpoints.byID[1].health.ejected || cancelled == 0 {
		t.Fatalf("ejected %v, %d attempts cancelled", r.balancer.endpoints.byID[1].health.ejected, cancelled)
	}
	if send := sentAttempts(r.finish(stuck[0], 0, Cancelled, NoDetail)); len(send) != 1 || send[0].Endpoint == 1 {
		t.Errorf("the retry of the stuck request: %v", send)
	}
}

// A stall of 300 ms must not eject any cache.
func TestShortStallEjectsNoCache(t *testing.T) {
	r := newRig(t, testSettings(), testEndpoints())
	for o := range uint64(30) {
		r.request("page", o)
	}
	r.advance(300 * ms)
	for _, e := range r.balancer.endpoints.caches {
		if e.health.ejected {
			t.Errorf("cache %d was ejected after 300 ms", e.id)
		}
	}
}

// A source that fails behind several caches must not count against the caches. The second home replaces it.
func TestFailedSourceIsEjectedNotItsCaches(t *testing.T) {
	r := newRig(t, testSettings(), testEndpoints())
	first := r.request("page", 5)
	r.finish(first, 0, Rejected, SourceUnreachable)
	for o := uint64(100); !r.balancer.endpoints.byID[first.Source].health.ejected; o++ {
		if o > 400 {
			t.Fatal("a source that fails every fill was never ejected")
		}
		if send := r.request("page", o); send.Source == first.Source {
			r.finish(send, 0, Rejected, SourceUnreachable)
		} else {
			r.finish(send, 0, OK, Filled)
		}
	}
	for _, e := range r.balancer.endpoints.caches {
		if e.health.ejected || r.balancer.healthScore(e) < 1 {
			t.Errorf("cache %d was ejected or lost health score", e.id)
		}
	}
	r.advance(5 * sec)
	r.balancer.endpoints.byID[first.Source].health.nextProbe = r.now + sec
	if send := r.request("page", 5); send.Source == first.Source || send.Source < 11 || send.Source > 13 {
		t.Errorf("source %d, want another parent than the ejected home %d", send.Source, first.Source)
	}
}

// Where caches report no detail of fills, a late rejection counts against the source, and a quick one against no
// endpoint.
func TestLateRejectionCountsAgainstSource(t *testing.T) {
	r := newRig(t, testSettings(), testEndpoints())
	first := r.request("page", 5)
	actions := r.handle(Outcome{ID: first.ID, Endpoint: first.Endpoint, Status: Rejected, Elapsed: 200 * ms})
	if send := sentAttempts(actions); len(send) != 1 || send[0].Endpoint != first.Endpoint || send[0].Source == first.Source {
		t.Fatalf("attempts after the first rejection: %v; the rejected one: %v", send, first)
	}
	for o := uint64(100); o < 400 && !r.balancer.endpoints.byID[first.Source].health.ejected; o++ {
		if send := r.request("page", o); send.Source == first.Source {
			r.handle(Outcome{ID: send.ID, Endpoint: send.Endpoint, Status: Rejected, Elapsed: 200 * ms})
		} else {
			r.finish(send, 0, OK, Filled)
		}
	}
	source, cache := r.balancer.endpoints.byID[first.Source], r.balancer.endpoints.byID[first.Endpoint]
	if !source.health.ejected || cache.health.ejected {
		t.Errorf("source ejected %v, cache ejected %v", source.health.ejected, cache.health.ejected)
	}
	quick := newRig(t, testSettings(), testEndpoints())
	for range ejectAfterFailures {
		send := quick.request("page", 5)
		quick.handle(Outcome{ID: send.ID, Endpoint: send.Endpoint, Status: Rejected, Elapsed: ms})
	}
	for _, e := range quick.balancer.endpoints.byID {
		if e.health.ejected {
			t.Errorf("endpoint %d was ejected for quick rejections", e.id)
		}
	}
}

// A broken connection ends all attempts on it at once. It must count as one failure, so that one bad response doesn't
// eject the cache.
func TestBrokenConnectionCountsOnce(t *testing.T) {
	r := newRig(t, testSettings(), testEndpoints())
	var open []SendAttempt
	for o := range uint64(24) {
		if send := r.request("page", o); send.Endpoint == 1 {
			open = append(open, send)
		}
	}
	if len(open) <= ejectAfterFailures {
		t.Fatalf("only %d attempts at the cache", len(open))
	}
	for _, send := range open {
		r.finish(send, 0, Reset, NoDetail)
	}
	if e := r.balancer.endpoints.byID[1]; e.health.ejected || e.health.consecutiveFailures != 1 {
		t.Errorf("%d consecutive failures, ejected %v; want one failure", e.health.consecutiveFailures, e.health.ejected)
	}
}

// A cache that grows slower and slower while it still responds (aging) loses more and more of its range. It gets the
// whole range back when it responds quickly again.
func TestAgingCacheLosesRange(t *testing.T) {
	r := newRig(t, testSettings(), testEndpoints())
	for o := uint64(0); o < 500 && r.balancer.healthScore(r.balancer.endpoints.byID[1]) > 0.1; o++ {
		if send := r.request("page", o); send.Endpoint == 1 {
			r.finishAfter(send, 900*ms, Hit)
		} else {
			r.finishAfter(send, 100*ms, Hit)
		}
	}
	if r.balancer.endpoints.byID[1].health.ejected {
		t.Error("a slow cache was ejected")
	}
	if n := r.servedKeys(1); n > 90 || n == 0 {
		t.Errorf("the slow endpoint serves %d of 300 objects", n)
	}
	for o := range uint64(300) {
		r.finishAfter(r.request("page", o), 100*ms, Hit)
	}
	if n := r.servedKeys(1); n < 270 {
		t.Errorf("the cache serves %d of 300 objects after it is quick again", n)
	}
}

// A parent whose fills are slow while its peers' are quick loses range to the second homes, and no cache loses any.
func TestSlowParentLosesRange(t *testing.T) {
	r := newRig(t, testSettings(), testEndpoints())
	for o := uint64(0); o < 500 && r.balancer.healthScore(r.balancer.endpoints.byID[11]) > 0.1; o++ {
		if send := r.request("page", o); send.Source == 11 {
			r.finishAfter(send, 900*ms, Filled)
		} else {
			r.finishAfter(send, 100*ms, Filled)
		}
	}
	if n := r.servedKeys(11); n > 90 || n == 0 {
		t.Errorf("the slow endpoint serves %d of 300 objects", n)
	}
	for _, e := range r.balancer.endpoints.caches {
		if r.balancer.healthScore(e) < 1 {
			t.Errorf("cache %d lost health score", e.id)
		}
	}
}

// A parent with half of its fills failing loses range to the second homes, although the caches report no cause. In the
// second deployment, one such parent caused fast errors through every edge cache.
func TestFailingParentLosesRange(t *testing.T) {
	r := newRig(t, testSettings(), testEndpoints())
	for o := uint64(0); o < 500 && r.balancer.healthScore(r.balancer.endpoints.byID[11]) > 0.1; o++ {
		send := r.request("page", o)
		if r.now += 10 * ms; send.Source == 11 && o%2 == 0 {
			r.finish(send, 0, Error, NoDetail)
			r.finish(r.request("page", o), 1, OK, Filled) // the client's retry is served elsewhere
		} else {
			r.finishAfter(send, 100*ms, Filled)
		}
	}
	if n := r.servedKeys(11); n > 90 || n == 0 {
		t.Errorf("the failing parent serves %d of 300 objects", n)
	}
}

// Overload that slows all caches alike must not move the range of any.
func TestOverloadOfAllCachesMovesNoRange(t *testing.T) {
	r := newRig(t, testSettings(), testEndpoints())
	for o := range uint64(40) {
		if send := r.request("page", o); send.Endpoint != 0 {
			r.finishAfter(send, 900*ms, Hit)
		}
	}
	for _, e := range r.balancer.endpoints.caches {
		if !r.balancer.servesKey(7, e) && !r.balancer.servesKey(8, e) && !r.balancer.servesKey(9, e) {
			t.Errorf("cache %d lost its range with the health score %.2f", e.id, r.balancer.healthScore(e))
		}
	}
}

// While the origin is slow, parents serve most objects from their caches only, and a miss there doesn't go to the origin.
// Only a few objects are still filled through the origin, which shows when it has recovered.
func TestSlowOriginGetsFewFills(t *testing.T) {
	r := newRig(t, testSettings(), testEndpoints())
	for o := uint64(0); o < 500 && r.balancer.healthScore(r.balancer.endpoints.origin) > 0.1; o++ {
		if send := r.request("page", o); send.Endpoint != 0 {
			r.finishAfter(send, 900*ms, FilledByOrigin)
		}
	}
	cachedOnly := 0
	for o := uint64(900); o < 1000; o++ {
		send := r.request("page", o)
		if send.CachedOnly {
			cachedOnly++
			for n, next := 0, []SendAttempt{send}; len(next) > 0; n++ {
				if next[0].Source == 20 {
					t.Fatalf("object %d went to the slow origin", o)
				}
				next = sentAttempts(r.finish(next[0], n, Miss, SourceMiss))
			}
		} else if send.Endpoint != 0 {
			r.finish(send, 0, OK, Hit)
		}
		r.advance(scanInterval)
	}
	if cachedOnly < 40 || cachedOnly > 99 {
		t.Errorf("%d of 100 attempts asked for cached copies only", cachedOnly)
	}
}

// An attempt that waits for a slow origin is not cancelled: there is no other origin, so its work would be lost and
// requested again.
func TestAttemptAtSlowOriginIsNotCancelled(t *testing.T) {
	list := append(testEndpoints()[:3], testEndpoints()[7]) // no parents
	r := newRig(t, testSettings(), list)
	for o := range uint64(6) {
		if send := r.request("page", o); send.Source != 20 && send.Source != send.Endpoint {
			t.Fatalf("source %d without parents", send.Source)
		}
	}
	for range 80 {
		r.now += scanInterval
		for _, e := range r.balancer.endpoints.caches {
			e.health.lastResponse = r.now // the caches respond to other requests
		}
		for _, a := range r.handle(Timer{Token: scanToken}) {
			if c, ok := a.(CancelAttempt); ok {
				t.Fatalf("attempt was cancelled: %+v", c)
			}
		}
	}
	if !r.balancer.endpoints.origin.health.ejected {
		t.Error("the origin was not ejected as silent, so the test has no effect")
	}
}

// The more routers share the origin, the fewer of its responses each router sees. So a slow response lowers its score
// more where many routers share it.
func TestOriginScoreFallsFasterWhereManyShareIt(t *testing.T) {
	scoreAfterSlowFill := func(routers int) float64 {
		s := testSettings()
		s.Topology.RoutersPerZone = []int{0, routers}
		r := newRig(t, s, testEndpoints())
		send := r.request("page", 1)
		r.now += 400 * ms
		r.handle(Outcome{ID: send.ID, Endpoint: send.Endpoint, Answered: true, Detail: FilledByOrigin,
			Elapsed: 400 * ms, SourceWait: 300 * ms})
		if parent := r.balancer.healthScore(r.balancer.endpoints.byID[send.Source]); parent != 1 {
			t.Errorf("%d routers: the parent's health score is %.2f, want 1", routers, parent)
		}
		return r.balancer.healthScore(r.balancer.endpoints.origin)
	}
	few, many := scoreAfterSlowFill(4), scoreAfterSlowFill(80)
	if few != slowScoreFactor || many < 0.2 || many > 0.3 {
		t.Errorf("one slow response lowers the origin's score to %.2f with 4 routers, to %.2f with 80", few, many)
	}
}
