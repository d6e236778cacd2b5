package balancer

import (
	"cmp"
	"slices"
	"time"
)

// This file maintains the endpoint list. The cost of an update depends on the number of changed endpoints, not on the
// length of the list: the slices that endpoints are chosen from are kept in order and changed in place.

func (b *Balancer) handleEndpointUpdate(ev EndpointUpdate) {
	if b.settings.Capabilities.WatchRequired && (ev.Failed || !b.endpoints.watched) {
		b.endpoints.watched = true
		b.emit(WatchEndpoints{})
	}
	if ev.Failed {
		return
	}
	for _, listed := range ev.Endpoints {
		b.applyEndpoint(listed)
	}
	if ev.Complete {
		b.removeUnlisted(ev.Endpoints)
	}
	b.countWarmedUp()
	b.raisePeakCapacity()
	b.endpoints.forgetRemoved()
}

// applyEndpoint applies one entry of an endpoint update.
func (b *Balancer) applyEndpoint(listed Endpoint) {
	e := b.endpoints.byID[listed.ID]
	if e == nil {
		e = &endpoint{id: listed.ID, state: Removed, missRate: initialMissRate}
		b.endpoints.byID[listed.ID] = e
	}
	b.unindex(e)
	e.role, e.placement = b.roleOf(listed), Placement{Zone: listed.Zone, Cell: listed.Cell}
	e.weight, e.state = listed.Weight, listed.State
	if e.role != roleCache {
		e.missRate = 1 // an attempt that bypasses the caches is always a transfer on the zone's link
	}
	if listed.StartedAt > e.startedAt {
		e.restart(b.now, listed.StartedAt)
	}
	b.index(e)
}

// restart discards what was learned of an endpoint's earlier process. The endpoint's cache is empty, and its slow start
// begins.
func (e *endpoint) restart(now, startedAt time.Duration) {
	e.startedAt, e.missRate = startedAt, 1
	e.health.ejected, e.health.consecutiveFailures, e.health.penalty = false, 0, 0
	e.warmUp.budget, e.warmUp.budgetAt = 0, now
}

// removeUnlisted marks all endpoints that are not in a complete list as removed.
func (b *Balancer) removeUnlisted(entries []Endpoint) {
	listed := make(map[EndpointID]bool, len(entries))
	for _, entry := range entries {
		listed[entry.ID] = true
	}
	for id, e := range b.endpoints.byID { // in any order, as the removals are independent of each other
		if !listed[id] && e.state != Removed {
			b.unindex(e)
			e.state = Removed
			b.index(e)
		}
	}
}

// index adds an endpoint to the slices that endpoints are chosen from and to the counts.
func (b *Balancer) index(e *endpoint) {
	t := &b.endpoints
	if e.state == Removed {
		t.removed = append(t.removed, e)
		return
	}
	t.countCache(e, 1)
	if list := b.candidateList(e); list != nil {
		*list = insertEndpoint(*list, e)
	}
	if b.isLocalCache(e) {
		e.concurrencyLimit = b.cacheLimit(e)
	}
	t.origin = firstEndpoint(t.origins)
	b.countAvailable(e)
}

// unindex reverts index. It must be called before a change of anything that index depends on.
func (b *Balancer) unindex(e *endpoint) {
	t := &b.endpoints
	if e.state == Removed {
		t.removed = slices.DeleteFunc(t.removed, func(r *endpoint) bool { return r == e })
		return
	}
	t.countCache(e, -1)
	if list := b.candidateList(e); list != nil {
		*list = removeEndpoint(*list, e)
	}
	t.origin = firstEndpoint(t.origins)
	t.available[e.role] -= e.counted.available
	t.warmedUp[e.role] -= e.counted.warmedUp
	e.counted = countedCapacity{}
}

// candidateList returns the slice that an endpoint is chosen from, or nil for caches of other zones, which are never
// chosen.
func (b *Balancer) candidateList(e *endpoint) *[]*endpoint {
	switch {
	case e.role == roleParent:
		return &b.endpoints.parents
	case e.role == roleOrigin:
		return &b.endpoints.origins
	case b.isLocalCache(e):
		return &b.endpoints.caches
	}
	return nil
}

func (b *Balancer) isLocalCache(e *endpoint) bool {
	return e.role == roleCache && e.placement.Zone == b.settings.Topology.Zone
}

