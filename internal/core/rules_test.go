package core

import (
	"testing"
	"time"

	"hillknot/balancer"
)

// A violation of each rule that is checked at run time is detected and counted.
func TestRuleViolationsAreCounted(t *testing.T) {
	for name, breakRule := range map[string]func(h *harness, a *Attempt){
		"nothing": func(h *harness, a *Attempt) { h.core.AttemptWritten(a) },
		"a second attempt": func(h *harness, a *Attempt) {
			other := *a
			h.core.AttemptWritten(&other)
		},
		"a timeout too long": func(h *harness, a *Attempt) {
			a.Timeout += 151 * time.Millisecond
			h.core.AttemptWritten(a)
		},
		"a retry": func(h *harness, a *Attempt) {
			a.owner.recordExecution(a)
			h.core.AttemptWritten(a)
		},
		"a repeat in another zone": func(h *harness, a *Attempt) {
			a.owner.policy.repeat = balancer.RepeatRule{Idempotency: balancer.IdempotentByKey, DedupWindow: second}
			a.placement.Zone = "hub"
			a.owner.recordExecution(a)
			h.core.AttemptWritten(a)
		},
		"a request that is over": func(h *harness, a *Attempt) {
			delete(h.core.requests.open, a.owner.id)
			h.core.AttemptWritten(a)
		},
		"a second answer": func(h *harness, a *Attempt) {
			h.core.deliver(a.owner, failedAnswer)
			h.core.deliver(a.owner, failedAnswer)
		},
	} {
		h := newHarness(t)
		h.submit("order", second)
		breakRule(h, h.outstanding[0])
		h.core.RunOnce()
		want := uint64(1)
		if name == "nothing" {
			want = 0
		}
		if got := h.core.Snapshot().RuleViolations; got != want {
			t.Errorf("%s: %d rule violations, want %d", name, got, want)
		}
	}
}

// Attempts violate no rule, however they end.
func TestNormalUseBreaksNoRule(t *testing.T) {
	h := newHarness(t)
	statuses := []balancer.Status{balancer.OK, balancer.Rejected, balancer.Error, balancer.Reset, balancer.TimedOut}
	for _, status := range statuses {
		for _, class := range []string{"page", "order"} {
			h.submit(class, second)
			for len(h.outstanding) > 0 {
				a := h.outstanding[0]
				h.core.AttemptWritten(a)
				h.finish(a, AttemptResult{Status: status})
			}
			h.wait(second)
		}
	}
	if n := h.core.Snapshot().RuleViolations; n != 0 {
		t.Errorf("%d rule violations, want none", n)
	}
}
