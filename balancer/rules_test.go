package balancer

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Tolerances of a site's rules: for attempts after an endpoint is listed as draining, and for answers after a client's
// deadline.
const drainGrace, answerSlack = 500 * ms, 8 * ms

// TestRulesUnderRandomEvents passes random valid events to balancers and checks every action against the rules. It does so
// for the settings of the tests and for two that resemble the real deployments, because the rules must not hold only by
// chance for the values of one deployment.
func TestRulesUnderRandomEvents(t *testing.T) {
	testSite := deployment{testSettings(), testEndpoints(), []string{"page", "page", "page", "news", "pay", "once"}, 0}
	for _, d := range []deployment{testSite, scoresDeployment(), episodesDeployment(), keyedDeployment()} {
		for seed := range uint64(30) {
			newRulesRun(t, seed, d).execute()
		}
	}
}

// deployment holds the settings of a balancer, its endpoint list, and the mix of classes that clients request.
type deployment struct {
	settings Settings
	list     []Endpoint
	mix      []string // classes, repeated by their relative frequency
	cells    int      // endpoints move between so many cells; 0: they stay where they are
}

// scoresDeployment resembles the first deployment: one class that is not idempotent and two that are, three zones, and up
// to six attempts.
func scoresDeployment() deployment {
	s := testSettings()
	s.Topology.Zone, s.Topology.Zones = "coastal", []string{"upper", "coastal", "river"}
	s.Topology.RoutersPerZone, s.MaxAttempts = []int{0, 3, 0}, 6
	s.Classes = []Class{
		{Name: "score", LatencyObjective: 400 * ms, ObjectiveStretch: 2, Deadline: 5 * sec, Idempotency: Idempotent, Weight: 2},
		{Name: "page", LatencyObjective: 250 * ms, ObjectiveStretch: 2, Deadline: 3 * sec, Idempotency: Idempotent, Weight: 1},
		{Name: "arrange", LatencyObjective: 700 * ms, Deadline: 3 * sec, Idempotency: NotIdempotent, Weight: 3, Write: true},
	}
	list := []Endpoint{
		listedEndpoint(11, "mid", "upper"), listedEndpoint(12, "mid", "river"), listedEndpoint(20, "store", "upper"),
		listedEndpoint(1, "box", "coastal"), listedEndpoint(2, "box", "coastal"), listedEndpoint(3, "box", "coastal"),
		listedEndpoint(4, "box", "coastal"), listedEndpoint(5, "box", "coastal"),
	}
	return deployment{s, list, []string{"score", "score", "page", "page", "arrange"}, 0}
}

// episodesDeployment resembles the second deployment: parts with a deadline of 6 s, assets that are fresh for 8 s, and a
// listen event that must never run twice.
func episodesDeployment() deployment {
	s := testSettings()
	s.Topology.Zone, s.Topology.Zones = "west", []string{"north", "west", "south"}
	s.Topology.RoutersPerZone, s.MaxAttempts = []int{0, 4, 0}, 8
	s.Classes = []Class{
		{Name: "part", LatencyObjective: 600 * ms, ObjectiveStretch: 2, Deadline: 6 * sec, Idempotency: Idempotent, Weight: 2},
		{Name: "asset", LatencyObjective: 300 * ms, ObjectiveStretch: 2, Deadline: 2500 * ms, Idempotency: Idempotent,
			Weight: 1, FreshnessLifetime: 8 * sec},
		{Name: "listen", LatencyObjective: 800 * ms, Deadline: 3 * sec, Idempotency: NotIdempotent, Weight: 3, Write: true},
	}
	list := []Endpoint{
		listedEndpoint(11, "mid", "north"), listedEndpoint(12, "mid", "west"), listedEndpoint(13, "mid", "south"),
		listedEndpoint(20, "store", "west"), listedEndpoint(1, "box", "west"), listedEndpoint(2, "box", "west"),
		listedEndpoint(9, "box", "north"),
	}
	return deployment{s, list, []string{"part", "part", "part", "part", "asset", "asset", "asset", "listen"}, 0}
}

