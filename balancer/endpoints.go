package balancer

import (
	"cmp"
	"slices"
	"time"
)

// The endpoint list. A change costs what has changed, however many endpoints are listed: what decisions choose from
// is kept in order and changed in place.

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

// applyEndpoint takes in one line of the list.
func (b *Balancer) applyEndpoint(listed Endpoint) {
	e := b.endpoints.byID[listed.ID]
	if e == nil {
		e = &endpoint{id: listed.ID, state: Removed, missRate: initialMissRate}
		b.endpoints.byID[listed.ID] = e
	}
	b.unindex(e)
	e.role, e.zone, e.cell, e.weight, e.state = b.roleOf(listed), listed.Zone, listed.Cell, listed.Weight, listed.State
	if e.role != roleCache {
		e.missRate = 1 // an attempt that bypasses the caches is always a transfer
	}
	if listed.StartedAt > e.startedAt {
		e.restart(b.now, listed.StartedAt)
	}
	b.index(e)
}

// restart forgets what was seen of an endpoint's earlier process. Its cache is empty, and its slow start begins.
func (e *endpoint) restart(now, startedAt time.Duration) {
	e.startedAt, e.missRate = startedAt, 1
	e.health.ejected, e.health.consecutiveFailures, e.health.penalty = false, 0, 0
	e.warmUp.budget, e.warmUp.budgetAt = 0, now
}

// removeUnlisted removes all endpoints that a complete list lacks.
func (b *Balancer) removeUnlisted(entries []Endpoint) {
	listed := make(map[EndpointID]bool, len(entries))
	for _, entry := range entries {
		listed[entry.ID] = true
	}
	for id, e := range b.endpoints.byID { // in no set order: what is done to one has no effect on another
		if !listed[id] && e.state != Removed {
			b.unindex(e)
			e.state = Removed
			b.index(e)
		}
	}
}

// index puts an endpoint where decisions find it, and counts it.
func (b *Balancer) index(e *endpoint) {
	t := &b.endpoints
	if e.state == Removed {
		t.removed = append(t.removed, e)
		return
	}
	t.countCache(e, 1)
	if list := b.choicesOf(e); list != nil {
		*list = insertEndpoint(*list, e)
	}
	if b.isLocalCache(e) {
		e.concurrencyLimit = b.cacheLimit(e)
	}
	t.origin = firstEndpoint(t.origins)
	b.countAvailable(e)
}

// unindex undoes index. It must come before a change of anything that index goes by.
func (b *Balancer) unindex(e *endpoint) {
	t := &b.endpoints
	if e.state == Removed {
		t.removed = slices.DeleteFunc(t.removed, func(r *endpoint) bool { return r == e })
		return
	}
	t.countCache(e, -1)
	if list := b.choicesOf(e); list != nil {
		*list = removeEndpoint(*list, e)
	}
	t.origin = firstEndpoint(t.origins)
	t.available[e.role] -= e.counted.available
	t.warmedUp[e.role] -= e.counted.warmedUp
	e.counted = countedCapacity{}
}

// choicesOf is the list that an endpoint is chosen from; caches of other zones are never chosen.
func (b *Balancer) choicesOf(e *endpoint) *[]*endpoint {
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
	return e.role == roleCache && e.zone == b.settings.Topology.Zone
}

// countCache adds an endpoint to the counts of caches, or with sign -1 takes it out of them.
func (t *endpointTable) countCache(e *endpoint, sign int) {
	if e.role != roleCache {
		return
	}
	t.cachesListed += sign
	if e.health.ejected || !e.inService() {
		t.cachesAvoided += sign
	}
}

// forgetRemoved forgets the removed endpoints that have no attempts in flight any more.
func (t *endpointTable) forgetRemoved() {
	t.removed = slices.DeleteFunc(t.removed, func(e *endpoint) bool {
		if e.inFlight == 0 {
			delete(t.byID, e.id)
		}
		return e.inFlight == 0
	})
}

// ---- How much capacity of a role is in service ----

// countAvailable counts an endpoint in service: at once as available, and as warmed up when its slow start is over.
// During a release both the old and the new endpoints are listed. Caches of other zones don't count.
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

func (t *endpointTable) countWarmedUp(e *endpoint) {
	e.counted.warmedUp = e.counted.available
	t.warmedUp[e.role] += e.counted.warmedUp
}

// countWarmedUp counts the endpoints whose slow start is over.
func (b *Balancer) countWarmedUp() {
	for of, queue := range b.endpoints.warmingUp {
		n := 0
		for n < len(queue) && b.now-queue[n].startedAt >= b.slowStart[of].WarmUpTime {
			if queue[n].current() {
				b.endpoints.countWarmedUp(queue[n].endpoint)
			}
			n++
		}
		b.endpoints.warmingUp[of] = slices.Delete(queue, 0, n)
	}
}

// current tells whether an entry still stands: its endpoint has not left the list or restarted since.
func (w warmUpEntry) current() bool {
	e := w.endpoint
	return e.counted.available > 0 && e.counted.warmedUp == 0 && e.startedAt == w.startedAt
}

// raisePeakCapacity keeps the most capacity that was in service at once. What is lost for a while still counts: the
// fewer endpoints are left, the less the usual load says of one.
func (b *Balancer) raisePeakCapacity() {
	t := &b.endpoints
	for of := range t.peakCapacity {
		capacity := t.warmedUp[of]
		if t.peakCapacity[of] == 0 {
			capacity = t.available[of]
		}
		if capacity <= t.peakCapacity[of] {
			continue
		}
		t.peakCapacity[of] = capacity
		if role(of) == roleCache {
			b.updateCacheLimits()
		}
	}
}

// ---- Lists in the order of ids ----

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
	site := &b.settings.Topology
	is := func(kind int) bool { return kind >= 0 && kind < len(site.Kinds) && site.Kinds[kind] == listed.Kind }
	switch {
	case is(site.ParentKind):
		return roleParent
	case is(site.OriginKind):
		return roleOrigin
	}
	return roleCache
}
