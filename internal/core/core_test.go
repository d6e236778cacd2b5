package core

import (
	"strconv"
	"testing"
	"time"

	"hillknot/balancer"
	"hillknot/internal/config"
)

// harness is a core on a clock that the test sets, with an upstream that only notes what it is told.
type harness struct {
	t           *testing.T
	core        *Core
	now         time.Duration
	outstanding []*Attempt // sent and neither ended nor given up
	maxAtOnce   int        // the most attempts of one request that were out at once
	answers     []Answer
}

func (r *harness) Send(a *Attempt) {
	r.outstanding = append(r.outstanding, a)
	n := 0
	for _, o := range r.outstanding {
		if o.owner == a.owner {
			n++
		}
	}
	r.maxAtOnce = max(r.maxAtOnce, n)
}

func (r *harness) Cancel(a *Attempt) {
	for i, o := range r.outstanding {
		if o == a {
			r.outstanding = append(r.outstanding[:i], r.outstanding[i+1:]...)
			return
		}
	}
}

func (r *harness) CloseEndpoint(*Endpoint) {}

func (r *harness) reply(a Answer) Verdict { r.answers = append(r.answers, a); return a.Verdict }

func (r *harness) finish(a *Attempt, e AttemptResult) {
	r.Cancel(a)
	r.core.CompleteAttempt(a, e)
	r.core.RunOnce()
}

func (r *harness) wait(d time.Duration) {
	for until := r.now + d; r.now < until; {
		r.now += min(5*time.Millisecond, until-r.now)
		r.core.RunOnce()
	}
}

const second = time.Second

func newHarness(t *testing.T) *harness {
	t.Helper()
	r := &harness{t: t, now: 1e6 * second}
	lim := config.Limits{Open: 100, Resolves: 10, Margin: 15 * time.Millisecond, Longest: 5 * second, AttemptGrace: 200 * time.Millisecond, FinishMargin: 200 * time.Millisecond}
	c, err := New(balancer.Settings{Topology: balancer.Topology{Zone: "edge", Zones: []string{"hub", "edge"},
		Kinds: []string{"box", "mid", "store"}, ParentKind: 1, OriginKind: 2},
		Capabilities: balancer.Capabilities{Cancellation: true}, MaxAttempts: 6, PurgeWindow: 6 * second, Classes: []balancer.Class{
			{Name: "page", LatencyObjective: 250 * time.Millisecond, ObjectiveStretch: 2, Deadline: 3 * second, Idempotency: balancer.Idempotent, Weight: 1},
			{Name: "order", LatencyObjective: 700 * time.Millisecond, Deadline: 3 * second, Weight: 3, Write: true}}},
		lim, func() time.Duration { return r.now })
	if err != nil {
		t.Fatal(err)
	}
	r.core = c
	c.SetUpstream(r)
	c.ReplaceEndpoints([]EndpointUpdate{{ID: "a", Addr: "127.1.0.1:1", Kind: "box", Zone: "edge"}, {ID: "b", Addr: "127.1.0.2:1", Kind: "box", Zone: "edge"},
		{ID: "m", Addr: "127.1.0.3:1", Kind: "mid", Zone: "hub"}, {ID: "o", Addr: "127.1.0.4:1", Kind: "store", Zone: "hub"}})
	c.RunOnce()
	return r
}

func (r *harness) submit(class string, limit time.Duration) balancer.RequestID {
	return r.submitLate(class, limit, 0)
}

// submitLate submits a request that came in some time ago.
func (r *harness) submitLate(class string, limit, ago time.Duration) balancer.RequestID {
	id := r.core.NewID()
	r.core.Submit(id, Request{Txn: strconv.Itoa(int(id)), Class: class, Object: 7, Timeout: limit, Write: class == "order",
		ArrivedAt: r.now - ago, Reply: r.reply})
	r.core.RunOnce()
	return id
}

func (r *harness) wantOneAnswer(what string, v Verdict) {
	r.t.Helper()
	if len(r.answers) != 1 || r.answers[0].Verdict != v {
		r.t.Errorf("%s: answers %+v, want one of verdict %d", what, r.answers, v)
	}
}

