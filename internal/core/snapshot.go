package core

import (
	"time"
)

// ClassCounts counts the requests of one class by how they were answered.
type ClassCounts struct {
	Class                    string
	Success, Overload, Error uint64
}

// Snapshot is the router as its loop last left it. It is not changed once it is published.
type Snapshot struct {
	Phase            Phase
	DrainingSince    time.Duration   // when it began to leave its clients: on standby or as it ends
	HasSuccessor     bool            // a successor has taken over
	ByClass          []ClassCounts   // by class, as the settings list them; last, what no class was named for
	AttemptsWritten  uint64          // attempts written whole
	RuleViolations   uint64          // of rules, which should be none
	OpenRequests     int             // requests taken and not ended
	Endpoints        int             // page caches listed
	AvoidedEndpoints int             // of these, those that the module avoids
	ExtensionMetrics []Metric        // of orders that outlive routers, and of credit
	Cluster          *ClusterMetrics // what is shared with other routers, as of the latest beat; nil: nothing
}

// UnknownClass is the class under which requests count that name none of the settings.
const UnknownClass = "unknown"

// Snapshot returns the latest snapshot. It may be called anywhere, and waits for nothing.
func (c *Core) Snapshot() *Snapshot { return c.snap.Load() }

// publish makes what the loop has done seen outside.
func (c *Core) publish() {
	s := &Snapshot{
		Phase:           c.lifecycle.state.phase(),
		DrainingSince:   c.lifecycle.drainingSince,
		HasSuccessor:    c.lifecycle.successorReady,
		ByClass:         append([]ClassCounts(nil), c.tallies...),
		AttemptsWritten: c.dispatches,
		RuleViolations:  c.violations,
		OpenRequests:    len(c.open),
	}
	s.Endpoints, s.AvoidedEndpoints = c.balancer.CacheCounts()
	if c.shared != nil {
		s.Cluster = c.shared.last
	}
	if c.rights != nil {
		s.ExtensionMetrics = c.rights.Metrics()
	}
	if c.funds != nil {
		s.ExtensionMetrics = append(s.ExtensionMetrics[:len(s.ExtensionMetrics):len(s.ExtensionMetrics)], c.funds.Metrics()...)
	}
	c.snap.Store(s)
}

// CountAnswer counts an answer. The core counts those that it gives; a front, those that it words by itself.
func (c *Core) CountAnswer(class string, v Verdict) {
	i, ok := c.classes[class]
	if !ok {
		i = len(c.tallies) - 1
	}
	switch t := &c.tallies[i]; v {
	case Served, NotModified:
		t.Success++
	case Rejected:
		t.Overload++
	default:
		t.Error++
	}
}

// AttemptWritten counts an attempt that was written whole, and holds it to the rules.
func (c *Core) AttemptWritten(a *Attempt) {
	c.dispatches++
	c.checkWritten(a)
}
