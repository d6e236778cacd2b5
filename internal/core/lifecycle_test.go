package core

import (
	"testing"

	"hillknot/internal/config"
)

// Each call leads to its one next state, from every state.
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

// A router serves once all that it waits for has come, in any order; what comes while it is on standby counts as it
// leaves.
func TestStartWaitsForAllBlockers(t *testing.T) {
	l := newLifecycle()
	l.block(predecessorActive)
	l.unblock(endpointsUnknown)
	if l.state != stateStarting {
		t.Errorf("state %d before the predecessor has handed over", l.state)
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

// Draining dates from the first call on standby, and from the latest of a shutdown.
func TestDrainingSince(t *testing.T) {
	l := lifecycle{state: stateServing}
	if !l.enterStandby(second) || l.enterStandby(2*second) || l.drainingSince != second {
		t.Errorf("on standby: draining since %v", l.drainingSince)
	}
	l.beginShutdown(3 * second)
	if l.leaveStandby() || l.drainingSince != 3*second {
		t.Errorf("shutting down: draining since %v", l.drainingSince)
	}
	limits := config.Limits{Finish: 2 * second, FinishMargin: second / 2}
	if at := l.lastAnswer(&limits); at != 4500*second/1000 {
		t.Errorf("the last answer is due at %v", at)
	}
}
