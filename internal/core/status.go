package core

import (
	"container/heap"
	"slices"
	"time"

	"hillknot/balancer"
)

// Phase is what the router as a whole is doing. All fronts tell the same one.
type Phase uint8

// The phases.
const (
	Starting Phase = iota // the list of members is not known yet, or a predecessor still is to be followed
	Serving
	Standby // emptied on the operators' word
	ShuttingDown
)

func (p Phase) String() string { return [...]string{"starting", "serving", "standby", "ending"}[p] }

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
	s := &Snapshot{Phase: c.phase(), DrainingSince: c.left, HasSuccessor: c.followed, ByClass: append([]ClassCounts(nil), c.tallies...), AttemptsWritten: c.dispatches, RuleViolations: c.violations,
		OpenRequests: len(c.open)}
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

func (c *Core) phase() Phase {
	switch {
	case c.stopping:
		return ShuttingDown
	case c.standby:
		return Standby
	case c.listed && !c.held:
		return Serving
	}
	return Starting
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

// EnterStandby empties the router: it goes on answering while it leaves its clients.
func (c *Core) EnterStandby() {
	if !c.standby && !c.stopping {
		c.standby, c.left = true, c.now
		c.publish() // who asked for it is answered before the loop's turn is over
	}
}

// LeaveStandby has the router take clients again. It tells whether it does: one that ends does not.
func (c *Core) LeaveStandby() bool {
	if c.stopping {
		return false
	}
	c.standby, c.left = false, 0
	c.publish()
	return true
}

// HoldStart keeps the router starting, and says so, until ReleaseStart is called.
func (c *Core) HoldStart() { c.held = true }

// ReleaseStart ends HoldStart.
func (c *Core) ReleaseStart() { c.held = false }

// SetSuccessorReady tells the core whether a successor has taken over: who has one leaves its clients as it ends, and spends
// nothing of what the routers share.
func (c *Core) SetSuccessorReady(yes bool) {
	c.followed = yes
	if c.shared != nil {
		c.shared.state.Retire(yes)
	}
}

// ExportMemory returns what a successor goes on from, for TakeOver there. Its times are spans to now; the start of a member is
// the stamp of the list, by which both processes know it.
func (c *Core) ExportMemory() balancer.Memory {
	m := c.balancer.HandOver()
	m.Relative(c.now)
	for i := range m.Members {
		t := &m.Members[i]
		t.Start = 0
		if o := c.members[t.Node]; o != nil {
			t.Start = time.Duration(o.stamp)
		}
	}
	return m
}

// ImportMemory goes on from what a predecessor handed over. What came in before is decided first, as the list counts. What was
// seen of a member that has started anew since is passed over.
func (c *Core) ImportMemory(m balancer.Memory) {
	c.settle()
	m.Absolute(c.now)
	m.Members = slices.DeleteFunc(m.Members, func(t balancer.MemberMemory) bool {
		o := c.members[t.Node]
		return o == nil || t.Start != time.Duration(o.stamp)
	})
	for i := range m.Members {
		m.Members[i].Start = c.members[m.Members[i].Node].start
	}
	c.balancer.TakeOver(c.now, m)
}

// BeginShutdown marks the router as on its way out since a time; it goes on answering. What is open ends, answered, before the platform
// may kill the process: a request whose client waits longer than that would be lost.
func (c *Core) BeginShutdown(since time.Duration) {
	c.stopping = true
	c.left = since
	last := c.last()
	for _, r := range c.open {
		if r.end > last {
			r.end = last
			heap.Push(&c.timers, timer{at: r.end, request: r})
		}
	}
}

// CloseIfIdle tells whether nothing is open, and if so has the core take nothing from then on: a router that ends writes its last
// answers, and what came in meanwhile could get none. It is refused at once instead.
func (c *Core) CloseIfIdle() bool {
	c.empty = c.empty || c.OpenCount() == 0
	return c.empty
}

// last is when what is open must have ended, in a router that ends.
func (c *Core) last() time.Duration { return c.left + c.lim.Finish - c.lim.FinishMargin }

// DrainStage is how far the router has got in leaving its clients.
type DrainStage uint8

// The stages of leaving.
const (
	NotDraining        DrainStage = iota
	CloseAfterResponse            // connections close right behind the answer after which they owe nothing
	CloseIdle                     // so do those that idle
	RejectNew                     // nothing new is taken
	CloseAll                      // no connection that owes nothing stays
)

// DrainStage tells how far the router has got in leaving its clients. It may be called anywhere. One that ends with
// nobody to follow it keeps its connections up to its end: there is nobody else to call.
func (c *Core) DrainStage() DrainStage {
	s := c.snap.Load()
	gone := c.clock() - s.DrainingSince
	switch {
	case s.Phase == ShuttingDown && s.HasSuccessor:
		gone += c.lim.LeaveBehind // the successor has the new connections already
	case s.Phase != Standby:
		return NotDraining
	}
	switch {
	case gone >= c.lim.LeaveCut:
		return CloseAll
	case gone >= c.lim.LeaveRefuse:
		return RejectNew
	case gone >= c.lim.LeaveIdle:
		return CloseIdle
	case gone >= c.lim.LeaveBehind:
		return CloseAfterResponse
	}
	return NotDraining
}
