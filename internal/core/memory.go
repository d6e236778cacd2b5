package core

import (
	"slices"
	"time"

	"hillknot/balancer"
)

// ExportModuleSnapshot returns what the decision module has learned, for ImportModuleSnapshot of the
// successor. Its times are relative to now; the start of an endpoint is the stamp of the endpoint list, by which both
// processes know it.
func (c *Core) ExportModuleSnapshot() balancer.Snapshot {
	memory := c.module.ExportSnapshot()
	memory.Relative(c.iteration.now)
	for i := range memory.Endpoints {
		learned := &memory.Endpoints[i]
		learned.StartedAt = 0
		if e := c.endpoints.byID[learned.ID]; e != nil {
			learned.StartedAt = time.Duration(e.startStamp)
		}
	}
	return memory
}

// ImportModuleSnapshot goes on from what the predecessor has learned. Pending events come first, as the endpoint list
// must be known. What was learned of an endpoint that has restarted since is dropped.
func (c *Core) ImportModuleSnapshot(memory balancer.Snapshot) {
	c.decide()
	memory.Absolute(c.iteration.now)
	memory.Endpoints = slices.DeleteFunc(memory.Endpoints, func(learned balancer.EndpointSnapshot) bool {
		e := c.endpoints.byID[learned.ID]
		return e == nil || learned.StartedAt != time.Duration(e.startStamp)
	})
	for i := range memory.Endpoints {
		learned := &memory.Endpoints[i]
		learned.StartedAt = c.endpoints.byID[learned.ID].startedAt
	}
	c.module.ImportSnapshot(c.iteration.now, memory)
}
