package balancer

import (
	"slices"
	"testing"
	"time"
)

// The idempotency rule at its edges: each kind of class, each deduplication scope, and the end of the window.
func TestRepeatRuleVerdicts(t *testing.T) {
	const window = 2 * sec
	ranAt := Placement{Zone: "edge", Cell: 1}
	sameCell, sameZone, otherZone := ranAt, Placement{Zone: "edge", Cell: 2}, Placement{Zone: "hub", Cell: 1}
	keyed := func(scope DedupScope) RepeatRule {
		return RepeatRule{Idempotency: IdempotentByKey, DedupScope: scope, DedupWindow: window}
	}
	for _, test := range []struct {
		name  string
		rule  RepeatRule
		at    Placement
		after time.Duration
		want  RepeatVerdict
	}{
		{"the zero rule", RepeatRule{}, sameCell, 0, EffectNotRepeatable},
		{"not idempotent", RepeatRule{Idempotency: NotIdempotent, DedupScope: DedupEverywhere, DedupWindow: window}, sameCell, 0,
			EffectNotRepeatable},
		{"idempotent, anywhere and late", RepeatRule{Idempotency: Idempotent}, otherZone, 100 * window, RepeatHarmless},
		{"cell, same cell", keyed(DedupInCell), sameCell, 0, RepeatDeduplicated},
		{"cell, same zone", keyed(DedupInCell), sameZone, 0, OutsideDedupScope},
		{"cell, same number in another zone", keyed(DedupInCell), otherZone, 0, OutsideDedupScope},
		{"zone, same zone", keyed(DedupInZone), sameZone, 0, RepeatDeduplicated},
		{"zone, another zone", keyed(DedupInZone), otherZone, 0, OutsideDedupScope},
		{"everywhere", keyed(DedupEverywhere), otherZone, 0, RepeatDeduplicated},
		{"at the end of the window", keyed(DedupEverywhere), sameCell, window - 1, RepeatDeduplicated},
		{"after the window", keyed(DedupEverywhere), sameCell, window, DedupWindowOver},
	} {
		earlier := Execution{Placement: ranAt, SentAt: 100 * sec}
		if got := test.rule.Check(earlier, test.at, earlier.SentAt+test.after); got != test.want {
			t.Errorf("%s: %s, want %s", test.name, got, test.want)
		}
	}
}

// keyedClass returns a class whose requests are deduplicated by an idempotency key.
func keyedClass(name string, scope DedupScope, write bool) Class {
	return Class{Name: name, LatencyObjective: 600 * ms, Deadline: 3 * sec, Idempotency: IdempotentByKey, DedupScope: scope,
		DedupWindow: 2 * sec, Write: write}
}

// keyedSettings returns the settings of the tests with keyed classes of each scope, for reads and for writes. One attempt
// of a request may be in flight at a time.
func keyedSettings() Settings {
	settings := testSettings()
	settings.Capabilities.Hedging = false
	settings.Classes = append(settings.Classes,
		keyedClass("read in cell", DedupInCell, false), keyedClass("write in cell", DedupInCell, true),
		keyedClass("read in zone", DedupInZone, false), keyedClass("write in zone", DedupInZone, true),
		keyedClass("read anywhere", DedupEverywhere, false))
	return settings
}

// inCell returns the list entry of an endpoint of a cell.
func inCell(cell int, e Endpoint) Endpoint {
	e.Cell = cell
	return e
}

// drain lists an endpoint as draining.
func (r *rig) drain(e Endpoint) []Action {
	e.State = Draining
	return r.handle(EndpointUpdate{Endpoints: []Endpoint{e}})
}

// finalAnswers returns the final answers among actions.
func finalAnswers(actions []Action) (answers []Action) {
	for _, a := range actions {
		switch a.(type) {
		case Reject, Fail:
			answers = append(answers, a)
		}
	}
	return answers
}