func TestServed(t *testing.T) {
	r := newHarness(t)
	r.submit("page", 3*second)
	if len(r.outstanding) != 1 || r.outstanding[0].Source == nil {
		t.Fatalf("attempts %+v", r.outstanding)
	}
	r.finish(r.outstanding[0], AttemptResult{Status: balancer.OK, Detail: balancer.Hit, Body: []byte("x")})
	r.wait(4 * second)
	r.wantOneAnswer("served", Served)
}

// However the attempts end, there is one answer, in time, and never two attempts at once.
func TestOneAnswer(t *testing.T) {
	for s := balancer.Error; s <= balancer.Miss; s++ {
		for _, class := range []string{"page", "order"} {
			r := newHarness(t)
			r.submit(class, 3*second)
			sent := 0
			for end := r.now + 3*second; r.now < end && len(r.answers) == 0; r.wait(20 * time.Millisecond) {
				if len(r.outstanding) > 0 {
					sent++
					r.finish(r.outstanding[0], AttemptResult{Status: s})
				}
			}
			if len(r.answers) != 1 || r.maxAtOnce != 1 {
				t.Errorf("%s, status %d: answers %+v, %d attempts at once", class, s, r.answers, r.maxAtOnce)
			}
			if class == "order" && !s.NeverRan() && (sent != 1 || r.answers[0].Verdict != Failed) {
				t.Errorf("order, status %d: %d attempts, answers %+v; what may have run is not resent", s, sent, r.answers)
			}
		}
	}
}

// A cache that says nothing: the attempt is given up and the answer is there before the client's time is over.
func TestSilence(t *testing.T) {
	r := newHarness(t)
	r.submit("order", second)
	r.wait(second - 5*time.Millisecond)
	r.wantOneAnswer("silent", Failed)
	if len(r.outstanding) != 0 {
		t.Errorf("%d attempts are still out", len(r.outstanding))
	}
}

// A page cache is told what the client has left, to the millisecond, and no more. The router's own word still ends
// the attempt first: its time is over a margin earlier.
func TestCacheIsToldWhatTheClientHasLeft(t *testing.T) {
	const ms = time.Millisecond
	for _, waited := range []time.Duration{0, 200 * ms, 700 * ms} {
		r := newHarness(t)
		r.submitLate("page", second, waited)
		if a := r.outstanding[0]; a.Timeout != second-waited {
			t.Errorf("%v after it came in: told %v", waited, a.Timeout)
		}
		r.wait(second - waited - 15*ms - ms)
		if len(r.outstanding) != 1 {
			t.Errorf("%v after it came in: given up too early", waited)
		}
		r.wait(ms)
		if len(r.outstanding) != 0 {
			t.Errorf("%v after it came in: still out as the page cache's time ends", waited)
		}
		r.wantOneAnswer("silent", Rejected)
	}
}

// A request whose time was over before it was read is refused at once: nothing is sent.
func TestRequestReadTooLate(t *testing.T) {
	r := newHarness(t)
	r.submitLate("page", second, second)
	r.wantOneAnswer("too late", Rejected)
	if r.maxAtOnce != 0 {
		t.Error("it was sent on")
	}
}

// After a cancel or a closed connection nothing is owed, but the attempt is given up.
func TestWithdraw(t *testing.T) {
	r := newHarness(t)
	id := r.submit("page", second)
	r.core.CancelRequest(id)
	r.core.RunOnce()
	r.wait(2 * second)
	if len(r.outstanding) != 0 || len(r.answers) != 0 {
		t.Errorf("%d attempts out, answers %+v", len(r.outstanding), r.answers)
	}
}

// What was decided before a drain was told must not be written after it, as target or as source.
func TestPermitAfterDrain(t *testing.T) {
	for _, drained := range []string{"node", "source"} {
		r := newHarness(t)
		r.submit("page", second)
		a := r.outstanding[0]
		m := a.Endpoint
		if drained == "source" {
			m = a.Source
		}
		if s, _ := r.core.Permit(a); s != balancer.OK {
			t.Fatalf("before: %d", s)
		}
		r.core.UpdateEndpoints([]EndpointUpdate{{ID: m.ID, Addr: m.Addr, Kind: "box", Zone: "edge", State: balancer.Draining}})
		if s, _ := r.core.Permit(a); !s.NeverRan() {
			t.Errorf("%s drained: status %d, want one that proves that it never ran", drained, s)
		}
	}
}

