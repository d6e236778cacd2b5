package core

import (
	"slices"
	"time"
)

// Snapshot is the state of the router at the end of an iteration of the loop. It does not change once it is published.
type Snapshot struct {
	Phase             Phase
	DrainingSince     time.Duration   // when draining began, on the core's clock; 0: not draining
	HasSuccessor      bool            // a successor takes new connections
	ByClass           []ClassCounts   // in the order of the settings; UnknownClass is last
	AttemptsWritten   uint64          // attempts that were written in full
	RuleViolations    uint64          // should be 0
	RetriesSent       uint64          // attempts that were decided after the first one of their request
	AttemptsEnded     []LabelledCount // by status
	Refusals          []LabelledCount // by reason
	Queue             QueueUsage
	Stalls            StallStatistics
	OpenRequests      int             // requests that await their answer
	PageCaches        int             // page caches on the endpoint list
	AvoidedPageCaches int             // listed page caches that the module avoids
	ExtensionMetrics  []Metric        // of order failover and prepaid credit
	Cluster           *ClusterMetrics // as of the latest heartbeat; nil: nothing is shared
}

// Snapshot returns the latest snapshot. Any goroutine may call it; it does not block.
func (c *Core) Snapshot() *Snapshot { return c.stats.snapshot.Load() }

// publish publishes a new snapshot.
func (c *Core) publish() {
	s := &Snapshot{
		Phase:           c.lifecycle.state.phase(),
		DrainingSince:   c.lifecycle.drainingSince,
		HasSuccessor:    c.lifecycle.successorReady,
		ByClass:         c.stats.countsByClass(),
		AttemptsWritten: c.stats.attemptsWritten,
		RuleViolations:  c.stats.ruleViolations,
		RetriesSent:     c.stats.retriesSent,
		AttemptsEnded:   c.stats.labelledAttempts(),
		Refusals:        c.stats.labelledRefusals(),
		Queue:           c.queue.usage(),
		Stalls:          c.stalls.statistics(),
		OpenRequests:    len(c.requests.open),
	}
	s.PageCaches, s.AvoidedPageCaches = c.module.CacheCounts()
	if c.extensions.cluster != nil {
		s.Cluster = c.extensions.cluster.metrics
	}
	if c.extensions.orders != nil {
		s.ExtensionMetrics = c.extensions.orders.Metrics()
	}
	if c.extensions.credit != nil { // clipped, so that append does not write to the slice that the extension keeps
		s.ExtensionMetrics = append(slices.Clip(s.ExtensionMetrics), c.extensions.credit.Metrics()...)
	}
	c.stats.snapshot.Store(s)
}
