package core

import (
	"sync/atomic"

	"hillknot/balancer"
)

// UnknownClass is the class that counts the requests whose class is not in the settings.
const UnknownClass = "unknown"

// ClassCounts counts the requests of one class by how they were answered.
type ClassCounts struct {
	Class                    string
	Success, Overload, Error uint64
}

// Metric is a figure for operators.
type Metric struct {
	Name, Help string
	Value      uint64
	Counter    bool // true: the value only grows; false: it is a gauge
}

// statistics holds the counters for operators and the latest snapshot.
type statistics struct {
	classIndex      map[string]int  // by class name: index into byClass
	byClass         []classCounters // in the order of the settings; UnknownClass is last
	attemptsWritten uint64
	ruleViolations  uint64
	attemptsEnded   [attemptStatusCount]uint64        // by status
	retriesSent     uint64                            // attempts after the first one of their request
	refusals        [refusalReasonCount]atomic.Uint64 // any goroutine may add
	snapshot        atomic.Pointer[Snapshot]          // the latest; any goroutine may load it
}

func newStatistics(classes []balancer.Class) statistics {
	index := make(map[string]int, len(classes))
	counters := make([]classCounters, len(classes)+1)
	for i, class := range classes {
		index[class.Name] = i
		counters[i].class = class.Name
	}
	counters[len(classes)].class = UnknownClass
	return statistics{classIndex: index, byClass: counters}
}

// classCounters holds the ClassCounts of one class. Any goroutine may add to the counters.
type classCounters struct {
	class                     string
	success, overload, errors atomic.Uint64
}

// countsByClass returns the counted answers.
func (s *statistics) countsByClass() []ClassCounts {
	counts := make([]ClassCounts, len(s.byClass))
	for i := range s.byClass {
		c := &s.byClass[i]
		counts[i] = ClassCounts{Class: c.class, Success: c.success.Load(), Overload: c.overload.Load(), Error: c.errors.Load()}
	}
	return counts
}

// CountAnswer counts an answer to a request of a class. The core counts the answers that it gives; a front end counts
// the answers that it gives on its own. Any goroutine may call it.
func (c *Core) CountAnswer(class string, verdict Verdict) {
	i, known := c.stats.classIndex[class]
	if !known {
		i = len(c.stats.byClass) - 1
	}
	switch counts := &c.stats.byClass[i]; verdict {
	case Served, NotModified:
		counts.success.Add(1)
	case Rejected:
		counts.overload.Add(1)
	default:
		counts.errors.Add(1)
	}
}

// RefusalReason is why a request was refused or failed without an attempt that answered it.
type RefusalReason uint8

// The reasons.
const (
	RefusedTooManyOpen         RefusalReason = iota // the router has too many open requests
	RefusedTooManyOnConnection                      // the connection has too many open requests
	RefusedMemory                                   // too many bytes are buffered
	RefusedDraining                                 // the router drains or ends
	RefusedNoTime                                   // the client waits no longer
	RefusedDuplicate                                // another request with the same txn is open, or may have run lately
	RefusedMalformed                                // the request is not valid
	RefusedByDecision                               // the decision module rejected it
	refusalReasonCount
)

var refusalTexts = [refusalReasonCount]string{
	RefusedTooManyOpen:         "too many open requests",
	RefusedTooManyOnConnection: "too many open requests on the connection",
	RefusedMemory:              "too many bytes buffered",
	RefusedDraining:            "draining",
	RefusedNoTime:              "no time left",
	RefusedDuplicate:           "duplicate txn",
	RefusedMalformed:           "malformed",
	RefusedByDecision:          "decided",
}

// String returns the reason as it is logged and exported.
func (r RefusalReason) String() string { return refusalTexts[r] }

// CountRefusal counts a request that was refused for a reason. Any goroutine may call it.
func (c *Core) CountRefusal(reason RefusalReason) { c.stats.refusals[reason].Add(1) }

// attemptStatusCount is the number of statuses of package balancer.
const attemptStatusCount = balancer.Abandoned + 1

var attemptStatusTexts = [attemptStatusCount]string{
	balancer.OK:            "ok",
	balancer.Error:         "error",
	balancer.Rejected:      "rejected",
	balancer.TimedOut:      "timed out",
	balancer.ConnectFailed: "connect failed",
	balancer.Reset:         "reset",
	balancer.Cancelled:     "cancelled",
	balancer.NotSent:       "not sent",
	balancer.Miss:          "miss",
	balancer.Abandoned:     "abandoned before",
}

// LabelledCount is a counter with the value of its label.
type LabelledCount struct {
	Label string
	Count uint64
}

// labelledRefusals returns the counted refusals by reason.
func (s *statistics) labelledRefusals() []LabelledCount {
	counts := make([]LabelledCount, refusalReasonCount)
	for i := range counts {
		counts[i] = LabelledCount{refusalTexts[i], s.refusals[i].Load()}
	}
	return counts
}

// labelledAttempts returns the ended attempts by status.
func (s *statistics) labelledAttempts() []LabelledCount {
	counts := make([]LabelledCount, attemptStatusCount)
	for i := range counts {
		counts[i] = LabelledCount{attemptStatusTexts[i], s.attemptsEnded[i]}
	}
	return counts
}
