package core

import (
	"time"

	"hillknot/internal/logging"
)

// rule is a rule that every request is held to while it is served, as the log names it. Permit keeps the rules; the
// checks here should never fail. A violation is counted for operators and logged, and changes nothing else.
type rule string

const (
	ruleOneAnswer   rule = "one answer per request"
	ruleOneAttempt  rule = "one attempt at a time"
	ruleDeadline    rule = "an attempt's deadline is its client's"
	ruleOpenRequest rule = "no attempt for a request that is over"
	ruleRetry       rule = "no retry of what may have run"
)

// deadlineSlack is how much longer than its client waits a page cache may be told that the router will wait, by the
// operators' terms.
const deadlineSlack = 150 * time.Millisecond

// reportViolation counts and logs that a request breaks a rule.
func (c *Core) reportViolation(broken rule, r *request) {
	c.stats.ruleViolations++
	log.Error("rule violated", logging.KeyRule, broken, logging.KeyRequestID, r.Txn, logging.KeyClass, r.Class)
}

// checkWritten checks the rules on an attempt that was just written.
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
	if r.mayHaveRun && !r.policy.mayRetry(a.sentAt-r.mayHaveRunSince) {
		c.reportViolation(ruleRetry, r)
	}
}

// checkAnswer checks that a request that is about to be answered has not been before.
func (c *Core) checkAnswer(r *request) {
	if r.state == requestAnswered {
		c.reportViolation(ruleOneAnswer, r)
	}
}
