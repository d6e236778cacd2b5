package core

import (
	"time"

	"hillknot/internal/logging"
)

// rule is the name, as logged, of a rule that is checked for every request while it is served. Permit enforces the
// rules, so the checks here should never fail. A violation is counted for operators and logged, and has no other
// effect.
type rule string

const (
	ruleOneAnswer   rule = "one answer per request"
	ruleOneAttempt  rule = "one attempt at a time"
	ruleDeadline    rule = "an attempt's deadline is its client's"
	ruleOpenRequest rule = "no attempt for a request that is over"
	ruleRetry       rule = "no retry of what may have run"
)

// deadlineSlack is the most by which the wait that the router reports to a page cache may exceed the time that the client
// waits. The operators' terms set it.
const deadlineSlack = 150 * time.Millisecond

// reportViolation counts and logs that a request breaks a rule.
func (c *Core) reportViolation(broken rule, r *request) {
	c.stats.ruleViolations++
	log.Error("rule violated", logging.KeyRule, broken, logging.KeyRequestID, r.Txn, logging.KeyClass, r.Class)
}

// checkWritten checks an attempt that was just written against the rules.
func (c *Core) checkWritten(a *Attempt) {
	r := a.owner
	if r.attempt != a || a.done {
		c.reportViolation(ruleOneAttempt, r)
	}
	if !c.requests.isOpen(r) {
		c.reportViolation(ruleOpenRequest, r)
	}
	if a.Timeout > r.clientDeadline-c.clock()+deadlineSlack {
		c.reportViolation(ruleDeadline, r)
	}
	if !r.checkRepeat(a.Endpoint, a.sentAt).Allowed() {
		c.reportViolation(ruleRetry, r)
	}
}

// checkAnswer checks that a request that is about to be answered has not been answered before.
func (c *Core) checkAnswer(r *request) {
	if r.state == requestAnswered {
		c.reportViolation(ruleOneAnswer, r)
	}
}
