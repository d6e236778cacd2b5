package failover

import "testing"

// An order that was sent stays sent, and one that has ended stays ended. Only the event released ends the wait for a
// release.
func TestOrderStaysSentAndEnded(t *testing.T) {
	for s := orderQueued; s < numOrderStates; s++ {
		for e := range numOrderEvents {
			next := s.after(e)
			switch {
			case s.sent() && !next.sent():
				t.Errorf("state %d, event %d: next state %d loses that the order may have been written", s, e, next)
			case s.ended() && !next.ended():
				t.Errorf("state %d, event %d: next state %d is open again", s, e, next)
			case s.releasing() && !next.releasing() != (e == released):
				t.Errorf("state %d, event %d: next state %d; only the event released ends the wait for a release", s, e, next)
			case !s.ended() && next.ended() != (e == finished || e == finishedReleasing):
				t.Errorf("state %d, event %d: next state %d; only finished and finishedReleasing end an order", s, e, next)
			case next.releasing() && !s.ended() && e != finishedReleasing:
				t.Errorf("state %d, event %d: next state %d waits for a release", s, e, next)
			}
		}
	}
}

// Each event leads to a state of the matching kind, from all states in which the event can happen.
func TestOrderEventLeadsToItsState(t *testing.T) {
	for name, c := range map[string]struct {
		event orderEvent
		from  []orderState
		holds func(orderState) bool
	}{
		"a request waits for permission": {permissionRequested,
			[]orderState{orderQueued, orderPermissionGranted, orderSent}, orderState.permissionRequested},
		"a grant ends the wait for permission": {permissionGranted,
			[]orderState{orderQueued, orderPermissionRequested, orderResendRequested}, orderState.permissionGranted},
		"a used permission counts as sent": {permissionUsed,
			[]orderState{orderQueued, orderPermissionRequested, orderPermissionGranted, orderSent, orderResendRequested}, orderState.sent},
	} {
		for _, s := range c.from {
			if next := s.after(c.event); !c.holds(next) || next.ended() {
				t.Errorf("%s: state %d changes to %d", name, s, next)
			}
		}
	}
}