// keyedDeployment has keyed classes of each deduplication scope, for reads and for writes. Its parents and the origin accept
// attempts, and share the zone or the cell of edge caches in some cases.
func keyedDeployment() deployment {
	list := []Endpoint{
		inCell(1, listedEndpoint(1, "box", "edge")), inCell(1, listedEndpoint(2, "box", "edge")),
		inCell(2, listedEndpoint(3, "box", "edge")), inCell(1, listedEndpoint(11, "mid", "edge")),
		inCell(3, listedEndpoint(12, "mid", "hub")), inCell(3, listedEndpoint(20, "store", "hub")),
		inCell(4, listedEndpoint(21, "store", "hub")),
	}
	return deployment{keyedSettings(), list, []string{"read in cell", "write in cell", "read in zone", "write in zone",
		"read anywhere", "pay", "page"}, 4}
}

// rulesRun passes random valid events to one balancer, and checks each of its actions against the rules.
type rulesRun struct {
	*rig
	seed     uint64
	rnd      *rand.Rand
	settings Settings
	list     []Endpoint
	mix      []string // classes, repeated by their relative frequency
	cells    int      // as in deployment
	classes  map[string]*Class

	requests  map[RequestID]*trackedRequest
	inOrder   []RequestID
	drainedAt map[EndpointID]time.Duration // when an endpoint was listed as draining or removed
	purgedAt  map[uint64]time.Duration     // by object
	timerAt   time.Duration                // when the timer is due; -1: none is set
}

// trackedRequest is what a rulesRun knows of a request.
type trackedRequest struct {
	class      *Class
	object     uint64
	deadline   time.Duration
	inFlight   map[int]trackedAttempt
	sent       int
	mayHaveRun []trackedAttempt // those that have ended
	answers    int
}

// trackedAttempt is an attempt with what it was sent with.
type trackedAttempt struct {
	SendAttempt
	at     time.Duration
	target Endpoint // the entry of the list that the balancer had then
}

func newRulesRun(t *testing.T, seed uint64, d deployment) *rulesRun {
	t.Helper()
	s := d.settings
	s.Capabilities.Hedging, s.Capabilities.CoalesceFills = seed%2 == 0, seed%3 != 0
	run := &rulesRun{
		rig: newRig(t, s, d.list), seed: seed, rnd: rand.New(rand.NewPCG(seed, 7)), settings: s, list: slices.Clone(d.list), mix: d.mix,
		cells:   d.cells,
		classes: map[string]*Class{}, requests: map[RequestID]*trackedRequest{},
		drainedAt: map[EndpointID]time.Duration{}, purgedAt: map[uint64]time.Duration{}, timerAt: -1,
	}
	for i := range s.Classes {
		run.classes[s.Classes[i].Name] = &s.Classes[i]
	}
	return run
}

// execute generates 3000 random events, which take some seconds of clock time.
func (run *rulesRun) execute() {
	for step := range 3000 {
		run.now += time.Duration(run.rnd.IntN(4)) * ms
		if run.timerAt >= 0 && run.now >= run.timerAt {
			run.timerAt = -1
			run.apply(run.handle(Timer{Token: scanToken}))
		}
		switch kind := run.rnd.IntN(20); {
		case kind < 7:
			run.sendRequest(RequestID(step + 1))
		case kind < 16 && len(run.inOrder) > 0:
			run.endRandomAttempt()
		case kind == 16:
			run.purge()
		case kind == 17:
			run.changeList()
		}
		for _, id := range run.inOrder {
			run.endOverdue(id)
			run.checkNotLost(id)
		}
	}
}

// ---- Events ----

func (run *rulesRun) sendRequest(id RequestID) {
	class := run.mix[run.rnd.IntN(len(run.mix))]
	remaining := time.Duration(20+run.rnd.IntN(int(run.classes[class].Deadline/ms))) * ms
	object := uint64(run.rnd.IntN(60))
	run.requests[id] = &trackedRequest{class: run.classes[class], object: object, deadline: run.now + remaining,
		inFlight: map[int]trackedAttempt{}}
	run.inOrder = append(run.inOrder, id)
	run.apply(run.handle(Request{ID: id, Class: class, Object: object, Group: object % 8, Remaining: remaining,
		SizeKB: float64(run.rnd.IntN(400))}))
}