// An end that comes after the attempt was given up is nobody's.
func TestLateEnd(t *testing.T) {
	r := newHarness(t)
	id := r.submit("page", second)
	a := r.outstanding[0]
	r.core.CancelRequest(id)
	r.core.CompleteAttempt(a, AttemptResult{Status: balancer.OK})
	r.core.RunOnce()
	if len(r.answers) != 0 {
		t.Errorf("answers %+v", r.answers)
	}
}

// Over the limit a request is refused at once, not held.
func TestFull(t *testing.T) {
	r := newHarness(t)
	for range r.core.limits.Open {
		r.submit("page", 3*second)
	}
	before := len(r.answers)
	r.submit("page", 3*second)
	if got := r.answers[before:]; len(got) != 1 || got[0].Verdict != Rejected {
		t.Errorf("answers %+v, want a refusal", got)
	}
}

// Page caches know a request by its id: a second one under the id of one that is open gets an error, and the
// first is served as if nothing were.
func TestSameIDTwice(t *testing.T) {
	r := newHarness(t)
	for range 2 {
		r.core.Submit(r.core.NewID(), Request{Txn: "t", Class: "page", Object: 7, Timeout: second, Reply: r.reply})
		r.core.RunOnce()
	}
	r.wantOneAnswer("second", Failed)
	if len(r.outstanding) != 1 {
		t.Fatalf("%d attempts are out", len(r.outstanding))
	}
	r.finish(r.outstanding[0], AttemptResult{Status: balancer.OK})
	if len(r.answers) != 2 || r.answers[1].Verdict != Served {
		t.Errorf("answers %+v", r.answers)
	}
}

// A client that takes its request back in the moment in which it is decided: the module must be told that the
// attempt was not sent. It was once left to count it for good, and after some hundreds refused all others.
func TestWithdrawnAsItIsDecided(t *testing.T) {
	r := newHarness(t)
	for range 500 {
		id := r.core.NewID()
		r.core.Submit(id, Request{Txn: strconv.Itoa(int(id)), Class: "page", Object: 7, Timeout: second, Reply: r.reply})
		r.core.CancelRequest(id)
		r.core.RunOnce()
	}
	r.submit("page", second)
	if len(r.outstanding) != 1 || len(r.answers) != 0 {
		t.Errorf("%d attempts are out, answers %+v; want the request sent", len(r.outstanding), r.answers)
	}
}

// Each answer counts once, by whoever it was worded; what was taken back counts nowhere.
func TestFigures(t *testing.T) {
	r := newHarness(t)
	for range 3 {
		r.submit("page", 3*second)
	}
	if s := r.core.Snapshot(); s.OpenRequests != 3 || s.Endpoints != 2 || s.AvoidedEndpoints != 0 {
		t.Errorf("three are open, two page caches are well: %+v", s)
	}
	r.finish(r.outstanding[0], AttemptResult{Status: balancer.OK})
	id := r.submit("page", 3*second)
	r.core.CancelRequest(id)
	r.submit("order", second)
	r.submit("page", time.Millisecond) // less time than the margin: refused at once
	r.core.CountAnswer("what", Failed)
	r.wait(4 * second) // the rest gets no answer from its page cache
	s := r.core.Snapshot()
	if p, o, u := s.ByClass[0], s.ByClass[1], s.ByClass[2]; p != (ClassCounts{"page", 1, 3, 0}) || o != (ClassCounts{"order", 0, 0, 1}) || u != (ClassCounts{UnknownClass, 0, 0, 1}) {
		t.Errorf("tallies %+v", s.ByClass)
	}
	if s.OpenRequests != 0 {
		t.Errorf("%d are open", s.OpenRequests)
	}
}

// What drains, and what fails all that it is asked, is told as avoided; once it is well again it is not.
func TestAvoided(t *testing.T) {
	r := newHarness(t)
	r.core.UpdateEndpoints([]EndpointUpdate{{ID: "a", Addr: "127.1.0.1:1", Kind: "box", Zone: "edge", State: balancer.Draining}})
	r.core.RunOnce()
	if s := r.core.Snapshot(); s.Endpoints != 2 || s.AvoidedEndpoints != 1 {
		t.Errorf("one drains: %d of %d are avoided", s.AvoidedEndpoints, s.Endpoints)
	}
	for range 3 {
		r.submit("page", second)
		for len(r.outstanding) > 0 {
			r.finish(r.outstanding[0], AttemptResult{Status: balancer.Error})
		}
	}
	if s := r.core.Snapshot(); s.AvoidedEndpoints != 2 {
		t.Errorf("the other fails: %d are avoided", s.AvoidedEndpoints)
	}
	r.wait(2 * second)
	r.submit("page", second)
	r.finish(r.outstanding[0], AttemptResult{Status: balancer.OK, Detail: balancer.Hit})
	if s := r.core.Snapshot(); s.AvoidedEndpoints != 1 {
		t.Errorf("the other is well again: %d are avoided", s.AvoidedEndpoints)
	}
}

