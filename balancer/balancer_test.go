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
			{Name: "news", LatencyObjective: 300 * ms, Deadline: 3 * sec, Idempotency: Idempotent, Weight: 1, FreshnessLifetime: 20 * sec},
			{Name: "pay", LatencyObjective: 600 * ms, Deadline: 3 * sec, Idempotency: IdempotentByKey, DedupScope: DedupEverywhere, DedupWindow: 2 * sec, Write: true},
			{Name: "once", LatencyObjective: 600 * ms, Deadline: 3 * sec, Idempotency: NotIdempotent, Write: true},
		},
		PaceKBps: 1000, MaxAttempts: 8,
		Capabilities: Capabilities{Hedging: true, Cancellation: true, DirectAttempts: true, CoalesceFills: true},
		PurgeWindow:  6 * sec, CacheSlowStart: cold, ParentSlowStart: cold,
	}
}

// rig drives one balancer by hand.
type rig struct {
	t   *testing.T
	b   *Balancer
	now time.Duration
	id  RequestID
}

func node(id EndpointID, kind, zone string) Endpoint {
	return Endpoint{ID: id, Kind: kind, Zone: zone, Weight: 1}
}

func fleet() []Endpoint {
	return []Endpoint{node(1, "box", "edge"), node(2, "box", "edge"), node(3, "box", "edge"), node(9, "box", "elsewhere"),
		node(11, "mid", "hub"), node(12, "mid", "hub"), node(13, "mid", "hub"), node(20, "store", "hub")}
}

func newRig(t *testing.T, s Settings, list []Endpoint) *rig {
	t.Helper()
	b, err := New(s)
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{t: t, b: b, now: 100 * sec}
	r.do(EndpointUpdate{Complete: true, Endpoints: list})
	return r
}

func (r *rig) do(ev Event) []Action { return append([]Action(nil), r.b.Handle(r.now, ev)...) }

func gets(as []Action) (g []SendAttempt) {
	for _, a := range as {
		if x, ok := a.(SendAttempt); ok {
			g = append(g, x)
		}
	}
	return g
}

// ask sends a request and returns its first attempt; the zero Get if there was none.
func (r *rig) ask(class string, object uint64) SendAttempt {
	r.id++
	g := gets(r.do(Request{ID: r.id, Class: class, Object: object, Group: object % 8, Remaining: 3 * sec, SizeKB: 100}))
	if len(g) == 0 {
		return SendAttempt{}
	}
	return g[0]
}

func (r *rig) end(g SendAttempt, n int, st Status, note Detail) []Action {
	return r.do(Outcome{ID: g.ID, Attempt: n, Endpoint: g.Endpoint, Status: st, Answered: st == OK, Detail: note, Elapsed: 50 * ms})
}

// wait lets time pass with the timer running.
func (r *rig) wait(d time.Duration) (as []Action) {
	for until := r.now + d; r.now < until; {
		r.now += scanInterval
		as = append(as, r.do(Timer{Token: scanToken})...)
	}
	return as
}

// The operators print the files that the deploy file names under policy: these are all that decide, each of a size that can be
// read in one go, in lines that fit a page.
func TestPolicyFiles(t *testing.T) {
	deploy, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	// The interface, the state, and what is copied out for others decide nothing.
	plain := map[string]bool{"doc.go": true, "settings.go": true, "events.go": true, "actions.go": true, "balancer.go": true,
		"state.go": true, "classes.go": true, "status.go": true, "handover.go": true}
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
	r := newRig(t, site(), fleet())
	got := ""
	for o := uint64(1); o <= 12; o++ {
		g := r.ask("page", o)
		q := &request{Request: Request{Object: o}}
		_, second := r.b.homeParents(q)
		got += fmt.Sprintf("%d<%d,%d ", g.Endpoint, g.Source, second.id)
		r.end(g, 0, OK, Hit)
	}
	const want = "1<13,12 1<13,12 1<11,13 3<11,12 3<11,12 3<11,12 2<13,12 1<11,12 1<11,12 3<11,13 3<13,11 3<12,13 "
	if got != want {
		t.Errorf("got  %q\nwant %q", got, want)
	}
}