// A keyed request that an edge cache may have run is not sent to a parent or the origin outside the cache's scope when no
// edge cache is left (review, case 2). It fails before its deadline, and only once.
func TestBypassOfCachesStaysInDedupScope(t *testing.T) {
	for _, class := range []string{"read in cell", "read in zone"} {
		for _, status := range []Status{Error, TimedOut, Reset, Cancelled} {
			cache := inCell(1, listedEndpoint(1, "box", "edge"))
			r := newRig(t, keyedSettings(), []Endpoint{cache, listedEndpoint(11, "mid", "hub"), listedEndpoint(20, "store", "hub")})
			first := r.request(class, 5)
			r.drain(cache)
			actions := append(r.finish(first, 0, status, NoDetail), r.advance(3*sec)...)
			if sent := sentAttempts(actions); len(sent) > 0 {
				t.Errorf("%s, status %d: repeated outside the scope: %+v", class, status, sent)
			}
			answers := finalAnswers(actions)
			if len(answers) != 1 || answers[0] != (Fail{ID: first.ID}) {
				t.Errorf("%s, status %d: answers %+v, want one Fail", class, status, answers)
			}
		}
	}
}

// Where no edge cache is left, a request goes on to a parent if nothing may have run, if its class is idempotent, or if the
// parent drops the repeat.
func TestBypassOfCachesMakesAllowedRepeats(t *testing.T) {
	for _, test := range []struct {
		class, parentZone string
		status            Status
		want              RepeatVerdict
	}{
		{"page", "hub", Reset, RepeatHarmless},
		{"read in cell", "hub", ConnectFailed, NothingRan},
		{"read in cell", "hub", Miss, NothingRan},
		{"read anywhere", "hub", Reset, RepeatDeduplicated},
		{"read in zone", "edge", Reset, RepeatDeduplicated},
		{"read in cell", "edge", Reset, RepeatDeduplicated},
	} {
		cache := inCell(1, listedEndpoint(1, "box", "edge"))
		parent := inCell(1, listedEndpoint(11, "mid", test.parentZone))
		r := newRig(t, keyedSettings(), []Endpoint{cache, parent, listedEndpoint(20, "store", "hub")})
		first := r.request(test.class, 5)
		r.drain(cache)
		sent := sentAttempts(r.finish(first, 0, test.status, NoDetail))
		if len(sent) != 1 || sent[0].Endpoint != 11 || sent[0].Repeat != test.want {
			t.Errorf("%s, parent in %s, status %d: %+v, want an attempt at the parent: %s", test.class, test.parentZone,
				test.status, sent, test.want)
		}
	}
}

// repeatCase is a keyed request whose first attempt may have run, with the endpoints that may get the next attempt.
type repeatCase struct {
	name, class string
	list        []Endpoint
	first       []EndpointID // one of these gets the first attempt
	change      []Endpoint   // list entries that change while the first attempt is in flight
	again       []EndpointID // one of these gets the next attempt
}

// A keyed request that may have run is repeated wherever its scope has an endpoint that takes it, also where the endpoint
// that would come first for another request lies outside.
func TestAllowedRepeatIsFound(t *testing.T) {
	origin, originDraining := inCell(3, listedEndpoint(20, "store", "hub")), inCell(3, listedEndpoint(20, "store", "hub"))
	originDraining.State = Draining
	cache1, cache2, cacheOther := inCell(1, listedEndpoint(1, "box", "edge")), inCell(1, listedEndpoint(2, "box", "edge")),
		inCell(2, listedEndpoint(3, "box", "edge"))
	parent1, parent2 := inCell(4, listedEndpoint(11, "mid", "hub")), inCell(5, listedEndpoint(12, "mid", "hub"))
	for _, test := range []repeatCase{
		{name: "write at the origin", class: "write in cell", list: []Endpoint{cache1, parent1, parent2, origin},
			first: []EndpointID{20}, again: []EndpointID{20}},
		{name: "write at a parent in the origin's zone", class: "write in zone", list: []Endpoint{cache1, parent1, origin},
			first: []EndpointID{20}, again: []EndpointID{11}},
		{name: "write at a cache, then the origin returns", class: "write in cell",
			list:  []Endpoint{cache1, cache2, cacheOther, parent1, originDraining},
			first: []EndpointID{1, 2, 3}, change: []Endpoint{origin}, again: []EndpointID{1, 2, 3}},
		{name: "read at a parent, no cache", class: "read in cell", list: []Endpoint{parent1, parent2, origin},
			first: []EndpointID{11, 12}, again: []EndpointID{11, 12}},
		{name: "read at a parent, then a cache comes", class: "read in zone", list: []Endpoint{parent1, parent2, origin},
			first: []EndpointID{11, 12}, change: []Endpoint{cache1}, again: []EndpointID{11, 12}},
		{name: "read at a cache, one other in its cell", class: "read in cell", list: []Endpoint{cache1, cache2, parent1, origin},
			first: []EndpointID{1, 2}, again: []EndpointID{1, 2}},
	} {
		for object := range uint64(20) {
			test.play(t, object)
		}
	}
}