// endRandomAttempt ends the first open attempt of a random request with a random status.
func (run *rulesRun) endRandomAttempt() {
	id := run.inOrder[run.rnd.IntN(len(run.inOrder))]
	for n := range 8 {
		if _, ok := run.requests[id].inFlight[n]; ok {
			run.end(id, n, Status(run.rnd.IntN(9)))
			return
		}
	}
}

func (run *rulesRun) end(id RequestID, n int, status Status) {
	q := run.requests[id]
	sent := q.inFlight[n]
	delete(q.inFlight, n)
	if !status.NeverRan() {
		q.mayHaveRun = append(q.mayHaveRun, sent)
	}
	answered := status == OK || q.answers > 0
	if status == OK && q.answers == 0 {
		q.answers++
	}
	run.apply(run.handle(Outcome{ID: id, Attempt: n, Endpoint: sent.Endpoint, Status: status,
		Elapsed: time.Duration(run.rnd.IntN(300)) * ms, Answered: answered, Detail: Detail(run.rnd.IntN(11))}))
}

// purge purges a random object, or in one of four cases its whole group.
func (run *rulesRun) purge() {
	object := uint64(run.rnd.IntN(60))
	age := time.Duration(run.rnd.IntN(300)) * ms
	if run.rnd.IntN(4) > 0 {
		run.purgedAt[object] = max(run.purgedAt[object], run.now-age)
		run.apply(run.handle(Purge{Object: object, Age: age}))
		return
	}
	for member := object % 8; member < 60; member += 8 {
		run.purgedAt[member] = max(run.purgedAt[member], run.now-age)
	}
	run.apply(run.handle(Purge{ByGroup: true, Group: object % 8, Age: age}))
}

// changeList drains, removes or restarts a random endpoint, which moves to a random cell if endpoints move.
func (run *rulesRun) changeList() {
	entry := &run.list[run.rnd.IntN(len(run.list))]
	if run.cells > 0 {
		entry.Cell = 1 + run.rnd.IntN(run.cells)
	}
	e := *entry
	e.State = EndpointState(run.rnd.IntN(3))
	if e.State == InService {
		e.StartedAt = run.now - time.Duration(run.rnd.IntN(20000))*ms
		delete(run.drainedAt, e.ID)
	} else if _, listed := run.drainedAt[e.ID]; !listed {
		run.drainedAt[e.ID] = run.now
	}
	run.apply(run.handle(EndpointUpdate{Endpoints: []Endpoint{e}}))
}

// endOverdue ends a request's open attempts as timed out at the client's deadline, as the router does.
func (run *rulesRun) endOverdue(id RequestID) {
	q := run.requests[id]
	for n := range 8 {
		if _, ok := q.inFlight[n]; ok && run.now >= q.deadline {
			run.end(id, n, TimedOut)
		}
	}
}

// ---- Rules ----

func (run *rulesRun) apply(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case SendAttempt:
			run.checkAttempt(a)
		case Reject:
			run.checkRejection(a.ID)
			run.checkFinalAnswer(a.ID)
		case Fail:
			run.checkFinalAnswer(a.ID)
		case SetTimer:
			run.timerAt = run.now + a.Delay
		}
	}
}

func (run *rulesRun) checkAttempt(a SendAttempt) {
	q := run.requests[a.ID]
	if q == nil || q.answers > 0 {
		run.t.Fatalf("seed %d: attempt for a request that is unknown or answered: %+v", run.seed, a)
	}
	run.checkHedging(q, a)
	run.checkIdempotency(q, a)
	run.checkDrained(a)
	run.checkPurged(q, a)
	q.inFlight[q.sent] = trackedAttempt{SendAttempt: a, at: run.now, target: run.listed(a.Endpoint)}
	q.sent++
	if q.sent > run.settings.MaxAttempts {
		run.t.Fatalf("seed %d: %d attempts are over the maximum", run.seed, q.sent)
	}
}

// checkHedging checks that only idempotent requests are hedged, and only where the settings allow it.
func (run *rulesRun) checkHedging(q *trackedRequest, a SendAttempt) {
	if len(q.inFlight) > 0 && (!run.settings.Capabilities.Hedging || q.class.Idempotency != Idempotent) {
		run.t.Fatalf("seed %d: second attempt in flight is not allowed: %+v", run.seed, a)
	}
}

