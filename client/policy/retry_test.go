package policy

import (
	"math"
	"testing"
	"time"
)

// A call that is not idempotent is sent again after a rejection or if no byte of it was written, and never in any
// other case.
func TestUnsafeCallIsRetriedOnlyIfItDidNotRun(t *testing.T) {
	notBroken := breakage(-1)
	for name, test := range map[string]struct {
		respond func() simResponse
		broken  breakage // how the connection breaks while the call is in flight
		want    Outcome
	}{
		"served":   {serveAfter(ms), notBroken, Outcome{Attempts: 1}},
		"rejected": {reject(0), notBroken, Outcome{Verdict: Refused, Attempts: 3}},
		"failed":   {fail(), notBroken, Outcome{Verdict: Failed, MayHaveRun: true, Attempts: 1}},
		"invalid": {always(simResponse{after: ms, result: ResultInvalid}), notBroken,
			Outcome{Verdict: Failed, Attempts: 1}},
		"lost":    {serveAfter(time.Hour), callsLost, Outcome{Verdict: Lost, MayHaveRun: true, Attempts: 1}},
		"unsent":  {serveAfter(100 * ms), callsUnsent, Outcome{Attempts: 1}},
		"timeout": {serveAfter(time.Hour), notBroken, Outcome{Verdict: Deadline, MayHaveRun: true, Attempts: 1}},
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
				t.Errorf("got %+v, sent %d times", got, s.sent[call])
			}
		})
	}
}

// A call that crosses a router's close of an idle connection is sent again at once, but only if it is idempotent, and
// only once.
func TestOnlyIdempotentCallThatCrossedCloseIsSentAgain(t *testing.T) {
	for name, idempotent := range map[string]bool{"idempotent call is sent again": true, "other call is not sent again": false} {
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

// The Retry-After that a router sends for one call applies to all calls, which wait at least that long.
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
		t.Errorf("a call with less time than the Retry-After: %+v", outcome)
	}
	s.run(2 * time.Second) // the simulation checks that no call is sent too early
	if s.share(calls, Served) < 1 || r.received[1] == r.received[2] {
		t.Errorf("%v of the calls served, received at %v", s.share(calls, Served), r.received)
	}
}

// The retries of all calls together stay within the budget.
func TestRetriesStayWithinBudget(t *testing.T) {
	s := newSimulation(t, 1, func(s *Settings) { s.EjectShare = 0 })
	s.routers[0].respond = fail()
	calls := s.startEvery(5*ms, 20*time.Second)
	retries := float64(s.policy.Counts().Retries)
	if most := 0.1*float64(len(calls)) + 3*s.settings.RetryFloor; retries > most || retries < most/2 {
		t.Errorf("%v retries of %d calls, budget not kept or not used", retries, len(calls))
	}
}

// Backoffs are random with full jitter: their mean is half of the longest backoff.
func TestBackoffHasFullJitter(t *testing.T) {
	s := newSimulation(t, 1, nil)
	sum, n := 0.0, 2000
	for range n {
		sum += s.policy.backoff(3).Seconds()
	}
	if mean := sum / float64(n); math.Abs(mean-0.1) > 0.01 {
		t.Errorf("the mean backoff after three attempts is %.3f s", mean)
	}
}
