package balancer

import (
	"testing"
	"time"
)

// fail ends what is sent to a node in the given way until the balancer avoids it.
func (r *rig) failUntilEjected(id EndpointID, st Status) {
	r.t.Helper()
	for o := uint64(1000); !r.balancer.endpoints.byID[id].health.ejected; o++ {
		if o > 1200 {
			r.t.Fatalf("node %d was never ejected", id)
		}
		r.now += ms
		if g := r.request("page", o); g.Endpoint == id {
			r.finish(g, 0, st, NoDetail)
		} else if g.Endpoint != 0 {
			r.finish(g, 0, OK, Hit)
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

// A mass purge of all groups bars every old copy at once.
func TestMassPurge(t *testing.T) {
	r := newRig(t, site(), fleetList())
	for g := range uint64(8) {
		r.handle(Purge{ByGroup: true, Group: g, Age: 50 * ms})
	}
	for o := range uint64(40) {
		g := r.request("page", o)
		if g.MaxAge <= 0 || g.MaxAge >= 50*ms {
			t.Fatalf("object %d: age %v", o, g.MaxAge)
		}
		r.finish(g, 0, OK, Filled)
	}
}

// Near the start of the clock a purge may lie before its zero.
func TestPurgeBeforeClockStart(t *testing.T) {
	b, err := New(site())
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{t: t, balancer: b, now: 20 * ms}
	r.handle(EndpointUpdate{Complete: true, Endpoints: fleetList()})
	r.handle(Purge{Object: 5, Age: 80 * ms})
	if g := r.request("page", 5); g.MaxAge <= 0 || g.MaxAge > 100*ms {
		t.Errorf("age %v", g.MaxAge)
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

// late answers a request after the given time, however long the balancer's clock must move for it.
func (r *rig) finishAfter(g SendAttempt, took time.Duration, note Detail) {
	r.now += took
	waited := time.Duration(0)
	if note == FilledByOrigin {
		waited = took
	}
	r.handle(Outcome{ID: g.ID, Endpoint: g.Endpoint, Status: OK, Answered: true, Detail: note, Elapsed: took, SourceWait: waited})
}

// share counts how many of 300 objects a endpoint owns.
func (r *rig) rangeOf(id EndpointID) (n int) {
	for o := range uint64(300) {
		if r.balancer.servesKey(o, r.balancer.endpoints.byID[id]) {
			n++
		}
	}
	return n
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

// Many routers that each see few requests share one cache and one parent in slow start. No router knows of the
// others, and still their sum stays within the rule in every window, while the endpoint gets requests well before
// it has warmed up.
func TestManyRoutersWarmUpOneEndpoint(t *testing.T) {
	const cache, parent = 0, 4 // places in the list
	for _, restarted := range []Endpoint{fleetList()[cache], fleetList()[parent]} {
		run := newWarmUpRun(t, restarted)
		for step := 0; run.now < run.restartAt+15*sec; step++ {
			run.step(step)
		}
		run.checkRule()
		run.checkEarlyLoad()
	}
}

// warmUpRun is many routers that send requests in turn, while one endpoint restarts.
type warmUpRun struct {
	t         *testing.T
	settings  Settings
	rigs      []*rig
	restarted Endpoint
	now       time.Duration
	restartAt time.Duration
	usual     float64 // load of the endpoint before its restart, in seconds of service time per second
	sent      []sentWork
}

// sentWork is an attempt at the endpoint after its restart.
type sentWork struct{ at, serviceTime float64 }

func newWarmUpRun(t *testing.T, restarted Endpoint) *warmUpRun {
	t.Helper()
	const routers = 60
	run := &warmUpRun{t: t, settings: site(), restarted: restarted, now: 100 * sec, restartAt: 130 * sec}
	run.settings.Topology.RoutersPerZone = []int{0, routers}
	for range routers {
		run.rigs = append(run.rigs, newRig(t, run.settings, fleetList()))
	}
	return run
}

// step lets the next router send a request: each sends about two a second, of which one in three is no hit.
func (run *warmUpRun) step(step int) {
	run.now += 500 * ms / time.Duration(len(run.rigs))
	turn := step % len(run.rigs)
	r := run.rigs[turn]
	r.now = run.now
	if turn == 0 && run.now >= run.restartAt && r.balancer.endpoints.byID[run.restarted.ID].startedAt == 0 {
		run.restart()
	}
	a := r.request("page", uint64(step)*2654435761>>8)
	if a.Endpoint == 0 {
		return
	}
	detail, fill := Hit, step%3 == 0
	if fill && a.Source != a.Endpoint {
		detail = Filled
	}
	if a.Endpoint == run.restarted.ID || detail == Filled && a.Source == run.restarted.ID {
		run.count(r.balancer.classes.byName["page"].serviceTime)
	}
	if a.Source == a.Endpoint && fill {
		r.finish(a, 0, Miss, NoDetail)
	} else {
		r.finish(a, 0, OK, detail)
	}
}

func (run *warmUpRun) restart() {
	run.restarted.StartedAt = run.now
	for _, r := range run.rigs {
		r.now = run.now
		r.handle(EndpointUpdate{Endpoints: []Endpoint{run.restarted}})
	}
}

func (run *warmUpRun) count(serviceTime float64) {
	if run.now < run.restartAt {
		run.usual += serviceTime / 30
	} else {
		run.sent = append(run.sent, sentWork{(run.now - run.restartAt).Seconds(), serviceTime})
	}
}

// checkRule: no window holds more than the rule allows of the capacity that the endpoint has shown, as far as it
// has warmed up.
func (run *warmUpRun) checkRule() {
	run.t.Helper()
	rule := run.settings.CacheSlowStart
	for i, a := range run.sent {
		total := 0.0
		for _, x := range run.sent[:i+1] {
			if x.at > a.at-rule.OverloadWindow.Seconds() {
				total += x.serviceTime
			}
		}
		warm := rule.InitialCapacity + (1-rule.InitialCapacity)*a.at/rule.WarmUpTime.Seconds()
		most := rule.OverloadFactor * warm * rule.OverloadWindow.Seconds() * run.usual * 1.1
		if total > most {
			run.t.Fatalf("endpoint %d, %.1f s after its start: %.2f s of service time in a window, the rule allows %.2f",
				run.restarted.ID, a.at, total, most)
		}
	}
}

func (run *warmUpRun) checkEarlyLoad() {
	run.t.Helper()
	early := 0.0
	for _, a := range run.sent {
		if a.at < 10 {
			early += a.serviceTime
		}
	}
	if early < run.usual {
		run.t.Errorf("endpoint %d was sent %.2f s of service time in its first 10 s, before its restart %.2f a second",
			run.restarted.ID, early, run.usual)
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