// play sends a request for an object, resets its first attempt and checks where the next one goes.
func (c *repeatCase) play(t *testing.T, object uint64) {
	t.Helper()
	r := newRig(t, keyedSettings(), c.list)
	first := r.request(c.class, object)
	if !slices.Contains(c.first, first.Endpoint) {
		t.Fatalf("%s, object %d: first attempt %+v, want one at %v", c.name, object, first, c.first)
	}
	r.handle(EndpointUpdate{Endpoints: c.change})
	sent := sentAttempts(r.finish(first, 0, Reset, NoDetail))
	if len(sent) != 1 || !slices.Contains(c.again, sent[0].Endpoint) || sent[0].Repeat != RepeatDeduplicated {
		t.Errorf("%s, object %d: after an attempt at %d: %+v, want one at %v", c.name, object, first.Endpoint, sent, c.again)
	}
}

// An endpoint is listed in another cell, zone or role while it works on a keyed request. What counts is where it was when the
// request was sent: the endpoints that it has joined since don't know the idempotency key, and those that it has left do.
func TestRepeatStaysInScopeOfTheSend(t *testing.T) {
	moved := inCell(1, listedEndpoint(1, "box", "edge"))
	for name, test := range map[string]struct {
		class     string
		listedNow Endpoint
		others    []Endpoint
		again     EndpointID // 0: no repeat
	}{
		"other cell, a cache in the new one":  {"read in cell", inCell(2, moved), []Endpoint{inCell(2, listedEndpoint(2, "box", "edge"))}, 0},
		"other cell, a cache in the old one":  {"read in cell", inCell(2, moved), []Endpoint{inCell(1, listedEndpoint(2, "box", "edge"))}, 2},
		"other zone, a parent in the new one": {"read in zone", listedEndpoint(1, "box", "hub"), nil, 0},
		"other role":                          {"read in cell", inCell(4, listedEndpoint(1, "mid", "hub")), []Endpoint{inCell(2, listedEndpoint(2, "box", "edge"))}, 0},
		"stays":                               {"read in cell", moved, []Endpoint{inCell(2, listedEndpoint(2, "box", "edge"))}, 1},
	} {
		parent, origin := inCell(4, listedEndpoint(11, "mid", "hub")), inCell(4, listedEndpoint(20, "store", "hub"))
		r := newRig(t, keyedSettings(), []Endpoint{moved, parent, origin})
		first := r.request(test.class, 5)
		r.handle(EndpointUpdate{Endpoints: append(test.others, test.listedNow)})
		var again EndpointID
		if sent := sentAttempts(r.finish(first, 0, Reset, NoDetail)); len(sent) > 0 {
			again = sent[0].Endpoint
		}
		if first.Endpoint != 1 || again != test.again {
			t.Errorf("%s: sent to %d, then to %d, want %d", name, first.Endpoint, again, test.again)
		}
	}
}

