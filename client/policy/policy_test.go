package policy

import (
	"flag"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "hillknot/internal/testutil/parsertest" // sets rapid's seed
)

// For any events, each call ends once and in time, a call that is not idempotent is not sent again once it may have
// run, and no state is left behind. Equal events lead to equal actions.
func TestInvariantsHoldForRandomEvents(t *testing.T) {
	if err := flag.Set("rapid.checks", "1000"); err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		var traces [2][]string
		seed := rapid.Uint64().Draw(t, "seed")
		script := rapid.SliceOfN(rapid.Uint64(), 20, 200).Draw(t, "script")
		routers := rapid.IntRange(1, 4).Draw(t, "routers")
		for i := range traces {
			s := newSimulation(t, routers, func(s *Settings) { s.Seed, s.Waiting, s.OpenPerConn = seed, 20, 3 })
			calls := s.runScript(script)
			s.run(time.Minute)
			s.checkOutcomes(calls)
			s.checkNothingLeft(len(calls))
			traces[i] = s.trace
		}
		if !slices.Equal(traces[0], traces[1]) {
			t.Fatal("the same events led to different actions")
		}
	})
}

// runScript performs the events that the numbers of a script encode, and returns the calls that it started.
func (s *simulation) runScript(script []uint64) (calls []*Call) {
	for _, n := range script {
		r := s.routers[n>>8%uint64(len(s.routers))]
		span := time.Duration(n>>16%400) * ms
		flip := n>>12%2 == 0
		switch n % 12 {
		case 0, 1, 2, 3, 4:
			calls = append(calls, s.start(n>>12%3 > 0, span*8+1))
		case 5:
			kind := callsLost
			if flip {
				kind = callsUnsent
			}
			s.breakAll(r, kind)
		case 6:
			r.down = !r.down
		case 7:
			r.silent = !r.silent && flip
		case 8:
			r.draining = !r.draining && flip
		case 9:
			r.respond = always(simResponse{after: span / 8, result: Result(n >> 12 % 4), retryAfter: span})
		case 10:
			if len(calls) > 0 {
				s.policy.CancelCall(s.now, calls[int(n>>16)%len(calls)])
				s.runActions()
			}
		case 11:
			s.run(span * 4)
		}
		s.run(time.Duration(n >> 32 % 50 * uint64(ms)))
	}
	return calls
}

// checkOutcomes checks that each call has ended, and that its outcome agrees with its attempts.
func (s *simulation) checkOutcomes(calls []*Call) {
	s.t.Helper()
	for _, call := range calls {
		outcome, ended := s.outcomes[call]
		// A call that crossed a router's close may be sent once more.
		if !ended || outcome.Attempts != s.sent[call] || outcome.Attempts > s.settings.Tries+1 {
			s.t.Fatalf("a call was sent %d times, outcome %+v, ended %v", s.sent[call], outcome, ended)
		}
		if outcome.MayHaveRun != (s.mayHaveRun[call] > 0 && outcome.Verdict != Served) {
			s.t.Fatalf("a call with %d attempts that may have run ended as %+v", s.mayHaveRun[call], outcome)
		}
	}
}

// checkNothingLeft checks that no call, timer or queue entry is left behind, and that the number of retries stays
// within the budget.
func (s *simulation) checkNothingLeft(calls int) {
	s.t.Helper()
	p := s.policy
	if p.Waiting() != 0 || len(p.timers) != 0 || len(p.queue) != 0 {
		s.t.Fatalf("left behind: %d waiting calls, %d timers, %d queue entries", p.Waiting(), len(p.timers), len(p.queue))
	}
	counts := p.Counts()
	allowed := s.settings.RetryShare*float64(calls) + 20*s.settings.RetryFloor
	if float64(counts.Retries)-float64(counts.Crossings)-allowed > 0 {
		s.t.Fatalf("%d retries of %d calls are over the budget", counts.Retries, calls)
	}
}
