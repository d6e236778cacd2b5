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
	snapshot := c.module.ExportSnapshot()
	snapshot.Relative(c.iteration.now)
	for i := range snapshot.Endpoints {
		endpoint := &snapshot.Endpoints[i]
		endpoint.StartedAt = 0
		if listed := c.endpoints.byID[endpoint.ID]; listed != nil {
			endpoint.StartedAt = time.Duration(listed.startStamp)
		}
	}
	return snapshot
}

// ImportModuleSnapshot goes on from what the predecessor has learned. Pending events come first, as the endpoint list
// must be known. What was learned of an endpoint that has restarted since is dropped.
func (c *Core) ImportModuleSnapshot(snapshot balancer.Snapshot) {
	c.decide()
	snapshot.Absolute(c.iteration.now)
	snapshot.Endpoints = slices.DeleteFunc(snapshot.Endpoints, func(endpoint balancer.EndpointSnapshot) bool {
		listed := c.endpoints.byID[endpoint.ID]
		return listed == nil || endpoint.StartedAt != time.Duration(listed.startStamp)
	})
	for i := range snapshot.Endpoints {
		endpoint := &snapshot.Endpoints[i]
		endpoint.StartedAt = c.endpoints.byID[endpoint.ID].startedAt
	}
	c.module.ImportSnapshot(c.iteration.now, snapshot)
}
