package core

import (
	"slices"
	"time"
)

// Snapshot is the router as an iteration of the loop left it. It does not change once it is published.
type Snapshot struct {
	Phase             Phase
	DrainingSince     time.Duration   // when draining began, on the core's clock; 0: it has not
	HasSuccessor      bool            // another process takes new connections
	ByClass           []ClassCounts   // as the settings list the classes; last, UnknownClass
	AttemptsWritten   uint64          // attempts that were written as a whole
	RuleViolations    uint64          // which should be none
	OpenRequests      int             // requests that await their answer
	PageCaches        int             // page caches listed
	AvoidedPageCaches int             // of these, those that the module avoids
	ExtensionMetrics  []Metric        // of order failover and prepaid credit
	Cluster           *ClusterMetrics // as of the latest heartbeat; nil: nothing is shared
}

// Snapshot returns the latest snapshot. Any goroutine may call it; it does not block.
func (c *Core) Snapshot() *Snapshot { return c.stats.snapshot.Load() }

// publish makes a new snapshot.
func (c *Core) publish() {
	s := &Snapshot{
		Phase:           c.lifecycle.state.phase(),
		DrainingSince:   c.lifecycle.drainingSince,
		HasSuccessor:    c.lifecycle.successorReady,
		ByClass:         append([]ClassCounts(nil), c.stats.byClass...),
		AttemptsWritten: c.stats.attemptsWritten,
		RuleViolations:  c.stats.ruleViolations,
		OpenRequests:    len(c.requests.open),
	}
	s.PageCaches, s.AvoidedPageCaches = c.module.CacheCounts()
	if c.extensions.cluster != nil {
		s.Cluster = c.extensions.cluster.metrics
	}
	if c.extensions.orders != nil {
		s.ExtensionMetrics = c.extensions.orders.Metrics()
	}
	if c.extensions.credit != nil { // clipped, as the extensions keep their slices
		s.ExtensionMetrics = append(slices.Clip(s.ExtensionMetrics), c.extensions.credit.Metrics()...)
	}
	c.stats.snapshot.Store(s)
}
