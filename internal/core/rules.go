package core

import (
	"log/slog"
	"time"
)

// The rules that bind each request, checked as it is served. Permit decides whether an attempt may be written; what is checked
// here should never fail. A violation is counted for operators and logged, and changes nothing else.

// rule names a rule in the log.
type rule string

const (
	ruleOneAnswer   rule = "one answer to a request"
	ruleOneAttempt  rule = "one attempt at a time"
	ruleDeadline    rule = "a page cache is told what the client has left"
	ruleOwed        rule = "no attempt for a request that is over"
	ruleSafeRepeats rule = "no repeat of what may have run"
)

// deadlineSlack is how much longer than its client waits a page cache may be told that the router will wait; see the
// operators' terms.
const deadlineSlack = 150 * time.Millisecond

// violated counts and logs that a rule does not hold for a request.
func (c *Core) violated(broken rule, r *request) {
	c.violations++
	slog.Error("rule violated", "rule", broken, "txn", r.Txn, "class", r.Class)
}

// checkWritten holds an attempt that was just written to the rules.
func (c *Core) checkWritten(a *Attempt) {
	r := a.owner
	if r.attempt != a || a.over {
		c.violated(ruleOneAttempt, r)
	}
	if c.open[r.id] != r {
		c.violated(ruleOwed, r)
	}
	if a.Timeout > r.expiry-c.clock()+deadlineSlack {
		c.violated(ruleDeadline, r)
	}
	if window := c.repeat[r.Class]; r.ran && c.unsafe[r.Class] && a.sent-r.ranAt >= window {
		c.violated(ruleSafeRepeats, r)
	}
}

// checkAnswer holds a request to its one answer.
func (c *Core) checkAnswer(r *request) {
	if r.answered {
		c.violated(ruleOneAnswer, r)
	}
	r.answered = true
}
