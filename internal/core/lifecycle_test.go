package core

import (
	"testing"
	"time"

	"hillknot/balancer"
	"hillknot/internal/cluster/state"
	"hillknot/internal/config"
)

// Each call leads from each state to exactly one next state.
func TestLifecycleTransitions(t *testing.T) {
	calls := []struct {
		name string
		call func(*lifecycle)
		next [5]lifecycleState // from starting, serving, standby, shutting down and closed
	}{
		{"block", func(l *lifecycle) { l.block(predecessorActive) },
			[5]lifecycleState{stateStarting, stateStarting, stateStandby, stateShuttingDown, stateClosed}},
		{"unblock", func(l *lifecycle) { l.unblock(endpointsUnknown) },
			[5]lifecycleState{stateServing, stateServing, stateStandby, stateShuttingDown, stateClosed}},
		{"enter standby", func(l *lifecycle) { l.enterStandby(second) },
			[5]lifecycleState{stateStandby, stateStandby, stateStandby, stateShuttingDown, stateClosed}},
		{"leave standby", func(l *lifecycle) { l.leaveStandby() },
			[5]lifecycleState{stateStarting, stateServing, stateServing, stateShuttingDown, stateClosed}},
		{"begin shutdown", func(l *lifecycle) { l.beginShutdown(second) },
			[5]lifecycleState{stateShuttingDown, stateShuttingDown, stateShuttingDown, stateShuttingDown, stateClosed}},
		{"close", func(l *lifecycle) { l.close() },
			[5]lifecycleState{stateStarting, stateServing, stateStandby, stateClosed, stateClosed}},
	}
	for _, c := range calls {
		for from, want := range c.next {
			l := lifecycle{state: lifecycleState(from)}
			if l.state == stateStarting {
				l.blockers = endpointsUnknown
			}
			if c.call(&l); l.state != want {
				t.Errorf("%s in state %d leads to state %d, want %d", c.name, from, l.state, want)
			}
		}
	}
}

// A router serves once no blocker is left, in whatever order they are removed. A blocker that is removed on standby counts
// once the router leaves standby.
func TestStartWaitsForAllBlockers(t *testing.T) {
	l := newLifecycle()
	l.block(predecessorActive)
	l.unblock(endpointsUnknown)
	if l.state != stateStarting {
		t.Errorf("state %d, want starting before the predecessor has handed over", l.state)
	}
	l.enterStandby(second)
	l.unblock(predecessorActive)
	if l.state != stateStandby {
		t.Errorf("state %d, want standby", l.state)
	}
	if l.leaveStandby(); l.state != stateServing || l.drainingSince != 0 {
		t.Errorf("state %d, draining since %v; want serving", l.state, l.drainingSince)
	}
}

// Draining counts from the first call of enterStandby, and in a shutdown from the latest call of beginShutdown.
func TestDrainingSince(t *testing.T) {
	l := lifecycle{state: stateServing}
	if !l.enterStandby(second) || l.enterStandby(2*second) || l.drainingSince != second {
		t.Errorf("on standby: draining since %v", l.drainingSince)
	}
	l.beginShutdown(3 * second)
	if l.leaveStandby() || l.drainingSince != 3*second {
		t.Errorf("shutting down: draining since %v", l.drainingSince)
	}
	limits := config.Limits{ShutdownTimeout: 2 * second, ShutdownAnswerMargin: second / 2}
	if at := l.shutdownDeadline(&limits); at != 4500*second/1000 {
		t.Errorf("the shutdown deadline is %v", at)
	}
}

// On standby requests are served at first, then connections close, and in the end requests are rejected. LeaveStandby
// ends the standby at any stage, except that a router that shuts down does not serve again.
func TestStandbyDrainsInStages(t *testing.T) {
	h := newHarness(t)
	h.setDrainTimes()
	h.core.EnterStandby()
	h.core.RunOnce()
	if h.core.Snapshot().Phase != Standby || h.core.DrainStage() != NotDraining {
		t.Errorf("after EnterStandby: phase %v, stage %d, want standby and 0", h.core.Snapshot().Phase, h.core.DrainStage())
	}
	h.submit("page", second)
	h.finish(h.outstanding[0], AttemptResult{Status: balancer.OK})
	h.wantOneAnswer("on standby", Served)
	for _, want := range []DrainStage{CloseAfterResponse, CloseIdle, CloseIdle, RejectNew, RejectNew, CloseAll} {
		if h.wait(second / 2); h.core.DrainStage() != want {
			t.Errorf("after %v: stage %d, want %d", h.now-h.core.lifecycle.drainingSince, h.core.DrainStage(), want)
		}
	}
	h.core.policy.maxRetryAfter = second
	h.submit("page", second)
	if a := h.answers[1]; a.Verdict != Rejected || a.RetryAfter != second || len(h.outstanding) != 0 {
		t.Errorf("in the last drain stage: %+v, %d attempts; want a rejection with the time to retry after", a, len(h.outstanding))
	}
	if !h.core.LeaveStandby() {
		t.Error("LeaveStandby reports that the router does not serve again")
	}
	h.core.RunOnce()
	h.submit("page", second)
	phase, stage := h.core.Snapshot().Phase, h.core.DrainStage()
	if phase != Serving || stage != NotDraining || len(h.outstanding) != 1 {
		t.Errorf("after LeaveStandby: phase %v, stage %d, %d attempts", phase, stage, len(h.outstanding))
	}
	h.core.BeginShutdown(h.now)
	h.core.EnterStandby()
	if h.core.LeaveStandby() || h.core.lifecycle.state.phase() != ShuttingDown {
		t.Errorf("phase %v; a router that shuts down must keep that phase", h.core.lifecycle.state.phase())
	}
}

