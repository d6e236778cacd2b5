package balancer

import (
	"testing"
	"time"
)

// Caches of a zone that restart all at once must not be sent more than their slow-start budgets.
func TestRestartedCachesStayWithinBudget(t *testing.T) {
	list := testEndpoints()
	for i := range list[:3] {
		list[i].StartedAt = 99 * sec
	}
	r := newRig(t, testSettings(), list)
	sentTime := map[EndpointID]float64{}
	for i := range uint64(600) { // about 300 a second of 0.2 s each, far more than three caches in slow start serve
		r.now += 3 * ms
		for _, send := range sentAttempts(r.handle(Request{ID: RequestID(i), Class: "page", Object: i, Remaining: 3 * sec})) {
			sentTime[send.Endpoint] += initialServiceTime.Seconds()
		}
	}
	// Nothing has been served yet, so half of the requested load counts, for three caches.
	usual := r.balancer.classes.serviceTime(r.balancer.load[roleClient].peak) / 2 / 3
	warmFraction := 0.2 + 0.8*2.8/15
	for id := EndpointID(1); id <= 3; id++ {
		if budget := 2 * warmFraction * 3 * usual; sentTime[id] > budget {
			t.Errorf("cache %d was sent %.1f s of service time in a window, its budget is %.1f s", id, sentTime[id], budget)
		}
	}
}

// Clients that retry again and again must not raise the budget of a cache in slow start.
func TestSlowStartBudgetIgnoresClientRetries(t *testing.T) {
	r := newRig(t, testSettings(), testEndpoints())
	for o := range uint64(100) {
		r.now += 200 * ms
		r.finish(r.request("page", o), 0, OK, Hit)
	}
	before := r.balancer.classes.serviceTime(r.balancer.load[roleCache].peak)
	for o := range uint64(3000) {
		r.now += ms
		r.request("page", o)
	}
	if after := r.balancer.classes.serviceTime(r.balancer.load[roleCache].peak); after > before {
		t.Errorf("usual load %.2f after many retries, %.2f before", after, before)
	}
}

// With part of the caches lost, the usual load of a single endpoint must not seem larger.
func TestSlowStartBudgetCountsLostCapacity(t *testing.T) {
	r := newRig(t, testSettings(), testEndpoints())
	before := r.balancer.endpoints.peakCapacity[roleCache]
	lost := testEndpoints()[:2]
	for i := range lost {
		lost[i].State = Removed
	}
	r.handle(EndpointUpdate{Endpoints: lost})
	if after := r.balancer.endpoints.peakCapacity[roleCache]; after != before || len(r.balancer.endpoints.caches) != 1 {
		t.Errorf("peak capacity %v after the loss, %v before, %d caches listed", after, before, len(r.balancer.endpoints.caches))
	}
}

// A router that has run for a few seconds must compute its usual load from these seconds alone. A mean that counts the
// time before the router's start as idle would send a cache in slow start a third of what it may be sent, until the
// cache has warmed up.
func TestUsualLoadIgnoresTimeBeforeRouterStart(t *testing.T) {
	for _, age := range []time.Duration{3 * sec, 5 * sec, 60 * sec} {
		r := newRig(t, testSettings(), testEndpoints())
		for until := r.now + age; r.now < until; r.now += 50 * ms {
			r.finish(r.request("page", uint64(r.lastID)), 0, OK, Hit)
		}
		// 20 requests per second of 0.1 s each are a load of 2.
		if peak := r.balancer.classes.serviceTime(r.balancer.load[roleCache].peak); peak < 1.8 || peak > 2.4 {
			t.Errorf("after %v: usual load %.2f s of service time per second, want about 2", age, peak)
		}
	}
}

// During a release, the new endpoints are listed while the old ones drain. The peak capacity must only count endpoints
// that served at the same time. If both counted, each new endpoint would get half of what it may be sent, for as long as
// the router runs.
func TestReleaseKeepsSlowStartBudget(t *testing.T) {
	drained, fresh := testEndpoints()[:3], []Endpoint{}
	for i := range drained {
		drained[i].State = Draining
		e := listedEndpoint(EndpointID(5+i), "box", "edge")
		e.StartedAt = 100 * sec
		fresh = append(fresh, e)
	}
	for _, order := range [][2][]Endpoint{{drained, fresh}, {fresh, drained}} { // old ones drain first or last
		r := newRig(t, testSettings(), testEndpoints())
		r.handle(EndpointUpdate{Endpoints: order[0]})
		r.handle(EndpointUpdate{Endpoints: order[1]})
		if n := r.balancer.endpoints.peakCapacity[roleCache]; n != 3 {
			t.Errorf("peak capacity %v after the release, want 3", n)
		}
		r = newRig(t, testSettings(), append(fresh, listedEndpoint(1, "box", "edge")))
		// A router that starts during the release counts all caches that are in service.
		if n := r.balancer.endpoints.peakCapacity[roleCache]; n != 4 {
			t.Errorf("peak capacity %v at the router's start, want 4", n)
		}
	}
}

// A router may start under overload together with all caches of its zone. It then only knows the requested load, which is
// many times what the caches ever served. What it sends a cache in slow start must stay within what the caches' links
// carry.
func TestNewRouterUnderOverloadKeepsSlowStartBudget(t *testing.T) {
	s := testSettings()
	s.LinkKBps = []float64{0, 6000} // the zone's link fits 6 transfers
	list := testEndpoints()
	for i := range list {
		list[i].StartedAt = 100 * sec // the rig's clock at its start
	}
	r := newRig(t, s, list)
	sent := map[EndpointID]float64{}
	for r.now < 104*sec {
		r.now += 10 * ms
		for range 5 { // 500 requests per second of 0.1 s each
			if send := r.request("page", uint64(r.lastID)); send.Endpoint != 0 {
				if r.now >= 102*sec {
					sent[send.Endpoint] += 0.1
				}
				r.finish(send, 0, OK, Filled)
			}
		}
	}
	e := r.balancer.endpoints.byID[1]
	warmFraction := s.CacheSlowStart.InitialCapacity + (1-s.CacheSlowStart.InitialCapacity)*4/15
	if maxLoad := s.CacheSlowStart.OverloadFactor * warmFraction * e.concurrencyLimit / cacheLimitFactor * 2; sent[1] == 0 ||
		sent[1] > maxLoad {
		t.Errorf("a cache in slow start was sent %.1f s of service time in 2 s, its link allows %.1f s", sent[1], maxLoad)
	}
}
