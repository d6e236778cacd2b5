package balancer

import (
	"cmp"
	"slices"
	"time"
)

// The list of members. A change costs what has changed, however many members are listed: what decisions go over is kept
// in order and changed in place.

// updateList takes the whole updateList, or changes to it.
func (b *Balancer) updateList(ev EndpointUpdate) {
	if b.s.Capabilities.WatchRequired && (ev.Failed || !b.asked) {
		b.asked = true
		b.do(WatchEndpoints{})
	}
	if ev.Failed {
		return
	}
	for _, e := range ev.Endpoints {
		b.listEntry(e)
	}
	if ev.Complete {
		b.dropUnlisted(ev.Endpoints)
	}
	b.countWarmed()
	b.raiseFleet()
	b.forgetDeparted()
}

// listEntry takes a line of the list.
func (b *Balancer) listEntry(e Endpoint) {
	m := b.members[e.ID]
	if m == nil {
		m = &member{id: e.ID, state: Removed, misses: firstMisses}
		b.members[e.ID] = m
	}
	b.unlist(m)
	m.role, m.zone, m.cell, m.weight, m.state = b.roleOf(e), e.Zone, e.Cell, e.Weight, e.State
	if m.role != cache {
		m.misses = 1 // what passes the caches by is all fill
	}
	if e.StartedAt > m.start {
		m.start, m.misses, m.bad, m.fails = e.StartedAt, 1, false, 0
		m.saved, m.savedAt, m.doubt = 0, b.now, 0
	}
	b.enlist(m)
}

// dropUnlisted takes all members to be gone that a whole list lacks.
func (b *Balancer) dropUnlisted(entries []Endpoint) {
	listed := make(map[EndpointID]bool, len(entries))
	for _, e := range entries {
		listed[e.ID] = true
	}
	for id, m := range b.members { // in no set order: what is done to one is nothing to another
		if !listed[id] && m.state != Removed {
			b.unlist(m)
			m.state = Removed
			b.enlist(m)
		}
	}
}

// enlist puts a member where decisions find it, and counts it.
func (b *Balancer) enlist(m *member) {
	if m.state == Removed {
		b.departed = append(b.departed, m)
		return
	}
	b.tally(m, 1)
	switch {
	case m.role == parent:
		b.parents = insertMember(b.parents, m)
	case m.role == origin:
		b.origins = insertMember(b.origins, m)
	case m.zone == b.s.Topology.Zone:
		b.caches = insertMember(b.caches, m)
		m.limit = b.cacheLimit(m)
	}
	b.origin = firstMember(b.origins)
	b.countReady(m)
}

// unlist undoes enlist. It comes before anything that enlist goes by changes.
func (b *Balancer) unlist(m *member) {
	if m.state == Removed {
		b.departed = slices.DeleteFunc(b.departed, func(d *member) bool { return d == m })
		return
	}
	b.tally(m, -1)
	switch {
	case m.role == parent:
		b.parents = removeMember(b.parents, m)
	case m.role == origin:
		b.origins = removeMember(b.origins, m)
	case m.zone == b.s.Topology.Zone:
		b.caches = removeMember(b.caches, m)
	}
	b.origin = firstMember(b.origins)
	b.ready[m.role] -= m.countedReady
	b.settled[m.role] -= m.countedSettled
	m.countedReady, m.countedSettled = 0, 0
}

// forgetDeparted forgets members that are gone and of which nothing is outstanding any more.
func (b *Balancer) forgetDeparted() {
	b.departed = slices.DeleteFunc(b.departed, func(m *member) bool {
		if m.out == 0 {
			delete(b.members, m.id)
		}
		return m.out == 0
	})
}

// ---- How much of a role is in service ----

// warmUp is a member that is counted as settled once it is warm.
type warmUp struct {
	m     *member
	start time.Duration
}

// countReady counts a member that may be named, at once among those in service, and once it is warm among those that are
// settled: a release lists both, old and new. Caches of other locations don't count.
func (b *Balancer) countReady(m *member) {
	if !b.inService(m) || m.role == cache && m.zone != b.s.Topology.Zone {
		return
	}
	m.countedReady = b.sizeOf(m)
	b.ready[m.role] += m.countedReady
	if !b.cold(m) {
		m.countedSettled = m.countedReady
		b.settled[m.role] += m.countedSettled
		return
	}
	queue := b.warming[m.role]
	at, _ := slices.BinarySearchFunc(queue, m.start, compareStart)
	b.warming[m.role] = slices.Insert(queue, at, warmUp{m, m.start})
}

// countWarmed counts the members that have become warm. One that has left the list since, or has started anew, is passed
// over.
func (b *Balancer) countWarmed() {
	for ro, queue := range b.warming {
		n := 0
		for n < len(queue) && b.now-queue[n].start >= b.rules[ro].WarmUpTime {
			if w := queue[n]; w.m.countedReady > 0 && w.m.countedSettled == 0 && w.m.start == w.start {
				w.m.countedSettled = w.m.countedReady
				b.settled[ro] += w.m.countedSettled
			}
			n++
		}
		b.warming[ro] = slices.Delete(queue, 0, n)
	}
}

// raiseFleet keeps the most that was in service of each role at once. What is lost for a while still counts: the fewer are
// left, the less a usual load says of one.
func (b *Balancer) raiseFleet() {
	for ro := range b.fleet {
		sum := b.settled[ro]
		if b.fleet[ro] == 0 {
			sum = b.ready[ro]
		}
		if sum <= b.fleet[ro] {
			continue
		}
		b.fleet[ro] = sum
		if role(ro) == cache {
			b.setLimits()
		}
	}
}

// ---- Ordered lists of members ----

func insertMember(list []*member, m *member) []*member {
	at, _ := slices.BinarySearchFunc(list, m.id, compareID)
	return slices.Insert(list, at, m)
}

func removeMember(list []*member, m *member) []*member {
	at, found := slices.BinarySearchFunc(list, m.id, compareID)
	if !found {
		return list
	}
	return slices.Delete(list, at, at+1)
}

func compareID(m *member, id EndpointID) int { return cmp.Compare(m.id, id) }

func compareStart(w warmUp, start time.Duration) int { return cmp.Compare(w.start, start) }

func firstMember(list []*member) *member {
	if len(list) == 0 {
		return nil
	}
	return list[0]
}

func (b *Balancer) roleOf(e Endpoint) role {
	is := func(kind int) bool {
		return kind >= 0 && kind < len(b.s.Topology.Kinds) && b.s.Topology.Kinds[kind] == e.Kind
	}
	switch {
	case is(b.s.Topology.ParentKind):
		return parent
	case is(b.s.Topology.OriginKind):
		return origin
	}
	return cache
}
