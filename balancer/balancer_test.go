package balancer

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const (
	sec = time.Second
	ms  = time.Millisecond
)

func site() Settings {
	cold := SlowStartRule{InitialCapacity: 0.2, WarmUpTime: 15 * sec, OverloadFactor: 2, OverloadWindow: 3 * sec}
	return Settings{
		Topology: Topology{Zone: "edge", Zones: []string{"hub", "edge"}, RoutersPerZone: []int{0, 1},
			Kinds: []string{"box", "mid", "store"}, ParentKind: 1, OriginKind: 2},
		Classes: []Class{
			{Name: "page", LatencyObjective: 300 * ms, ObjectiveStretch: 2, Deadline: 3 * sec, Idempotency: Idempotent, Weight: 1},
			{Name: "news", LatencyObjective: 300 * ms, Deadline: 3 * sec, Idempotency: Idempotent,
				Weight: 1, FreshnessLifetime: 20 * sec},
			{Name: "pay", LatencyObjective: 600 * ms, Deadline: 3 * sec, Idempotency: IdempotentByKey,
				DedupScope: DedupEverywhere, DedupWindow: 2 * sec, Write: true},
			{Name: "once", LatencyObjective: 600 * ms, Deadline: 3 * sec, Idempotency: NotIdempotent, Write: true},
		},
		PaceKBps: 1000, MaxAttempts: 8,
		Capabilities: Capabilities{Hedging: true, Cancellation: true, DirectAttempts: true, CoalesceFills: true},
		PurgeWindow:  6 * sec, CacheSlowStart: cold, ParentSlowStart: cold,
	}
}

// rig drives one balancer by hand.
type rig struct {
	t        *testing.T
	balancer *Balancer
	now      time.Duration
	lastID   RequestID
}

func listedEndpoint(id EndpointID, kind, zone string) Endpoint {
	return Endpoint{ID: id, Kind: kind, Zone: zone, Weight: 1}
}

func fleetList() []Endpoint {
	return []Endpoint{
		listedEndpoint(1, "box", "edge"), listedEndpoint(2, "box", "edge"), listedEndpoint(3, "box", "edge"),
		listedEndpoint(9, "box", "elsewhere"),
		listedEndpoint(11, "mid", "hub"), listedEndpoint(12, "mid", "hub"), listedEndpoint(13, "mid", "hub"),
		listedEndpoint(20, "store", "hub"),
	}
}

func newRig(t *testing.T, s Settings, list []Endpoint) *rig {
	t.Helper()
	b, err := New(s)
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{t: t, balancer: b, now: 100 * sec}
	r.handle(EndpointUpdate{Complete: true, Endpoints: list})
	return r
}

func (r *rig) handle(ev Event) []Action {
	return append([]Action(nil), r.balancer.Handle(r.now, ev)...)
}

func sentAttempts(as []Action) (g []SendAttempt) {
	for _, a := range as {
		if x, ok := a.(SendAttempt); ok {
			g = append(g, x)
		}
	}
	return g
}

// ask sends a request and returns its first attempt; the zero Get if there was none.
func (r *rig) request(class string, object uint64) SendAttempt {
	r.lastID++
	g := sentAttempts(r.handle(Request{ID: r.lastID, Class: class, Object: object, Group: object % 8,
		Remaining: 3 * sec, SizeKB: 100}))
	if len(g) == 0 {
		return SendAttempt{}
	}
	return g[0]
}

func (r *rig) finish(g SendAttempt, n int, st Status, detail Detail) []Action {
	return r.handle(Outcome{ID: g.ID, Attempt: n, Endpoint: g.Endpoint, Status: st, Answered: st == OK, Detail: detail,
		Elapsed: 50 * ms})
}

// wait lets time pass with the timer running.
func (r *rig) advance(d time.Duration) (as []Action) {
	for until := r.now + d; r.now < until; {
		r.now += scanInterval
		as = append(as, r.handle(Timer{Token: scanToken})...)
	}
	return as
}

