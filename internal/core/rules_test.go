package core

import (
	"testing"
	"time"

	"hillknot/balancer"
)

// Each rule that is checked at run time is seen to be violated where it is, and is counted.
func TestViolationsAreCounted(t *testing.T) {
	for name, break1 := range map[string]func(r *rig, a *Attempt){
		"nothing": func(r *rig, a *Attempt) { r.c.AttemptWritten(a) },
		"a second attempt": func(r *rig, a *Attempt) {
			other := *a
			r.c.AttemptWritten(&other)
		},
		"told too long": func(r *rig, a *Attempt) { a.Timeout += 151 * time.Millisecond; r.c.AttemptWritten(a) },
		"a repeat": func(r *rig, a *Attempt) {
			a.owner.ran, a.owner.ranAt = true, a.sent
			r.c.AttemptWritten(a)
		},
		"a request that is over": func(r *rig, a *Attempt) { delete(r.c.open, a.owner.id); r.c.AttemptWritten(a) },
		"a second answer": func(r *rig, a *Attempt) {
			r.c.conclude(a.owner, failed)
			r.c.conclude(a.owner, failed)
		},
	} {
		r := newRig(t)
		r.submit("order", second)
		break1(r, r.out[0])
		r.c.RunOnce()
		want := uint64(1)
		if name == "nothing" {
			want = 0
		}
		if got := r.c.Snapshot().RuleViolations; got != want {
			t.Errorf("%s: %d violations, want %d", name, got, want)
		}
	}
}

// A run with answers of all kinds violates nothing.
func TestNoViolations(t *testing.T) {
	r := newRig(t)
	for _, status := range []balancer.Status{balancer.OK, balancer.Rejected, balancer.Error, balancer.Reset, balancer.TimedOut} {
		for _, class := range []string{"page", "order"} {
			r.submit(class, second)
			for len(r.out) > 0 {
				a := r.out[0]
				r.c.AttemptWritten(a)
				r.end(a, AttemptResult{Status: status})
			}
			r.wait(second)
		}
	}
	if n := r.c.Snapshot().RuleViolations; n != 0 {
		t.Errorf("%d violations", n)
	}
}