func TestHomeIsSharedByAllLocations(t *testing.T) {
	s := site()
	s.Topology.Zones = append(s.Topology.Zones, "elsewhere")
	a := newRig(t, s, fleet())
	s.Topology.Zone = "elsewhere"
	b := newRig(t, s, fleet())
	for o := uint64(1); o < 50; o++ {
		ga, gb := a.ask("page", o), b.ask("page", o)
		if ga.Source != gb.Source || gb.Endpoint != 9 || ga.Endpoint == 9 {
			t.Fatalf("object %d: %+v and %+v", o, ga, gb)
		}
		a.end(ga, 0, OK, Hit)
		b.end(gb, 0, OK, Hit)
	}
}

func TestWarmingNamesTheSecondHome(t *testing.T) {
	r := newRig(t, site(), fleet())
	g := r.ask("page", 5)
	r.end(g, 0, OK, Filled)
	r.now += replicationInterval / 2
	if early := r.ask("page", 5); early.Source != g.Source {
		t.Errorf("warmed before the interval was over")
	} else {
		r.end(early, 0, OK, Hit)
	}
	r.now += replicationInterval
	warm := r.ask("page", 5)
	if warm.Source == g.Source || warm.Source < 11 || warm.Source > 13 {
		t.Errorf("source %d after the interval, home is %d", warm.Source, g.Source)
	}
	r.end(warm, 0, OK, Filled)
	if again := r.ask("page", 5); again.Source != g.Source {
		t.Errorf("the copy did not start the interval anew")
	}
}

// Only what the home holds is copied: a fill that went through to the origin warms nobody.
func TestNoWarmingOfWhatTheHomeLacks(t *testing.T) {
	r := newRig(t, site(), fleet())
	g := r.ask("page", 5)
	r.end(g, 0, OK, FilledByOrigin)
	r.now += 2 * replicationInterval
	if g2 := r.ask("page", 5); g2.Source != g.Source {
		t.Errorf("source %d, want the home %d", g2.Source, g.Source)
	}
}

func TestWithoutParentsTheOriginFills(t *testing.T) {
	r := newRig(t, site(), append(fleet()[:3:3], node(20, "store", "hub")))
	if g := r.ask("page", 5); g.Source != 20 || g.Endpoint > 3 {
		t.Errorf("%+v", g)
	}
}

func TestShareRises(t *testing.T) {
	list := fleet()
	list[0].StartedAt = 100*sec - rangeRampTime/2
	r := newRig(t, site(), list)
	all, mine := 0, 0
	for o := uint64(0); o < 400; o++ {
		key := mix(o)
		m := r.b.endpoints.byID[1]
		if b := r.b.pick(&request{Request: Request{Object: o}, class: newClass(Class{})}, key, r.b.endpoints.caches, saltCache, m); b != nil &&
			r.b.score(key, m, saltCache) > r.b.score(key, b, saltCache) {
			all++
			if r.b.inOwnRange(key, m) {
				mine++
			}
		}
	}
	if part := float64(mine) / float64(all); part < 0.35 || part > 0.65 {
		t.Errorf("half-way through it owns %.2f of its range", part)
	}
}

// A location's caches or a hub's parents that come back all at once are not pushed over.
func TestColdBudget(t *testing.T) {
	list := fleet()
	for i := range list[:3] {
		list[i].StartedAt = 99 * sec
	}
	r := newRig(t, site(), list)
	spent := map[EndpointID]float64{}
	for i := range uint64(600) { // 300 a second of 0.2 s: far more than three cold caches carry
		r.now += 3 * ms
		for _, g := range gets(r.do(Request{ID: RequestID(i), Class: "page", Object: i, Remaining: 3 * sec})) {
			spent[g.Endpoint] += initialServiceTime.Seconds()
		}
	}
	usual := r.b.classes.serviceTime(r.b.load[roleClient].peak) / 2 / 3 // nothing served was seen yet
	share := 0.2 + 0.8*2.8/15
	for id := EndpointID(1); id <= 3; id++ {
		if most := 2 * share * 3 * usual; spent[id] > most {
			t.Errorf("cold cache %d was sent %.1f s of work in a window, its budget is %.1f", id, spent[id], most)
		}
	}
}

