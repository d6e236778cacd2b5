package policy

import (
	"testing"
	"time"
)

func TestCallWithTooLittleTimeEndsAtOnce(t *testing.T) {
	s := newSimulation(t, 1, func(s *Settings) { s.Waiting = 5 })
	s.routers[0].respond = serveAfter(300 * ms)
	s.start(true, time.Second)
	s.run(time.Second)
	if call := s.start(true, 250*ms); s.outcomes[call].Verdict != Deadline || s.sent[call] != 0 {
		t.Errorf("call with too little time: %+v", s.outcomes[call])
	}
}

func TestTooManyWaitingCallsEndAsBusy(t *testing.T) {
	s := newSimulation(t, 1, func(s *Settings) { s.Waiting = 5 })
	var last *Call
	for range 7 {
		last = s.start(true, time.Second)
	}
	if s.outcomes[last].Verdict != Busy {
		t.Errorf("call beyond the limit of waiting calls: %+v", s.outcomes[last])
	}
}

// Without a reachable router, calls end before their deadline and report when to retry. Once the router is back,
// calls are served.
func TestCallsEndEarlyWithoutRouterAndAreServedAfterItsReturn(t *testing.T) {
	s := newSimulation(t, 1, nil)
	s.startEvery(10*ms, 100*ms)
	s.routers[0].down = true
	s.breakAll(s.routers[0], callsUnsent)
	s.run(3 * time.Second)
	var last *Call
	for i := 0; s.outcomes[last].Verdict != Unreachable; i++ { // each failed dial delays the next
		if i == 1000 {
			t.Fatal("no call ended as Unreachable")
		}
		last = s.start(true, 200*ms)
		s.run(20 * ms)
	}
	outcome := s.outcomes[last]
	if outcome.RetryAfter <= 0 || outcome.Attempts != 0 || s.endedAt[last]+180*ms > last.deadline {
		t.Errorf("call without a router: %+v, %v before its deadline", outcome, last.deadline-s.endedAt[last])
	}

	s.routers[0].down = false
	s.startEvery(10*ms, 4*time.Second)
	if calls := s.startEvery(10*ms, time.Second); s.share(calls[:90], Served) < 1 {
		t.Errorf("%.2f of the calls served after the router came back", s.share(calls[:90], Served))
	}
}
