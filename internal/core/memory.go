package core

import (
	"slices"
	"time"

	"hillknot/balancer"
)

// ExportMemory returns what the decision module has learned, for ImportMemory of the successor. Its times are
// relative to now; the start of an endpoint is the stamp of the endpoint list, by which both processes know it.
func (c *Core) ExportMemory() balancer.Memory {
	memory := c.module.HandOver()
	memory.Relative(c.iteration.now)
	for i := range memory.Members {
		learned := &memory.Members[i]
		learned.Start = 0
		if e := c.endpoints.byID[learned.Node]; e != nil {
			learned.Start = time.Duration(e.startStamp)
		}
	}
	return memory
}

// ImportMemory goes on from what the predecessor has learned. Pending events come first, as the endpoint list must
// be known. What was learned of an endpoint that has restarted since is dropped.
func (c *Core) ImportMemory(memory balancer.Memory) {
	c.decide()
	memory.Absolute(c.iteration.now)
	memory.Members = slices.DeleteFunc(memory.Members, func(learned balancer.MemberMemory) bool {
		e := c.endpoints.byID[learned.Node]
		return e == nil || learned.Start != time.Duration(e.startStamp)
	})
	for i := range memory.Members {
		learned := &memory.Members[i]
		learned.Start = c.endpoints.byID[learned.Node].startedAt
	}
	c.module.TakeOver(c.iteration.now, memory)
}
