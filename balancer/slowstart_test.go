package balancer

import (
	"testing"
	"time"
)

// A zone's caches or a hub's parents that come back all at once are not pushed over.
func TestSlowStartBudget(t *testing.T) {
	list := fleetList()
	for i := range list[:3] {
		list[i].StartedAt = 99 * sec
	}
	r := newRig(t, site(), list)
	spent := map[EndpointID]float64{}
	for i := range uint64(600) { // 300 a second of 0.2 s: far more than three cold caches carry
		r.now += 3 * ms
		for _, g := range sentAttempts(r.handle(Request{ID: RequestID(i), Class: "page", Object: i, Remaining: 3 * sec})) {
			spent[g.Endpoint] += initialServiceTime.Seconds()
		}
	}
	usual := r.balancer.classes.serviceTime(r.balancer.load[roleClient].peak) / 2 / 3 // nothing served was seen yet
	share := 0.2 + 0.8*2.8/15
	for id := EndpointID(1); id <= 3; id++ {
		if most := 2 * share * 3 * usual; spent[id] > most {
			t.Errorf("cold cache %d was sent %.1f s of work in a window, its budget is %.1f", id, spent[id], most)
		}
	}
}

// Clients that try again and again must not widen the budget of a cold cache.
func TestSlowStartBudgetIgnoresClientRetries(t *testing.T) {
	r := newRig(t, site(), fleetList())
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
		t.Errorf("usual load %.2f after a storm of tries, %.2f before", after, before)
	}
}

// With part of the fleet lost, the usual load of one endpoint must not seem larger.
func TestSlowStartBudgetCountsLostCapacity(t *testing.T) {
	r := newRig(t, site(), fleetList())
	before := r.balancer.endpoints.peakCapacity[roleCache]
	lost := fleetList()[:2]
	for i := range lost {
		lost[i].State = Removed
	}
	r.handle(EndpointUpdate{Endpoints: lost})
	if after := r.balancer.endpoints.peakCapacity[roleCache]; after != before || len(r.balancer.endpoints.caches) != 1 {
		t.Errorf("fleet %v after the loss, %v before, %d listed", after, before, len(r.balancer.endpoints.caches))
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
