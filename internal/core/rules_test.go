package core

import (
	"testing"
	"time"

	"hillknot/balancer"
)

// Each rule that is checked at run time is seen to be violated where it is, and is counted.
func TestViolationsAreCounted(t *testing.T) {
	for name, break1 := range map[string]func(r *harness, a *Attempt){
		"nothing": func(r *harness, a *Attempt) { r.core.AttemptWritten(a) },
		"a second attempt": func(r *harness, a *Attempt) {
			other := *a
			r.core.AttemptWritten(&other)
		},
		"told too long": func(r *harness, a *Attempt) { a.Timeout += 151 * time.Millisecond; r.core.AttemptWritten(a) },
		"a repeat": func(r *harness, a *Attempt) {
			a.owner.mayHaveRun, a.owner.firstSentAt = true, a.sentAt
			r.core.AttemptWritten(a)
		},
		"a request that is over": func(r *harness, a *Attempt) { delete(r.core.requests.open, a.owner.id); r.core.AttemptWritten(a) },
		"a second answer": func(r *harness, a *Attempt) {
			r.core.deliver(a.owner, failedAnswer)
			r.core.deliver(a.owner, failedAnswer)
		},
	} {
		r := newHarness(t)
		r.submit("order", second)
		break1(r, r.outstanding[0])
		r.core.RunOnce()
		want := uint64(1)
		if name == "nothing" {
			want = 0
		}
		if got := r.core.Snapshot().RuleViolations; got != want {
			t.Errorf("%s: %d violations, want %d", name, got, want)
		}
	}
}

// A run with answers of all kinds violates nothing.
func TestNoViolations(t *testing.T) {
	r := newHarness(t)
	for _, status := range []balancer.Status{balancer.OK, balancer.Rejected, balancer.Error, balancer.Reset, balancer.TimedOut} {
		for _, class := range []string{"page", "order"} {
			r.submit(class, second)
			for len(r.outstanding) > 0 {
				a := r.outstanding[0]
				r.core.AttemptWritten(a)
				r.finish(a, AttemptResult{Status: status})
			}
			r.wait(second)
		}
	}
	if n := r.core.Snapshot().RuleViolations; n != 0 {
		t.Errorf("%d violations", n)
	}
}