// Clients that try again and again must not widen the budget of a cold cache.
func TestColdBudgetIgnoresRetries(t *testing.T) {
	r := newRig(t, site(), fleet())
	for o := range uint64(100) {
		r.now += 200 * ms
		r.end(r.ask("page", o), 0, OK, Hit)
	}
	before := r.b.classes.serviceTime(r.b.load[roleCache].peak)
	for o := range uint64(3000) {
		r.now += ms
		r.ask("page", o)
	}
	if after := r.b.classes.serviceTime(r.b.load[roleCache].peak); after > before {
		t.Errorf("usual load %.2f after a storm of tries, %.2f before", after, before)
	}
}

// With part of the fleet lost, the usual load of one member must not seem larger.
func TestColdBudgetCountsTheLost(t *testing.T) {
	r := newRig(t, site(), fleet())
	before := r.b.endpoints.peakCapacity[roleCache]
	r.do(EndpointUpdate{Endpoints: []Endpoint{{ID: 1, Kind: "box", Zone: "edge", State: Removed}, {ID: 2, Kind: "box", Zone: "edge", State: Removed}}})
	if after := r.b.endpoints.peakCapacity[roleCache]; after != before || len(r.b.endpoints.caches) != 1 {
		t.Errorf("fleet %v after the loss, %v before, %d listed", after, before, len(r.b.endpoints.caches))
	}
}

func TestDrainsAreKept(t *testing.T) {
	r := newRig(t, site(), fleet())
	for _, id := range []EndpointID{1, 11} {
		kind, zone := "box", "edge"
		if id == 11 {
			kind, zone = "mid", "hub"
		}
		r.do(EndpointUpdate{Endpoints: []Endpoint{{ID: id, Kind: kind, Zone: zone, State: Draining}}})
	}
	for o := uint64(0); o < 60; o++ {
		g := r.ask("page", o)
		if g.Endpoint == 1 || g.Source == 11 || g.Endpoint == 0 {
			t.Fatalf("%+v", g)
		}
		r.end(g, 0, OK, Hit)
	}
}

func TestPurgeBarsOlderCopies(t *testing.T) {
	for name, p := range map[string]Purge{
		"object": {Object: 5, Age: 100 * ms}, "group": {ByGroup: true, Group: 5, Age: 100 * ms},
	} {
		r := newRig(t, site(), fleet())
		r.do(p)
		g := r.ask("page", 5)
		if g.MaxAge <= 0 || g.MaxAge >= 100*ms {
			t.Errorf("%s: age %v for a purge 100 ms ago", name, g.MaxAge)
		}
		r.now += sec
		r.end(g, 0, ConnectFailed, NoDetail)
		if again := r.ask("page", 5); again.MaxAge >= 1100*ms || again.MaxAge <= 0 {
			t.Errorf("%s: age %v a second later", name, again.MaxAge)
		}
		if other := r.ask("page", 6); other.MaxAge != 0 {
			t.Errorf("%s: another object was barred", name)
		}
	}
	r := newRig(t, site(), fleet()) // told at the very moment: 0 would mean any age
	r.do(Purge{Object: 5})
	if g := r.ask("page", 5); g.MaxAge <= 0 {
		t.Errorf("age %v", g.MaxAge)
	}
	r = newRig(t, site(), fleet()) // more purges than the table holds
	for o := range uint64(maxPurges + 10) {
		r.do(Purge{Object: o})
	}
	if g := r.ask("page", maxPurges+5); g.MaxAge <= 0 {
		t.Errorf("a purge was forgotten")
	}
}

func TestEffects(t *testing.T) {
	r := newRig(t, site(), fleet())
	g := r.ask("once", 1)
	if g.Endpoint != 20 || g.CachePriority != 0 {
		t.Errorf("a write goes straight to the origin and keeps nothing: %+v", g)
	}
	as := r.end(g, 0, Reset, NoDetail)
	if _, ok := as[0].(Fail); !ok {
		t.Errorf("after an unsafe attempt that may have run: %v", as)
	}
	g = r.ask("once", 1)
	if as = r.end(g, 0, ConnectFailed, NoDetail); len(gets(as)) != 1 {
		t.Errorf("after one that never ran: %v", as)
	}
	g = r.ask("pay", 1)
	if as = r.end(g, 0, Reset, NoDetail); len(gets(as)) != 1 {
		t.Errorf("keyed, within its window: %v", as)
	}
	g = r.ask("pay", 1)
	r.now += 2500 * ms
	if as = r.end(g, 0, Reset, NoDetail); len(gets(as)) != 0 {
		t.Errorf("keyed, after its window: %v", as)
	}
}

