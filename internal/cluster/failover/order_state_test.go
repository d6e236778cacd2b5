package failover

import "testing"

// The life cycle of an order: what was sent stays so, what has ended stays so, and only a release ends a wait for one.
func TestOrderStaysSentAndEnded(t *testing.T) {
	for s := orderQueued; s < numOrderStates; s++ {
		for e := range numOrderEvents {
			next := s.after(e)
			switch {
			case s.sent() && !next.sent():
				t.Errorf("state %d, event %d: state %d forgets that the order may have been written", s, e, next)
			case s.ended() && !next.ended():
				t.Errorf("state %d, event %d: state %d is open again", s, e, next)
			case s.releasing() && !next.releasing() != (e == released):
				t.Errorf("state %d, event %d: state %d", s, e, next)
			case !s.ended() && next.ended() != (e == finished || e == finishedReleasing):
				t.Errorf("state %d, event %d: state %d", s, e, next)
			case next.releasing() && !s.ended() && e != finishedReleasing:
				t.Errorf("state %d, event %d: state %d waits for a release", s, e, next)
			}
		}
	}
}

// Each event leads to the state that it is named for, from all states in which it can happen.
func TestOrderEventLeadsToItsState(t *testing.T) {
	for name, c := range map[string]struct {
		event orderEvent
		from  []orderState
		holds func(orderState) bool
	}{
		"a request waits for a lease": {permissionRequested, []orderState{orderQueued, orderPermissionGranted, orderSent}, orderState.permissionRequested},
		"a grant ends the wait": {permissionGranted, []orderState{orderQueued, orderPermissionRequested, orderResendRequested},
			orderState.permissionGranted},
		"a used lease counts as sent": {permissionUsed,
			[]orderState{orderQueued, orderPermissionRequested, orderPermissionGranted, orderSent, orderResendRequested}, orderState.sent},
	} {
		for _, s := range c.from {
			if next := s.after(c.event); !c.holds(next) || next.ended() {
				t.Errorf("%s: state %d becomes %d", name, s, next)
			}
		}
	}
}