// countCache adds an endpoint to the counts of caches with sign 1, and subtracts it with sign -1. It ignores endpoints
// that are no caches.
func (t *endpointTable) countCache(e *endpoint, sign int) {
	if e.role != roleCache {
		return
	}
	t.cachesListed += sign
	if e.health.ejected || !e.inService() {
		t.cachesAvoided += sign
	}
}

// forgetRemoved deletes the removed endpoints that have no attempts in flight.
func (t *endpointTable) forgetRemoved() {
	t.removed = slices.DeleteFunc(t.removed, func(e *endpoint) bool {
		if e.inFlight == 0 {
			delete(t.byID, e.id)
		}
		return e.inFlight == 0
	})
}

// ---- Capacity in service, by role ----

// countAvailable adds an endpoint in service to the available capacity at once, and to the warmed-up capacity when its
// slow start is over. The two are counted separately because both the old and the new endpoints are listed during a
// release. Caches of other zones don't count.
func (b *Balancer) countAvailable(e *endpoint) {
	t := &b.endpoints
	if !e.inService() || e.role == roleCache && !b.isLocalCache(e) {
		return
	}
	e.counted.available = b.capacityOf(e)
	t.available[e.role] += e.counted.available
	if !b.isWarmingUp(e) {
		t.countWarmedUp(e)
		return
	}
	queue := t.warmingUp[e.role]
	at, _ := slices.BinarySearchFunc(queue, e.startedAt, compareStart)
	t.warmingUp[e.role] = slices.Insert(queue, at, warmUpEntry{e, e.startedAt})
}

// countWarmedUp adds an available endpoint to the warmed-up capacity.
func (t *endpointTable) countWarmedUp(e *endpoint) {
	e.counted.warmedUp = e.counted.available
	t.warmedUp[e.role] += e.counted.warmedUp
}

// countWarmedUp adds the endpoints whose slow start is over to the warmed-up capacity.
func (b *Balancer) countWarmedUp() {
	for roleIndex, queue := range b.endpoints.warmingUp {
		n := 0
		for n < len(queue) && b.now-queue[n].startedAt >= b.slowStart[roleIndex].WarmUpTime {
			if queue[n].current() {
				b.endpoints.countWarmedUp(queue[n].endpoint)
			}
			n++
		}
		b.endpoints.warmingUp[roleIndex] = slices.Delete(queue, 0, n)
	}
}

// current reports whether an entry is still valid: its endpoint has neither left service nor restarted since, and does
// not count as warmed up yet.
func (w warmUpEntry) current() bool {
	e := w.endpoint
	return e.counted.available > 0 && e.counted.warmedUp == 0 && e.startedAt == w.startedAt
}

// raisePeakCapacity updates the peak of the capacity that was in service at once. Before the first peak, endpoints in
// slow start count as well. The peak never falls, so capacity that is lost for a while still counts: with fewer
// endpoints left, the usual load says less about a single endpoint.
func (b *Balancer) raisePeakCapacity() {
	t := &b.endpoints
	for roleIndex := range t.peakCapacity {
		capacity := t.warmedUp[roleIndex]
		if t.peakCapacity[roleIndex] == 0 {
			capacity = t.available[roleIndex]
		}
		if capacity <= t.peakCapacity[roleIndex] {
			continue
		}
		t.peakCapacity[roleIndex] = capacity
		if role(roleIndex) == roleCache {
			b.updateCacheLimits()
		}
	}
}

// ---- Slices in the order of ids ----

func insertEndpoint(list []*endpoint, e *endpoint) []*endpoint {
	at, _ := slices.BinarySearchFunc(list, e.id, compareID)
	return slices.Insert(list, at, e)
}

func removeEndpoint(list []*endpoint, e *endpoint) []*endpoint {
	at, found := slices.BinarySearchFunc(list, e.id, compareID)
	if !found {
		return list
	}
	return slices.Delete(list, at, at+1)
}

func compareID(e *endpoint, id EndpointID) int { return cmp.Compare(e.id, id) }

func compareStart(w warmUpEntry, start time.Duration) int { return cmp.Compare(w.startedAt, start) }

func firstEndpoint(list []*endpoint) *endpoint {
	if len(list) == 0 {
		return nil
	}
	return list[0]
}

func (b *Balancer) roleOf(listed Endpoint) role {
	topology := &b.settings.Topology
	isKind := func(kind int) bool {
		return kind >= 0 && kind < len(topology.Kinds) && topology.Kinds[kind] == listed.Kind
	}
	switch {
	case isKind(topology.ParentKind):
		return roleParent
	case isKind(topology.OriginKind):
		return roleOrigin
	}
	return roleCache
}
