package core

import (
	"time"

	"hillknot/balancer"
	"hillknot/internal/clock"
)

// Endpoint is a page cache, parent or origin on the endpoint list, and is updated with the list. It belongs to the core's
// goroutine.
type Endpoint struct {
	ID    string
	Addr  string // host:port
	State balancer.EndpointState

	kind       string
	placement  balancer.Placement
	moduleID   balancer.EndpointID
	startStamp clock.Stamp   // of the latest start
	startedAt  time.Duration // time of the latest start, on the core's clock; 0: long ago
}

// EndpointUpdate is an entry of the endpoint list, as discovery reports it.
type EndpointUpdate struct {
	ID, Addr, Kind, Zone string
	Cell                 int
	Weight               float64
	State                balancer.EndpointState
	StartStamp           clock.Stamp   // identifies a recent start; 0: it was long ago
	StartedAt            time.Duration // time of that start, on the core's clock
}

// EndpointIDOf returns the module's id of an endpoint: the FNV-1a hash of its name, so that all routers derive the same
// id.
func EndpointIDOf(id string) balancer.EndpointID {
	const offset, prime = 14695981039346656037, 1099511628211
	hash := uint64(offset)
	for i := range len(id) {
		hash = (hash ^ uint64(id[i])) * prime
	}
	return balancer.EndpointID(hash)
}

// endpointList holds the endpoints that are listed.
type endpointList struct {
	byID map[balancer.EndpointID]*Endpoint
	log  endpointLog
}

// ReplaceEndpoints takes a complete endpoint list. An endpoint that is not on it is removed.
func (c *Core) ReplaceEndpoints(all []EndpointUpdate) {
	event := c.applyEndpoints(all)
	event.Complete = true
	listed := make(map[balancer.EndpointID]bool, len(all))
	for _, entry := range event.Endpoints {
		listed[entry.ID] = true
	}
	for id, e := range c.endpoints.byID {
		if !listed[id] {
			c.removeEndpoint(e)
		}
	}
	c.endpointsChanged(event)
}

// UpdateEndpoints takes changes to the endpoint list.
func (c *Core) UpdateEndpoints(changed []EndpointUpdate) {
	c.endpointsChanged(c.applyEndpoints(changed))
}

// applyEndpoints applies updates to the list, and returns the event that reports them to the module.
func (c *Core) applyEndpoints(updates []EndpointUpdate) balancer.EndpointUpdate {
	event := balancer.EndpointUpdate{Endpoints: make([]balancer.Endpoint, 0, len(updates))}
	for i := range updates {
		update := &updates[i]
		e := c.applyEndpoint(update)
		event.Endpoints = append(event.Endpoints, balancer.Endpoint{
			ID:        e.moduleID,
			Kind:      update.Kind,
			Zone:      update.Zone,
			Cell:      update.Cell,
			Weight:    update.Weight,
			StartedAt: e.startedAt,
			State:     update.State,
		})
	}
	return event
}

// applyEndpoint applies an update to the list, and returns the updated endpoint.
func (c *Core) applyEndpoint(update *EndpointUpdate) *Endpoint {
	id := EndpointIDOf(update.ID)
	e := c.endpoints.byID[id]
	if e == nil {
		e = &Endpoint{ID: update.ID, moduleID: id}
	}
	restarted := e.updateStart(update)
	if e.Addr != "" && (e.Addr != update.Addr || restarted) {
		c.upstream.CloseEndpoint(e) // another process is there now
	}
	e.Addr, e.State, e.kind = update.Addr, update.State, update.Kind
	e.placement = balancer.Placement{Zone: update.Zone, Cell: update.Cell}
	c.endpoints.byID[id] = e
	if c.extensions.cluster != nil {
		c.extensions.cluster.updateWarmUp(e)
	}
	if update.State == balancer.Removed {
		c.removeEndpoint(e)
	}
	return e
}

// endpointsChanged passes changes of the list to the module and logs them, once they are applied.
func (c *Core) endpointsChanged(event balancer.EndpointUpdate) {
	if len(c.endpoints.byID) > 0 {
		c.lifecycle.unblock(endpointsUnknown)
	}
	c.emit(event)
	c.logEndpoints(event)
}

func (c *Core) removeEndpoint(e *Endpoint) {
	e.State = balancer.Removed
	if c.extensions.cluster != nil {
		c.extensions.cluster.updateWarmUp(e)
	}
	c.upstream.CloseEndpoint(e)
	delete(c.endpoints.byID, e.moduleID)
}

// updateStart takes the latest start of an endpoint from an update, and reports whether it is another start than before.
// A stamp is only compared for equality with another stamp: it comes from a clock that may have been stepped between
// two starts.
func (e *Endpoint) updateStart(update *EndpointUpdate) bool {
	if update.StartStamp == 0 || update.StartStamp == e.startStamp {
		return false
	}
	e.startStamp = update.StartStamp
	e.startedAt = max(update.StartedAt, e.startedAt+1) // a later start gets a later time, however the two stamps were dated
	return true
}
