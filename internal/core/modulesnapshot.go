package core

import (
	"slices"
	"time"

	"hillknot/balancer"
)

// ExportModuleSnapshot returns the learned state of the decision module, for ImportModuleSnapshot of the successor. Its
// times are relative to now. The start of an endpoint is given by its stamp on the endpoint list, which both processes
// know.
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

// ImportModuleSnapshot has the decision module take over the learned state of the predecessor. Pending events are handled
// first, as the endpoint list must be known. The state of an endpoint that is not listed, or has restarted since, is
// dropped.
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
