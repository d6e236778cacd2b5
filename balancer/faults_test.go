package balancer

import (
	"testing"
	"time"
)

// A crashed cache is ejected after a few failures even while a late endpoint list still names it. It is then probed
// about once a second, and gets its requests back when it responds.
func TestCrashedCacheIsProbedAndRecovers(t *testing.T) {
	r := newRig(t, testSettings(), testEndpoints())
	r.failUntilEjected(1, ConnectFailed)
	for o := range uint64(40) {
		if send := r.request("page", o); send.Endpoint == 1 {
			t.Fatalf("a request was sent to the dead cache")
		} else {
			r.finish(send, 0, OK, Hit)
		}
	}
	r.now += 5 * sec
	probes := 0
	for o := range uint64(40) {
		send := r.request("page", o)
		if send.Endpoint == 1 {
			probes++
			r.now += ms
			r.finish(send, 0, OK, Filled)
			break
		}
		r.finish(send, 0, OK, Hit)
	}
	e := r.balancer.endpoints.byID[1]
	if probes != 1 || e.health.ejected {
		t.Errorf("%d probes, want 1; the cache after it: %+v", probes, e)
	}
}

// With all caches of the zone lost, requests bypass them, within the link limit. Once the caches are back, requests go to
// them again.
func TestLostZoneIsBypassedUntilItReturns(t *testing.T) {
	r := newRig(t, testSettings(), testEndpoints())
	lost := testEndpoints()[:3]
	for i := range lost {
		lost[i].State = Removed
	}
	r.handle(EndpointUpdate{Endpoints: lost})
	bypassed := 0
	for o := range uint64(100) {
		if send := r.request("page", o); send.Endpoint >= 11 && send.Source == 20 {
			bypassed++
		} else if send.Endpoint != 0 {
			t.Fatalf("attempt does not bypass the caches: %+v", send)
		}
	}
	if bypassed == 0 || float64(bypassed) > defaultLimit*cheapAllowance+1 {
		t.Errorf("%d requests bypassed the caches", bypassed)
	}
	r.now += 60 * sec
	back := testEndpoints()[:3]
	for i := range back {
		back[i].StartedAt = r.now - 30*sec
	}
	r.handle(EndpointUpdate{Endpoints: back})
	r.balancer.link.inFlight = 0
	if send := r.request("page", 500); send.Endpoint < 1 || send.Endpoint > 3 {
		t.Errorf("attempt after the caches' return: %+v", send)
	}
}

// In a rolling deploy, a draining cache gets no attempts, and its replacement gets a rising part of the requests.
func TestRollingDeployMovesLoadGradually(t *testing.T) {
	r := newRig(t, testSettings(), testEndpoints())
	for o := range uint64(100) { // builds up a usual load
		r.now += 100 * ms
		r.finish(r.request("page", o), 0, OK, Hit)
	}
	old, fresh := listedEndpoint(1, "box", "edge"), listedEndpoint(4, "box", "edge")
	old.State, fresh.StartedAt = Draining, r.now
	r.handle(EndpointUpdate{Endpoints: []Endpoint{old, fresh}})
	countNew := func() (n int) {
		for o := range uint64(200) {
			r.now += 5 * ms
			send := r.request("page", o)
			if send.Endpoint == 1 {
				t.Fatalf("a request was sent to the draining cache")
			}
			if send.Endpoint == 4 {
				n++
			}
			r.finish(send, 0, OK, Hit)
		}
		return n
	}
	early := countNew()
	r.now += 20 * sec
	if late := countNew(); early >= late/2 || late < 40 {
		t.Errorf("the new cache got %d of 200 requests at first, %d when warmed up", early, late)
	}
}

// A scan over many objects must not evict popular ones: an object requested once gets the lowest rank.
func TestScanDoesNotEvictPopularObjects(t *testing.T) {
	r := newRig(t, testSettings(), testEndpoints())
	for n, want := range []int{1, 2, 2} {
		send := r.request("page", 5)
		if send.CachePriority != want {
			t.Errorf("request %d: cache priority %d, want %d", n, send.CachePriority, want)
		}
		r.finish(send, 0, OK, Hit)
	}
}

// With an object's cache and home parent both dead, its request goes to another cache with another source.
func TestRequestAvoidsDeadCacheAndDeadHome(t *testing.T) {
	r := newRig(t, testSettings(), testEndpoints())
	first := r.request("page", 5)
	r.finish(first, 0, OK, Filled)
	r.failUntilEjected(first.Endpoint, Reset)
	home := r.balancer.endpoints.byID[first.Source]
	home.health.ejected, home.health.nextProbe = true, r.now+time.Minute
	send := r.request("page", 5)
	if send.Endpoint == first.Endpoint || send.Source == first.Source || send.Endpoint == 0 {
		t.Errorf("attempt %+v; the dead endpoints are %d and %d", send, first.Endpoint, first.Source)
	}
}

// While the other caches are full, requests are queued or rejected and not sent to the dead cache.
func TestEjectedCacheTakesNoOverflow(t *testing.T) {
	s := testSettings()
	s.Capabilities.DirectAttempts = false
	r := newRig(t, s, testEndpoints())
	r.failUntilEjected(1, ConnectFailed)
	r.balancer.endpoints.byID[2].concurrencyLimit, r.balancer.endpoints.byID[3].concurrencyLimit = 0, 0
	for o := range uint64(30) {
		if send := r.request("page", o); send.Endpoint != 0 {
			t.Fatalf("a request was sent: %+v", send)
		}
	}
}

// When parents are lost, the remaining ones take over their fills at once. Parents that return get a rising part of the
// fills.
func TestLostParentsGetFillsBackGradually(t *testing.T) {
	r := newRig(t, testSettings(), testEndpoints())
	for o := range uint64(200) { // builds up a usual load of fills
		r.now += 50 * ms
		r.finish(r.request("page", o), 0, OK, Filled)
	}
	lost := []Endpoint{listedEndpoint(11, "mid", "hub"), listedEndpoint(12, "mid", "hub")}
	for i := range lost {
		lost[i].State = Removed
	}
	r.handle(EndpointUpdate{Endpoints: lost})
	countReturned := func() (n int) {
		for o := range uint64(200) {
			r.now += 5 * ms
			send := r.request("page", 1000+o)
			if send.Source == 11 || send.Source == 12 {
				n++
			}
			r.finish(send, 0, OK, Hit)
		}
		return n
	}
	if n := countReturned(); n != 0 {
		t.Errorf("%d fills went to a lost parent", n)
	}
	for i := range lost {
		lost[i].State, lost[i].StartedAt = InService, r.now
	}
	r.handle(EndpointUpdate{Endpoints: lost})
	early := countReturned()
	r.now += 20 * sec
	if late := countReturned(); early >= late/2 || late < 80 {
		t.Errorf("the returned parents were the source of %d of 200 attempts at first, of %d when warmed up", early, late)
	}
}