// Without a successor a router that shuts down keeps its connections; with one it drains its clients at once. Either way
// the requests that it still takes are answered before the process ends.
func TestShutdownDrainsOnlyWithSuccessor(t *testing.T) {
	h := newHarness(t)
	h.setDrainTimes()
	h.core.limits.ShutdownTimeout = 3 * second
	h.core.BeginShutdown(h.now)
	h.wait(second)
	h.submit("page", 5*second)
	if h.core.DrainStage() != NotDraining || h.core.Snapshot().Phase != ShuttingDown || len(h.outstanding) != 1 {
		t.Errorf("without a successor: stage %d, %d attempts", h.core.DrainStage(), len(h.outstanding))
	}
	h.core.SetSuccessorReady(true)
	h.core.RunOnce()
	if h.core.DrainStage() != CloseIdle {
		t.Errorf("with a successor: stage %d", h.core.DrainStage())
	}
	h.wait(2 * second)
	h.wantOneAnswer("still open", Rejected)
}

// Once nothing is open any more, a router that shuts down rejects new requests at once, as it could not answer them
// later.
func TestClosedRouterRejectsRequests(t *testing.T) {
	h := newHarness(t)
	h.core.limits.ShutdownTimeout = 3 * second
	h.core.BeginShutdown(h.now)
	h.submit("page", second)
	if h.core.CloseIfNothingOpen() {
		t.Fatal("the router is closed with a request open")
	}
	h.finish(h.outstanding[0], AttemptResult{Status: balancer.OK})
	if len(h.answers) != 1 || !h.core.CloseIfNothingOpen() {
		t.Fatalf("%d answers, want 1 and the router closed", len(h.answers))
	}
	h.submit("page", second)
	if len(h.outstanding) > 0 || len(h.answers) != 2 || h.answers[1].Verdict != Rejected {
		t.Errorf("after the close: %d sent, answers %+v; want a rejection", len(h.outstanding), h.answers)
	}
}

// A request that is open at SIGTERM is answered before the platform may kill the process, although its client would wait
// longer: on the second deployment the client of an episode's part waits 6 s, and the kill comes 3.7 s after SIGTERM.
func TestShutdownAnswersOpenRequestsInTime(t *testing.T) {
	h := newHarness(t)
	h.core.limits.ShutdownTimeout = 3 * second
	h.submit("page", 5*second)
	h.wait(second)
	h.core.BeginShutdown(h.now)
	h.wait(h.core.limits.ShutdownTimeout - h.core.limits.ShutdownAnswerMargin + 10*time.Millisecond)
	h.wantOneAnswer("open at SIGTERM", Rejected)
}

// A process with a predecessor is not ready before the predecessor has handed over, even if it knows the endpoints.
func TestHoldStartKeepsStarting(t *testing.T) {
	h := newHarness(t)
	h.core.HoldStart()
	h.core.RunOnce()
	if p := h.core.Snapshot().Phase; p != Starting {
		t.Errorf("after HoldStart: phase %v, want starting", p)
	}
	h.core.ReleaseStart()
	h.core.RunOnce()
	if p := h.core.Snapshot().Phase; p != Serving {
		t.Errorf("after ReleaseStart: phase %v, want serving", p)
	}
}

// A process spends nothing of the shared budgets while a predecessor runs that has not answered that it is replaced: both spent the shares
// of their router when the predecessor had been stopped as its successor started (review, case 10).
func TestNothingIsSpentBesideAnUnheardPredecessor(t *testing.T) {
	h := newHarness(t)
	s, err := NewClusterState(ClusterSettings{State: state.Defaults("r1", 11, 2), Retries: state.BudgetLimits{Rate: 100, Burst: 100}})
	if err != nil {
		t.Fatal(err)
	}
	h.core.SetPredecessorUnheard(true)
	h.core.JoinCluster(s, &recordingPeers{})
	h.wait(5 * second)
	if s.AdmitRetry(h.now) {
		t.Error("a retry is admitted beside a predecessor that has not answered")
	}
	h.core.SetPredecessorUnheard(false)
	h.wait(second)
	if !s.AdmitRetry(h.now) {
		t.Error("no retry is admitted once the predecessor has answered")
	}
}
