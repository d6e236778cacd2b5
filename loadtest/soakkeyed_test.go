package loadtest

import (
	"testing"
	"time"

	"hillknot/internal/rpc"
)

// The judge of the soak test finds a keyed request that ran again outside its cell or after the window, and a rejection of a
// request that may have run. It finds nothing where the first attempt surely never ran.
func TestSoakJudgesKeyedRequests(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	attempt := func(cell, ms int, ran bool) *soakAttempt {
		return &soakAttempt{txn: 1, class: classKeyed, cell: cell, arrived: at(ms), ran: ran}
	}
	for name, test := range map[string]struct {
		attempts []*soakAttempt
		answer   string // the code of the answer
		want     int    // violations
	}{
		"one attempt":                      {[]*soakAttempt{attempt(1, 0, true)}, "", 0},
		"again in its cell":                {[]*soakAttempt{attempt(1, 0, true), attempt(1, 500, true)}, "", 0},
		"in another cell":                  {[]*soakAttempt{attempt(1, 0, true), attempt(2, 500, true)}, "", 1},
		"at the origin":                    {[]*soakAttempt{attempt(1, 0, true), attempt(noCell, 500, false)}, "", 1},
		"in another cell, first never ran": {[]*soakAttempt{attempt(1, 0, false), attempt(2, 500, true)}, "", 0},
		"back after one that never ran":    {[]*soakAttempt{attempt(1, 0, true), attempt(2, 100, false), attempt(1, 200, true)}, "", 1},
		"after the window":                 {[]*soakAttempt{attempt(1, 0, true), attempt(1, 1100, true)}, "", 1},
		"rejected":                         {[]*soakAttempt{attempt(1, 0, true)}, rpc.CodeThrottled, 1},
		"rejected, never ran":              {[]*soakAttempt{attempt(1, 0, false)}, rpc.CodeThrottled, 0},
		"failed":                           {[]*soakAttempt{attempt(1, 0, true)}, "Failed", 0},
	} {
		h := newSoakHistory()
		r := &soakRequest{txn: 1, class: classKeyed, answers: []soakAnswer{{received: at(2000), code: test.answer}}}
		h.requests[1] = r
		got := 0
		h.checkRuns(r, test.attempts, func(time.Time, string, ...any) { got++ })
		if got != test.want {
			t.Errorf("%s: %d violations, want %d", name, got, test.want)
		}
	}
}
