package policy

import (
	"math"
	"testing"
	"time"
)

// A call that is not idempotent is sent again after a rejection, or where not a byte was written; never after
// anything else.
func TestUnsafeCallIsRetriedOnlyIfItDidNotRun(t *testing.T) {
	notBroken := breakage(-1)
	for name, test := range map[string]struct {
		respond func() simResponse
		broken  breakage // of the connection, with the call in flight
		want    Outcome
	}{
		"served":   {serveAfter(ms), notBroken, Outcome{Attempts: 1}},
		"rejected": {reject(0), notBroken, Outcome{Verdict: Refused, Attempts: 3}},
		"failed":   {fail(), notBroken, Outcome{Verdict: Failed, MayHaveRun: true, Attempts: 1}},
		"invalid": {always(simResponse{after: ms, result: ResultInvalid}), notBroken,
			Outcome{Verdict: Failed, Attempts: 1}},
		"lost":    {serveAfter(time.Hour), callsLost, Outcome{Verdict: Lost, MayHaveRun: true, Attempts: 1}},
		"unsent":  {serveAfter(100 * ms), callsUnsent, Outcome{Attempts: 1}},
		"overdue": {serveAfter(time.Hour), notBroken, Outcome{Verdict: Deadline, MayHaveRun: true, Attempts: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(t, 2, nil)
			s.setResponses(test.respond)
			call := s.start(false, 3*time.Second)
			s.run(20 * ms)
			if test.broken != notBroken {
				s.breakAll(s.routers[call.lastAttempt.router], test.broken)
			}
			s.run(10 * time.Second)
			got, want := s.outcomes[call], test.want
			if got.Verdict != want.Verdict || got.MayHaveRun != want.MayHaveRun || got.Attempts != want.Attempts ||
				s.sent[call] != want.Attempts {
				t.Errorf("%+v, sent %d times", got, s.sent[call])
			}
		})
	}
}

// A call that crosses a router's close of an idle connection is sent again at once; only an idempotent one, and
// only once.
func TestOnlyIdempotentCallThatCrossedCloseIsSentAgain(t *testing.T) {
	for name, idempotent := range map[string]bool{"idempotent": true, "not idempotent": false} {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(t, 1, nil)
			s.start(true, time.Second)
			s.run(2 * time.Second)
			call := s.start(idempotent, 3*time.Second)
			s.breakAll(s.routers[0], callsLost)
			s.run(40 * ms)
			outcome := s.outcomes[call]
			if idempotent != (outcome.Verdict == Served) || !idempotent && !outcome.MayHaveRun ||
				s.policy.Counts().Crossings > 1 {
				t.Errorf("idempotent %v: %+v", idempotent, outcome)
			}
		})
	}
}

// The Retry-After that a router sends for one call holds for all, and is the least that they wait.
func TestRetryAfterHoldsForAllCalls(t *testing.T) {
	s := newSimulation(t, 1, nil)
	r := s.routers[0]
	r.respond = reject(400 * ms)
	s.start(true, 3*time.Second)
	s.run(10 * ms)
	r.respond = serveAfter(ms)
	var calls []*Call
	for range 5 {
		calls = append(calls, s.start(true, 3*time.Second))
	}
	short := s.start(true, 100*ms)
	if outcome := s.outcomes[short]; outcome.Verdict != Refused || !outcome.Local || outcome.RetryAfter < 300*ms {
		t.Errorf("a call with too little time: %+v", outcome)
	}
	s.run(2 * time.Second) // the simulation checks that none goes too early
	if s.share(calls, Served) < 1 || r.received[1] == r.received[2] {
		t.Errorf("served %v, at %v", s.share(calls, Served), r.received)
	}
}

// Retries of all calls together stay within the budget.
func TestRetriesStayWithinBudget(t *testing.T) {
	s := newSimulation(t, 1, func(s *Settings) { s.EjectShare = 0 })
	s.routers[0].respond = fail()
	calls := s.startEvery(5*ms, 20*time.Second)
	retries := float64(s.policy.Counts().Retries)
	if most := 0.1*float64(len(calls)) + 3*s.settings.RetryFloor; retries > most || retries < most/2 {
		t.Errorf("%v retries of %d calls", retries, len(calls))
	}
}

// The waits before retries are random.
func TestBackoffHasFullJitter(t *testing.T) {
	s := newSimulation(t, 1, nil)
	sum, n := 0.0, 2000
	for range n {
		sum += s.policy.backoff(3).Seconds()
	}
	if mean := sum / float64(n); math.Abs(mean-0.1) > 0.01 {
		t.Errorf("the mean wait before a third try is %.3f s", mean)
	}
}