// Standby: what comes while the front still sends is served, then connections close, and in the end nothing new
// is taken. Active undoes it at any point; a router that ends does not come back.
func TestStandby(t *testing.T) {
	r := newHarness(t)
	r.core.limits.LeaveBehind, r.core.limits.LeaveIdle, r.core.limits.LeaveRefuse, r.core.limits.LeaveCut = second/2, second, 2*second, 3*second
	r.core.EnterStandby()
	r.core.RunOnce()
	if r.core.Snapshot().Phase != Standby || r.core.DrainStage() != NotDraining {
		t.Errorf("phase %v, leaving %d", r.core.Snapshot().Phase, r.core.DrainStage())
	}
	r.submit("page", second)
	r.finish(r.outstanding[0], AttemptResult{Status: balancer.OK})
	r.wantOneAnswer("on standby", Served)
	for _, want := range []DrainStage{CloseAfterResponse, CloseIdle, CloseIdle, RejectNew, RejectNew, CloseAll} {
		if r.wait(second / 2); r.core.DrainStage() != want {
			t.Errorf("after %v: leaving %d, want %d", r.now-r.core.lifecycle.drainingSince, r.core.DrainStage(), want)
		}
	}
	r.core.policy.maxRetryAfter = second
	r.submit("page", second)
	if a := r.answers[1]; a.Verdict != Rejected || a.RetryAfter != second || len(r.outstanding) != 0 {
		t.Errorf("at the end: %+v, %d attempts; want a refusal that says when to come back", a, len(r.outstanding))
	}
	if !r.core.LeaveStandby() {
		t.Error("not active again")
	}
	r.core.RunOnce()
	if r.submit("page", second); r.core.Snapshot().Phase != Serving || r.core.DrainStage() != NotDraining || len(r.outstanding) != 1 {
		t.Errorf("active again: phase %v, leaving %d, %d attempts", r.core.Snapshot().Phase, r.core.DrainStage(), len(r.outstanding))
	}
	r.core.BeginShutdown(r.now)
	r.core.EnterStandby()
	if r.core.LeaveStandby() || r.core.lifecycle.state.phase() != ShuttingDown {
		t.Errorf("phase %v; a router that ends goes on with that", r.core.lifecycle.state.phase())
	}
}

// Without a successor a router that ends keeps its connections; with one it leaves its clients at once. Either way
// what it still takes is answered before it ends.
func TestEnding(t *testing.T) {
	r := newHarness(t)
	r.core.limits.LeaveBehind, r.core.limits.LeaveIdle, r.core.limits.LeaveRefuse, r.core.limits.LeaveCut = second/2, second, 2*second, 3*second
	r.core.limits.Finish = 3 * second
	r.core.BeginShutdown(r.now)
	r.wait(second)
	r.submit("page", 5*second)
	if r.core.DrainStage() != NotDraining || r.core.Snapshot().Phase != ShuttingDown || len(r.outstanding) != 1 {
		t.Errorf("no successor: leaving %d, %d attempts", r.core.DrainStage(), len(r.outstanding))
	}
	r.core.SetSuccessorReady(true)
	r.core.RunOnce()
	if r.core.DrainStage() != CloseIdle {
		t.Errorf("a successor: leaving %d", r.core.DrainStage())
	}
	r.wait(2 * second)
	r.wantOneAnswer("still open", Rejected)
}