// The operators print the files that the deploy file names under policy: these are all that decide, each of a size
// that can be read in one go, in lines that fit a page.
func TestPolicyFiles(t *testing.T) {
	deploy, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	// The interface, the state, and what is copied out for others decide nothing.
	plain := map[string]bool{"doc.go": true, "settings.go": true, "events.go": true, "actions.go": true, "balancer.go": true,
		"state.go": true, "classes.go": true, "status.go": true, "snapshot.go": true}
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		if listed := strings.Contains(string(deploy), `"balancer/`+name+`"`); listed == plain[name] {
			t.Errorf("%s is listed under policy: %t", name, listed)
		}
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		lines := strings.Split(string(text), "\n")
		if len(lines) > 300 {
			t.Errorf("%s has %d lines", name, len(lines))
		}
		for i, line := range lines {
			if w := len([]rune(strings.ReplaceAll(line, "\t", "    "))); w > 130 {
				t.Errorf("%s:%d has %d columns", name, i+1, w)
			}
		}
	}
}

func TestSettingsRejected(t *testing.T) {
	for name, bend := range map[string]func(*Settings){
		"no classes":    func(s *Settings) { s.Classes = nil },
		"own location":  func(s *Settings) { s.Topology.Zone = "nowhere" },
		"negative time": func(s *Settings) { s.PurgeWindow = -1 },
		"negative aim":  func(s *Settings) { s.Classes[0].LatencyObjective = -1 },
		"parent kind":   func(s *Settings) { s.Topology.ParentKind = 3 },
	} {
		s := site()
		bend(&s)
		if _, err := New(s); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}

// Every router, of every version, must name the same nodes.
func TestHashIsPinned(t *testing.T) {
	r := newRig(t, site(), fleetList())
	got := ""
	for o := uint64(1); o <= 12; o++ {
		g := r.request("page", o)
		q := &request{Request: Request{Object: o}}
		_, second := r.balancer.homeParents(q)
		got += fmt.Sprintf("%d<%d,%d ", g.Endpoint, g.Source, second.id)
		r.finish(g, 0, OK, Hit)
	}
	const want = "1<13,12 1<13,12 1<11,13 3<11,12 3<11,12 3<11,12 2<13,12 1<11,12 1<11,12 3<11,13 3<13,11 3<12,13 "
	if got != want {
		t.Errorf("got  %q\nwant %q", got, want)
	}
}

func TestHomeIsTheSameInAllZones(t *testing.T) {
	s := site()
	s.Topology.Zones = append(s.Topology.Zones, "elsewhere")
	a := newRig(t, s, fleetList())
	s.Topology.Zone = "elsewhere"
	b := newRig(t, s, fleetList())
	for o := uint64(1); o < 50; o++ {
		ga, gb := a.request("page", o), b.request("page", o)
		if ga.Source != gb.Source || gb.Endpoint != 9 || ga.Endpoint == 9 {
			t.Fatalf("object %d: %+v and %+v", o, ga, gb)
		}
		a.finish(ga, 0, OK, Hit)
		b.finish(gb, 0, OK, Hit)
	}
}

func TestFillIsReplicatedToSecondHome(t *testing.T) {
	r := newRig(t, site(), fleetList())
	g := r.request("page", 5)
	r.finish(g, 0, OK, Filled)
	r.now += replicationInterval / 2
	if early := r.request("page", 5); early.Source != g.Source {
		t.Errorf("warmed before the interval was over")
	} else {
		r.finish(early, 0, OK, Hit)
	}
	r.now += replicationInterval
	warm := r.request("page", 5)
	if warm.Source == g.Source || warm.Source < 11 || warm.Source > 13 {
		t.Errorf("source %d after the interval, home is %d", warm.Source, g.Source)
	}
	r.finish(warm, 0, OK, Filled)
	if again := r.request("page", 5); again.Source != g.Source {
		t.Errorf("the copy did not start the interval anew")
	}
}

// Only what the home holds is copied: a fill that went through to the origin warms nobody.
func TestNoReplicationOfWhatTheHomeLacks(t *testing.T) {
	r := newRig(t, site(), fleetList())
	g := r.request("page", 5)
	r.finish(g, 0, OK, FilledByOrigin)
	r.now += 2 * replicationInterval
	if g2 := r.request("page", 5); g2.Source != g.Source {
		t.Errorf("source %d, want the home %d", g2.Source, g.Source)
	}
}

func TestWithoutParentsTheOriginFills(t *testing.T) {
	r := newRig(t, site(), append(fleetList()[:3:3], listedEndpoint(20, "store", "hub")))
	if g := r.request("page", 5); g.Source != 20 || g.Endpoint > 3 {
		t.Errorf("%+v", g)
	}
}

func TestRangeRisesAfterStart(t *testing.T) {
	list := fleetList()
	list[0].StartedAt = 100*sec - rangeRampTime/2
	r := newRig(t, site(), list)
	all, mine := 0, 0
	for o := uint64(0); o < 400; o++ {
		key := mix(o)
		m := r.balancer.endpoints.byID[1]
		q := &request{Request: Request{Object: o}, class: newClass(Class{})}
		next := r.balancer.pick(q, key, r.balancer.endpoints.caches, saltCache, m)
		if next != nil && r.balancer.score(key, m, saltCache) > r.balancer.score(key, next, saltCache) {
			all++
			if r.balancer.servesKey(key, m) {
				mine++
			}
		}
	}
	if part := float64(mine) / float64(all); part < 0.35 || part > 0.65 {
		t.Errorf("half-way through it owns %.2f of its range", part)
	}
}

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

func TestDrainingEndpointsGetNothing(t *testing.T) {
	r := newRig(t, site(), fleetList())
	for _, id := range []EndpointID{1, 11} {
		kind, zone := "box", "edge"
		if id == 11 {
			kind, zone = "mid", "hub"
		}
		r.handle(EndpointUpdate{Endpoints: []Endpoint{{ID: id, Kind: kind, Zone: zone, State: Draining}}})
	}
	for o := uint64(0); o < 60; o++ {
		g := r.request("page", o)
		if g.Endpoint == 1 || g.Source == 11 || g.Endpoint == 0 {
			t.Fatalf("%+v", g)
		}
		r.finish(g, 0, OK, Hit)
	}
}

func TestPurgeRulesOutOlderCopies(t *testing.T) {
	for name, p := range map[string]Purge{
		"object": {Object: 5, Age: 100 * ms}, "group": {ByGroup: true, Group: 5, Age: 100 * ms},
	} {
		r := newRig(t, site(), fleetList())
		r.handle(p)
		g := r.request("page", 5)
		if g.MaxAge <= 0 || g.MaxAge >= 100*ms {
			t.Errorf("%s: age %v for a purge 100 ms ago", name, g.MaxAge)
		}
		r.now += sec
		r.finish(g, 0, ConnectFailed, NoDetail)
		if again := r.request("page", 5); again.MaxAge >= 1100*ms || again.MaxAge <= 0 {
			t.Errorf("%s: age %v a second later", name, again.MaxAge)
		}
		if other := r.request("page", 6); other.MaxAge != 0 {
			t.Errorf("%s: another object was barred", name)
		}
	}
	r := newRig(t, site(), fleetList()) // told at the very moment: 0 would mean any age
	r.handle(Purge{Object: 5})
	if g := r.request("page", 5); g.MaxAge <= 0 {
		t.Errorf("age %v", g.MaxAge)
	}
	r = newRig(t, site(), fleetList()) // more purges than the table holds
	for o := range uint64(maxPurges + 10) {
		r.handle(Purge{Object: o})
	}
	if g := r.request("page", maxPurges+5); g.MaxAge <= 0 {
		t.Errorf("a purge was forgotten")
	}
}

func TestRetriesByIdempotency(t *testing.T) {
	r := newRig(t, site(), fleetList())
	g := r.request("once", 1)
	if g.Endpoint != 20 || g.CachePriority != 0 {
		t.Errorf("a write goes straight to the origin and keeps nothing: %+v", g)
	}
	as := r.finish(g, 0, Reset, NoDetail)
	if _, ok := as[0].(Fail); !ok {
		t.Errorf("after an unsafe attempt that may have run: %v", as)
	}
	g = r.request("once", 1)
	if as = r.finish(g, 0, ConnectFailed, NoDetail); len(sentAttempts(as)) != 1 {
		t.Errorf("after one that never ran: %v", as)
	}
	g = r.request("pay", 1)
	if as = r.finish(g, 0, Reset, NoDetail); len(sentAttempts(as)) != 1 {
		t.Errorf("keyed, within its window: %v", as)
	}
	g = r.request("pay", 1)
	r.now += 2500 * ms
	if as = r.finish(g, 0, Reset, NoDetail); len(sentAttempts(as)) != 0 {
		t.Errorf("keyed, after its window: %v", as)
	}
}

// A repeat goes only to a cache of the group that drops it, also of a class that is read: another group would run
// it again.
func TestRetryStaysInDedupScope(t *testing.T) {
	set, list := site(), fleetList()
	set.Classes = append(set.Classes, Class{Name: "read", LatencyObjective: 600 * ms, Deadline: 3 * sec,
		Idempotency: IdempotentByKey, DedupWindow: 2 * sec})
	for i := range list {
		list[i].Cell = i % 2 // the caches of the location are in cells 0, 1 and 0
	}
	for object := range uint64(40) {
		r := newRig(t, set, list)
		g := r.request("read", object)
		for _, again := range sentAttempts(r.finish(g, 0, Reset, NoDetail)) {
			if r.balancer.endpoints.byID[again.Endpoint].cell != r.balancer.endpoints.byID[g.Endpoint].cell {
				t.Errorf("object %d: first at cell %d, then at another", object, r.balancer.endpoints.byID[g.Endpoint].cell)
			}
		}
	}
}

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

// A hot object spills to the next score before its cache is far above the others.
func TestHotObjectSpillsOver(t *testing.T) {
	r := newRig(t, site(), fleetList())
	at := map[EndpointID]int{}
	for range 9 {
		at[r.request("page", 5).Endpoint]++
	}
	if len(at) < 2 {
		t.Errorf("all attempts at %v", at)
	}
}

// A try shorter than the scan is answered in its time.
func TestShortDeadlineIsMet(t *testing.T) {
	r := newRig(t, site(), fleetList())
	for _, m := range r.balancer.endpoints.caches {
		m.concurrencyLimit = 0
	}
	as := r.handle(Request{ID: 7, Class: "page", Object: 1, Remaining: 10 * ms})
	if _, ok := as[0].(Reject); !ok && len(sentAttempts(as)) == 0 {
		t.Errorf("held beyond its time: %v", as)
	}
}

func TestUnknownIDsAreIgnored(t *testing.T) {
	r := newRig(t, site(), nil)
	r.handle(Outcome{ID: 99, Endpoint: 5})
	r.handle(ClientAborted{ID: 99})
	r.handle(ResponseStarted{ID: 99})
	r.handle(EndpointUpdate{Failed: true})
	r.handle(EndpointUpdate{Complete: true, Endpoints: []Endpoint{{ID: 4, Kind: "strange", Zone: "edge"}}})
	if as := r.handle(Request{ID: 1, Class: "unheard of", Remaining: sec}); len(as) == 0 {
		t.Errorf("no decision")
	}
}

// Under overload what costs little for its worth goes first.
func TestQueueServesCheapestFirst(t *testing.T) {
	s := site()
	s.Capabilities.DirectAttempts = false
	r := newRig(t, s, fleetList())
	for _, m := range r.balancer.endpoints.caches {
		m.concurrencyLimit = 0
	}
	for i, kb := range []float64{300, 100, 200} {
		r.handle(Request{ID: RequestID(i + 1), Class: "page", Object: uint64(i), Remaining: 3 * sec, SizeKB: kb})
	}
	for _, m := range r.balancer.endpoints.caches {
		m.concurrencyLimit = 9
	}
	got := ""
	for _, g := range sentAttempts(r.advance(scanInterval)) {
		got += fmt.Sprint(g.ID)
	}
	if got != "231" {
		t.Errorf("resumed in the order %s", got)
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
