package balancer

import (
	"slices"
)

// Where a request goes: rendezvous hashing over the members, the sources of fills, and the candidates that step in.

// writePath: what runs at the origin goes straight there where that is allowed, else through an edge
// cache with a parent or the origin as the source. A repeat takes another way.
func (b *Balancer) writePath(r *request) attempt {
	home, second := b.homes(r)
	if b.s.Capabilities.DirectAttempts && b.origin != nil && b.inService(b.origin) {
		way := attempt{node: b.origin, source: b.origin}
		if home != nil && !b.allowed(r, way.node) || len(r.attempts)%2 == 1 && home != nil && b.usable(home) {
			way = attempt{node: home, source: home}
		}
		if b.allowed(r, way.node) {
			return way
		}
		return attempt{}
	}
	for _, p := range []*member{home, second, b.origin} {
		if p != nil && b.inService(p) && !b.failed(r, p) {
			if c := b.edge(r); c != nil {
				return attempt{node: c, source: p}
			}
		}
	}
	return attempt{}
}

// readPath: the edge cache by hash, filled from the home parent; from the second home when the object's
// copy interval is over or the home fails; from the origin when there are no parents or it has the trust that
// the home has lost. While the origin itself is slow, parents give only what they hold for most objects: a
// fill that waits for it would keep quick ones off the link, and its load would keep it slow.
func (b *Balancer) readPath(r *request) attempt {
	a := attempt{node: b.edge(r)}
	home, second := b.homes(r)
	up := b.origin != nil && b.inService(b.origin)
	asks := up && b.within(r.Object, b.origin, b.trust(b.origin)/originPart)
	switch a.source = home; {
	case r.lacked == 1 && second != nil && b.usable(second):
		a.source = second
	case r.lacked > 0:
		if a.source = nil; asks {
			a.source = b.origin
		}
	case home == nil || !b.usable(home) || b.failed(r, home):
		a.source = second
		if second == nil || !b.usable(second) || b.failed(r, second) {
			if a.source = nil; up {
				a.source = b.origin
			}
		}
	case asks && !b.within(r.Object, home, b.trust(home)/originPart):
		a.source = b.origin
	case second != nil && b.usable(second) && r.object.held && b.now-r.object.copied > copyInterval:
		a.source, a.warming = second, true
	}
	a.held = up && !asks && a.source != nil && a.source.role == parent
	if a.node == nil && b.s.Capabilities.DirectAttempts && a.source != nil && up && b.link < b.linkRoom {
		if a.node = a.source; !a.held { // no edge cache has room: pass them by
			a.source = b.origin
		}
	}
	if a.node == nil {
		return attempt{}
	}
	a.fills = 1
	if a.node.role == cache && !r.missed {
		a.fills = a.node.misses
	}
	room := b.linkRoom * b.sizeAllowance(r)
	if r.Retry {
		room = b.linkRoom * retryPart
	}
	if a.source == nil || b.link+a.fills > room {
		if r.missed || a.node.role != cache {
			return attempt{} // waits for the link
		}
		a.source, a.fills, a.warming, a.held = a.node, 0, false, false // only what is held is served
	}
	return a
}

// edge picks the edge cache: the top score among the ready ones, the next standing in. The unit that it
// hashes is the copy, which is of one part: a long object's parts would else crowd one cache's link.
func (b *Balancer) edge(r *request) *member {
	return b.pick(r, mix(r.Object)+r.Part, b.caches, saltCache, nil)
}

// homes names the home and the second home of an object, over all listed parents that do not drain.
// Cold shares shift part of a started parent's range to the next score.
func (b *Balancer) homes(r *request) (home, second *member) {
	home = b.pick(r, r.Object, b.parents, saltHome, nil)
	second = b.pick(r, r.Object, b.parents, saltSecond, home)
	return
}

// failed tells whether a member already failed this request, as server or as source.
func (b *Balancer) failed(r *request, m *member) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.blame == m })
}

// allowed tells whether the group of the class lets an attempt at a member follow the earlier ones.
func (b *Balancer) allowed(r *request, m *member) bool {
	for i := range r.attempts {
		e := &r.attempts[i]
		if r.class.Idempotency != IdempotentByKey || e.neverRan || r.class.DedupScope == DedupEverywhere {
			continue
		}
		if e.node.zone != m.zone || r.class.DedupScope == DedupInCell && e.node.cell != m.cell {
			return false
		}
	}
	return true
}

// owns tells whether a member has the object in its share of its range, which rises in a line after a start
// and shrinks while it is slower than its peers. The object's hash decides, so that routers agree.
func (b *Balancer) owns(key uint64, m *member) bool {
	share := min(1, b.trust(m)/(peerPart*b.best[m.role]))
	if m.start > 0 && m.role != origin {
		share *= min(1, float64(b.now-m.start)/float64(warmTime))
	}
	return b.within(key, m, share)
}

// within tells whether an object is in a share of a member's range.
func (b *Balancer) within(key uint64, m *member, share float64) bool {
	return share >= 1 || unit(key, uint64(m.id), saltShare) < share
}