// The rule has the last word on what any way proposes, also on a way that does not ask it.
func TestForbiddenProposalIsNotSent(t *testing.T) {
	cache, outside := inCell(1, listedEndpoint(1, "box", "edge")), inCell(2, listedEndpoint(2, "box", "edge"))
	r := newRig(t, keyedSettings(), []Endpoint{cache, listedEndpoint(20, "store", "hub")})
	first := r.request("read in cell", 5)
	r.handle(EndpointUpdate{Endpoints: []Endpoint{outside}})
	q, endpoints := r.balancer.requests.byID[first.ID], r.balancer.endpoints.byID
	q.attempts[0].state = attemptMayHaveRun
	if a := r.balancer.permitted(q, attempt{endpoint: endpoints[2]}); a.endpoint != nil {
		t.Errorf("an attempt outside the scope is permitted: %s", a.repeat)
	}
	a := r.balancer.permitted(q, attempt{endpoint: endpoints[1]})
	if a.endpoint != endpoints[1] || a.repeat != RepeatDeduplicated || a.placement != endpoints[1].placement {
		t.Errorf("an attempt within the scope: %+v, want it permitted", a)
	}
}

// While an attempt is in flight no other one is allowed, unless the class is idempotent and attempts may be hedged.
func TestOpenAttemptForbidsAnother(t *testing.T) {
	for _, test := range []struct {
		class   string
		hedging bool
		want    RepeatVerdict
	}{
		{"page", true, RepeatHarmless},
		{"page", false, AttemptOpen},
		{"pay", true, AttemptOpen},
		{"once", true, AttemptOpen},
	} {
		settings := testSettings()
		settings.Capabilities.Hedging = test.hedging
		r := newRig(t, settings, testEndpoints())
		first := r.request(test.class, 5)
		q := r.balancer.requests.byID[first.ID]
		if got := r.balancer.checkRepeatAnywhere(q); got != test.want {
			t.Errorf("%s, hedging %t: %s, want %s", test.class, test.hedging, got, test.want)
		}
	}
}

// The router does not send a request again to a cache at which it gave the request up. The request keeps its other attempts
// until another cache has room.
func TestRequestLeavesCacheThatAbandonedIt(t *testing.T) {
	for _, class := range []string{"page", "read anywhere", "pay"} {
		r := newRig(t, keyedSettings(), []Endpoint{listedEndpoint(1, "box", "edge"), listedEndpoint(2, "box", "edge"),
			listedEndpoint(11, "mid", "hub")})
		first := r.request(class, 5)
		other := r.balancer.endpoints.byID[3-first.Endpoint]
		other.concurrencyLimit = 0
		again := sentAttempts(r.finish(first, 0, Reset, NoDetail))
		if len(again) != 1 || again[0].Endpoint != first.Endpoint {
			t.Fatalf("%s: attempts %+v after a reset, want one at the only cache with room", class, again)
		}
		if actions := r.finish(again[0], 1, Abandoned, NoDetail); len(sentAttempts(actions))+len(finalAnswers(actions)) > 0 {
			t.Errorf("%s: actions %+v while the other cache is full, want none", class, actions)
		}
		other.concurrencyLimit = 9
		if sent := sentAttempts(r.advance(scanInterval)); len(sent) != 1 || sent[0].Endpoint != other.id {
			t.Errorf("%s: attempts %+v, want one at the other cache", class, sent)
		}
	}
}

// Where the only cache has abandoned a request, the request gets its one answer at once: a rejection only if a retry is harmless.
func TestRequestAbandonedByTheOnlyCacheIsAnswered(t *testing.T) {
	for class, want := range map[string]Action{
		"page": Reject{ID: 1}, "read anywhere": Reject{ID: 1}, "read in cell": Fail{ID: 1}, "write in zone": Fail{ID: 1},
	} {
		r := newRig(t, keyedSettings(), []Endpoint{listedEndpoint(1, "box", "edge"), listedEndpoint(11, "mid", "hub")})
		first := r.request(class, 5)
		if again := sentAttempts(r.finish(first, 0, Reset, NoDetail)); len(again) != 1 {
			t.Fatalf("%s: attempts %+v after a reset, want one", class, again)
		}
		answers := finalAnswers(r.finish(first, 1, Abandoned, NoDetail))
		if later := finalAnswers(r.advance(3 * sec)); len(answers) != 1 || answers[0] != want || len(later) > 0 {
			t.Errorf("%s: answers %#v at once and %#v later, want %#v and none", class, answers, later, want)
		}
	}
}
