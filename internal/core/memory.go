package core

import (
	"slices"
	"time"

	"hillknot/balancer"
)

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