// A repeat goes only to a cache of the group that drops it, also of a class that is read: another group would run it again.
func TestRepeatWithinItsGroup(t *testing.T) {
	set, list := site(), fleet()
	set.Classes = append(set.Classes, Class{Name: "read", LatencyObjective: 600 * ms, Deadline: 3 * sec, Idempotency: IdempotentByKey, DedupWindow: 2 * sec})
	for i := range list {
		list[i].Cell = i % 2 // the caches of the location are in cells 0, 1 and 0
	}
	for object := range uint64(40) {
		r := newRig(t, set, list)
		g := r.ask("read", object)
		for _, again := range gets(r.end(g, 0, Reset, NoDetail)) {
			if r.b.endpoints.byID[again.Endpoint].cell != r.b.endpoints.byID[g.Endpoint].cell {
				t.Errorf("object %d: first at cell %d, then at another", object, r.b.endpoints.byID[g.Endpoint].cell)
			}
		}
	}
}

// A cache that hangs is left long before any time-out, and what waited there moves.
func TestSilentCache(t *testing.T) {
	r := newRig(t, site(), fleet())
	var stuck []SendAttempt
	for o := uint64(0); len(stuck) < 4; o++ {
		g := r.ask("page", o)
		if g.Endpoint == 1 {
			stuck = append(stuck, g)
		} else {
			r.end(g, 0, OK, Hit)
		}
	}
	cancelled := 0
	for _, a := range r.wait(1200 * ms) {
		if _, ok := a.(CancelAttempt); ok {
			cancelled++
		}
	}
	if !r.b.endpoints.byID[1].health.ejected || cancelled == 0 {
		t.Fatalf("bad %v, %d attempts called off", r.b.endpoints.byID[1].health.ejected, cancelled)
	}
	if g := gets(r.end(stuck[0], 0, Cancelled, NoDetail)); len(g) != 1 || g[0].Endpoint == 1 {
		t.Errorf("the stuck request went to %v", g)
	}
}

// A short stall makes nobody flee.
func TestShortStall(t *testing.T) {
	r := newRig(t, site(), fleet())
	for o := range uint64(30) {
		r.ask("page", o)
	}
	r.wait(300 * ms)
	for _, m := range r.b.endpoints.caches {
		if m.health.ejected {
			t.Errorf("cache %d was shunned after 300 ms", m.id)
		}
	}
}

// A source that fails behind several caches must not count against them; the second home stands in.
func TestSourceTakesTheBlame(t *testing.T) {
	r := newRig(t, site(), fleet())
	home := r.ask("page", 5)
	r.end(home, 0, Rejected, SourceUnreachable)
	for o := uint64(100); !r.b.endpoints.byID[home.Source].health.ejected; o++ {
		if o > 400 {
			t.Fatal("a source that fails every fill was never shunned")
		}
		if g := r.ask("page", o); g.Source == home.Source {
			r.end(g, 0, Rejected, SourceUnreachable)
		} else {
			r.end(g, 0, OK, Filled)
		}
	}
	for _, m := range r.b.endpoints.caches {
		if m.health.ejected || r.b.healthScore(m) < 1 {
			t.Errorf("cache %d took the blame", m.id)
		}
	}
	r.wait(5 * sec)
	r.b.endpoints.byID[home.Source].health.nextProbe = r.now + sec
	if g := r.ask("page", 5); g.Source == home.Source || g.Source < 11 || g.Source > 13 {
		t.Errorf("source %d, the home %d is bad", g.Source, home.Source)
	}
}

// A burst of misses does not fill the link: over its bound requests only look, then wait, then are refused.
func TestLinkBound(t *testing.T) {
	r := newRig(t, site(), fleet())
	fills, looks := 0, 0
	for o := range uint64(200) {
		g := r.ask("page", o)
		switch {
		case g.Endpoint == 0:
		case g.Source == g.Endpoint:
			looks++
			r.end(g, 0, Miss, NoDetail)
		case g.Source > 10:
			fills++
			r.b.link.inFlight += 1 - r.b.requests.byID[g.ID].attempts[0].fillProbability
			r.b.requests.byID[g.ID].attempts[0].fillProbability = 1
		}
	}
	if looks == 0 || float64(fills) > defaultLimit+1 {
		t.Errorf("%d fills under way, %d looks", fills, looks)
	}
	refused := 0
	for _, a := range r.wait(sec) {
		if _, ok := a.(Reject); ok {
			refused++
		}
	}
	if refused == 0 {
		t.Errorf("nobody was refused in time")
	}
}