// checkIdempotency checks that no request can take effect twice.
func (run *rulesRun) checkIdempotency(q *trackedRequest, a SendAttempt) {
	for _, earlier := range q.mayHaveRun {
		if !mayRepeat(q.class, earlier, run.listed(a.Endpoint), run.now) {
			run.t.Fatalf("seed %d: the request may take effect twice: %s: %+v after %+v", run.seed, q.class.Name, a, earlier)
		}
	}
}

// mayRepeat states the rule on duplicate effects, in the words of the operators' page.
func mayRepeat(class *Class, earlier trackedAttempt, target Endpoint, now time.Duration) bool {
	switch class.Idempotency {
	case Idempotent:
		return true
	case NotIdempotent:
		return false
	}
	sameZone := target.Zone == earlier.target.Zone
	inScope := map[DedupScope]bool{
		DedupEverywhere: true,
		DedupInZone:     sameZone,
		DedupInCell:     sameZone && target.Cell == earlier.target.Cell,
	}
	return inScope[class.DedupScope] && now-earlier.at < class.DedupWindow
}

// listed returns the entry of an endpoint in the list.
func (run *rulesRun) listed(id EndpointID) Endpoint {
	for _, e := range run.list {
		if e.ID == id {
			return e
		}
	}
	run.t.Fatalf("seed %d: endpoint %d is not listed", run.seed, id)
	return Endpoint{}
}

// checkDrained checks that nothing is sent to an endpoint that is draining or removed for longer than drainGrace.
func (run *rulesRun) checkDrained(a SendAttempt) {
	for _, id := range []EndpointID{a.Endpoint, a.Source} {
		if at, ok := run.drainedAt[id]; ok && run.now-at > drainGrace {
			run.t.Fatalf("seed %d: attempt at drained endpoint %d", run.seed, id)
		}
	}
}

// checkPurged checks that no copy from before a purge may be served.
func (run *rulesRun) checkPurged(q *trackedRequest, a SendAttempt) {
	at, ok := run.purgedAt[q.object]
	if !ok || run.now-at >= run.settings.PurgeWindow || q.class.Write {
		return
	}
	if a.MaxAge <= 0 || run.now-a.MaxAge < at {
		run.t.Fatalf("seed %d: MaxAge %v for a purge %v ago", run.seed, a.MaxAge, run.now-at)
	}
}

// checkFinalAnswer records a final answer, and checks that it is the request's first.
func (run *rulesRun) checkFinalAnswer(id RequestID) {
	q := run.requests[id]
	if q == nil || q.answers > 0 {
		run.t.Fatalf("seed %d: second final answer for request %d", run.seed, id)
	}
	q.answers++
}

// checkRejection checks that a request that may have run is not rejected unless a repeat does no harm at any endpoint, as a
// rejection invites a retry.
func (run *rulesRun) checkRejection(id RequestID) {
	q := run.requests[id]
	if q == nil || len(q.mayHaveRun) == 0 {
		return
	}
	keyedAnywhere := q.class.Idempotency == IdempotentByKey && q.class.DedupScope == DedupEverywhere
	if q.class.Idempotency != Idempotent && !keyedAnywhere {
		run.t.Fatalf("seed %d: rejected a request of class %s that may have run", run.seed, q.class.Name)
	}
}

// checkNotLost checks that a request is answered within answerSlack of the client's deadline.
func (run *rulesRun) checkNotLost(id RequestID) {
	if q := run.requests[id]; q.answers == 0 && run.now > q.deadline+answerSlack {
		run.t.Fatalf("seed %d: request %d got no answer by its deadline", run.seed, id)
	}
}

// The balancer is deterministic: the same events give the same actions.
func TestSameEventsGiveSameActions(t *testing.T) {
	hashOfActions := func() (n int) {
		r := newRig(t, testSettings(), testEndpoints())
		for o := range uint64(300) {
			r.now += ms
			send := r.request("page", o%40)
			n = n*31 + int(send.Endpoint)*7 + int(send.Source)
			if o%3 == 0 && send.Endpoint != 0 {
				r.finish(send, 0, Status(o%9), NoDetail)
			}
		}
		return n
	}
	if a, b := hashOfActions(), hashOfActions(); a != b {
		t.Errorf("two runs differ: hash of actions %d and %d", a, b)
	}
}