// A request open as SIGTERM comes ends, answered, before the platform may kill the process, though its client would
// wait longer: on the second deployment an episode's part waits 6 s, and the kill comes 3.7 s after SIGTERM.
// A router that ends refuses at once what comes once nothing is open any more: it could not answer it.
func TestNothingIsTakenAtTheEnd(t *testing.T) {
	r := newHarness(t)
	r.core.limits.Finish = 3 * second
	r.core.BeginShutdown(r.now)
	r.submit("page", second)
	if r.core.CloseIfIdle() {
		t.Fatal("it is empty with a request open")
	}
	r.finish(r.outstanding[0], AttemptResult{Status: balancer.OK})
	if len(r.answers) != 1 || !r.core.CloseIfIdle() {
		t.Fatalf("%d answers, then not empty", len(r.answers))
	}
	r.submit("page", second)
	if len(r.outstanding) > 0 || len(r.answers) != 2 || r.answers[1].Verdict != Rejected {
		t.Errorf("%d sent, answers %+v", len(r.outstanding), r.answers)
	}
}

func TestOpenAtStopEndsInTime(t *testing.T) {
	r := newHarness(t)
	r.core.limits.Finish = 3 * second
	r.submit("page", 5*second)
	r.wait(second)
	r.core.BeginShutdown(r.now)
	r.wait(r.core.limits.Finish - r.core.limits.FinishMargin + 10*time.Millisecond)
	r.wantOneAnswer("open at SIGTERM", Rejected)
}

// A process that follows another is not ready before it is told so, though it knows the list.
func TestHold(t *testing.T) {
	r := newHarness(t)
	r.core.HoldStart()
	r.core.RunOnce()
	if p := r.core.Snapshot().Phase; p != Starting {
		t.Errorf("phase %v", p)
	}
	r.core.ReleaseStart()
	r.core.RunOnce()
	if p := r.core.Snapshot().Phase; p != Serving {
		t.Errorf("phase %v", p)
	}
}

// A purge counts for what waits in the same turn, whatever came first, and for an attempt that was decided on
// before and is not written yet; one that is already to be younger stays so.
func TestPurgeCountsForWhatIsNotWritten(t *testing.T) {
	r := newHarness(t)
	r.submit("page", 3*second)
	r.submit("page", 3*second)
	r.core.PurgeObject(8, r.now)
	if r.outstanding[0].Decision.MaxAge != 0 {
		t.Errorf("the purge of another object: newer than %v", r.outstanding[0].Decision.MaxAge)
	}
	r.core.Post(func() {
		r.core.Submit(r.core.NewID(), Request{Txn: "late", Class: "page", Object: 7, Timeout: 3 * second, Reply: r.reply})
	})
	at := r.now
	r.now += 100 * time.Millisecond
	r.core.PostWatchEvent(func() { r.core.PurgeObject(7, at) })
	r.core.RunOnce()
	r.core.PurgeObject(7, at-second)
	if len(r.outstanding) != 3 {
		t.Fatalf("%d attempts", len(r.outstanding))
	}
	for i, a := range r.outstanding {
		if a.Decision.MaxAge <= 0 || a.Decision.MaxAge > 100*time.Millisecond {
			t.Errorf("attempt %d may be served a copy %v old, of an object purged 100 ms ago", i, a.Decision.MaxAge)
		}
	}
}

// The answer, the client's cancel and the end of its time come in one turn of the loop, in any order: the client
// has one answer or, if it cancelled first, none; and no attempt follows.
func TestAllInOneTurn(t *testing.T) {
	for _, class := range []string{"page", "order"} {
		for _, status := range []balancer.Status{balancer.OK, balancer.Error, balancer.Rejected} {
			for _, cancelFirst := range []bool{true, false} {
				r := newHarness(t)
				id := r.submit(class, second)
				a := r.outstanding[0]
				steps := []func(){func() { r.core.CancelRequest(id) }, func() { r.Cancel(a); r.core.CompleteAttempt(a, AttemptResult{Status: status}) }}
				if !cancelFirst {
					steps[0], steps[1] = steps[1], steps[0]
				}
				for _, f := range steps {
					r.core.Post(f)
				}
				r.now += second // the time is up, too
				r.core.RunOnce()
				r.wait(2 * second)
				if len(r.outstanding) > 0 || r.maxAtOnce > 1 {
					t.Errorf("%s, status %d, cancelled first %v: %d attempts out, %d at once", class, status, cancelFirst, len(r.outstanding), r.maxAtOnce)
				}
				want := 0
				if status == balancer.OK && !cancelFirst {
					want = 1
				}
				if len(r.answers) != want {
					t.Errorf("%s, status %d, cancelled first %v: answers %+v, want %d", class, status, cancelFirst, r.answers, want)
				}
			}
		}
	}
}