// A hot object spills to the next score before its cache is far above the others.
func TestHotObjectSpills(t *testing.T) {
	r := newRig(t, site(), fleet())
	at := map[EndpointID]int{}
	for range 9 {
		at[r.ask("page", 5).Endpoint]++
	}
	if len(at) < 2 {
		t.Errorf("all attempts at %v", at)
	}
}

// A try shorter than the scan is answered in its time.
func TestShortTryIsAnswered(t *testing.T) {
	r := newRig(t, site(), fleet())
	for _, m := range r.b.endpoints.caches {
		m.concurrencyLimit = 0
	}
	as := r.do(Request{ID: 7, Class: "page", Object: 1, Remaining: 10 * ms})
	if _, ok := as[0].(Reject); !ok && len(gets(as)) == 0 {
		t.Errorf("held beyond its time: %v", as)
	}
}

func TestOddInput(t *testing.T) {
	r := newRig(t, site(), nil)
	r.do(Outcome{ID: 99, Endpoint: 5})
	r.do(ClientAborted{ID: 99})
	r.do(ResponseStarted{ID: 99})
	r.do(EndpointUpdate{Failed: true})
	r.do(EndpointUpdate{Complete: true, Endpoints: []Endpoint{{ID: 4, Kind: "strange", Zone: "edge"}}})
	if as := r.do(Request{ID: 1, Class: "unheard of", Remaining: sec}); len(as) == 0 {
		t.Errorf("no decision")
	}
}

// Under overload what costs little for its worth goes first.
func TestCheapGoesFirst(t *testing.T) {
	s := site()
	s.Capabilities.DirectAttempts = false
	r := newRig(t, s, fleet())
	for _, m := range r.b.endpoints.caches {
		m.concurrencyLimit = 0
	}
	for i, kb := range []float64{300, 100, 200} {
		r.do(Request{ID: RequestID(i + 1), Class: "page", Object: uint64(i), Remaining: 3 * sec, SizeKB: kb})
	}
	for _, m := range r.b.endpoints.caches {
		m.concurrencyLimit = 9
	}
	got := ""
	for _, g := range gets(r.wait(scanInterval)) {
		got += fmt.Sprint(g.ID)
	}
	if got != "231" {
		t.Errorf("resumed in the order %s", got)
	}
}

// Where nothing is told of fills, a refusal from afar counts against the source, a quick one against nobody.
func TestSlowRefusalIsTheSources(t *testing.T) {
	r := newRig(t, site(), fleet())
	first := r.ask("page", 5)
	as := r.do(Outcome{ID: first.ID, Endpoint: first.Endpoint, Status: Rejected, Elapsed: 200 * ms})
	if g := gets(as); len(g) != 1 || g[0].Endpoint != first.Endpoint || g[0].Source == first.Source {
		t.Fatalf("after the first refusal: %v, it was %v", g, first)
	}
	for o := uint64(100); o < 400 && !r.b.endpoints.byID[first.Source].health.ejected; o++ {
		if g := r.ask("page", o); g.Source == first.Source {
			r.do(Outcome{ID: g.ID, Endpoint: g.Endpoint, Status: Rejected, Elapsed: 200 * ms})
		} else {
			r.end(g, 0, OK, Filled)
		}
	}
	if !r.b.endpoints.byID[first.Source].health.ejected || r.b.endpoints.byID[first.Endpoint].health.ejected {
		t.Errorf("source bad %v, cache bad %v", r.b.endpoints.byID[first.Source].health.ejected, r.b.endpoints.byID[first.Endpoint].health.ejected)
	}
	q := newRig(t, site(), fleet())
	for range ejectAfterFailures {
		g := q.ask("page", 5)
		q.do(Outcome{ID: g.ID, Endpoint: g.Endpoint, Status: Rejected, Elapsed: ms})
	}
	for _, m := range q.b.endpoints.byID {
		if m.health.ejected {
			t.Errorf("member %d was shunned for being full", m.id)
		}
	}
}
