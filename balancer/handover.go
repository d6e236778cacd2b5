package balancer

import (
	"cmp"
	"slices"
	"time"
)

// What one process of a router hands over to the one that replaces it. Nothing here decides; state is copied out
// and in.

// handedObjects bounds the objects handed over: those served last.
const handedObjects = 4096

// Memory is what the module of a router has learned that a successor goes on from. Its times are those of the
// module's clock where it is made and taken; see Relative and Absolute.
type Memory struct {
	LinkRoom float64
	Floor    time.Duration // copies older than this count as purged
	Purges   []PurgeMemory
	Members  []MemberMemory
	Loads    []LoadMemory // by role
	Classes  []ClassMemory
	Objects  []ObjectMemory
}

// The parts of a Memory.
type (
	// PurgeMemory is a purge that may still bar copies.
	PurgeMemory struct {
		ByGroup bool
		Name    uint64
		At      time.Duration
	}
	// MemberMemory is what was seen of a member: its health, and what it may be sent while it is cold.
	MemberMemory struct {
		Node           EndpointID
		Start          time.Duration
		Saved, Misses  float64
		Fails          int
		Bad            bool
		Trial, Doubted time.Duration
		Doubt          float64
	}
	// LoadMemory is the usual load of a role.
	LoadMemory struct {
		Rate, Peak, Fleet float64
		At                time.Duration
	}
	// ClassMemory is the mean sending time of a class.
	ClassMemory struct {
		Name string
		Work float64
	}
	// ObjectMemory is what is known of a part of an object.
	ObjectMemory struct {
		Object, Part uint64
		Seen         int
		OkAt, Copied time.Duration
		Held         bool
		Work         float64
	}
)

// HandOver returns what a successor goes on from. The saved budgets of slow start go with it, and are not kept:
// together the two processes may not send an endpoint in slow start more than one budget.
func (b *Balancer) HandOver() Memory {
	m := Memory{LinkRoom: b.link.limit, Floor: b.purges.floor}
	for k, at := range b.purges.purgedAt {
		m.Purges = append(m.Purges, PurgeMemory{k.byGroup, k.id, at})
	}
	for _, e := range b.endpoints.byID {
		m.Members = append(m.Members, e.handOver())
		e.warmUp.budget = 0
	}
	for of, l := range b.load {
		m.Loads = append(m.Loads, LoadMemory{Rate: b.classes.serviceTime(l.rate), Peak: b.classes.serviceTime(l.peak),
			Fleet: b.endpoints.peakCapacity[of], At: l.updatedAt})
	}
	for _, c := range b.classes.byName {
		m.Classes = append(m.Classes, ClassMemory{c.Name, c.serviceTime})
	}
	m.Objects = b.objects.handOver()
	m.sort()
	m.Objects = m.Objects[:min(len(m.Objects), handedObjects)]
	return m
}

func (e *endpoint) handOver() MemberMemory {
	return MemberMemory{
		Node: e.id, Start: e.startedAt, Saved: e.warmUp.budget, Misses: e.missRate,
		Fails: e.health.consecutiveFailures, Bad: e.health.ejected, Trial: e.health.nextProbe,
		Doubted: e.health.penalizedAt, Doubt: e.health.penalty,
	}
}

// handOver returns the objects that were served; one that is in both generations is returned twice.
func (t *objectTable) handOver() []ObjectMemory {
	var all []ObjectMemory
	for _, generation := range [...]map[objectKey]*object{t.young, t.old} {
		for k, o := range generation {
			if o.servedAt > 0 {
				all = append(all, ObjectMemory{Object: k.object, Part: k.part, Seen: o.requestCount, OkAt: o.servedAt,
					Copied: o.replicatedAt, Held: o.cachedAtHome, Work: o.serviceTime})
			}
		}
	}
	return all
}

// sort orders what comes from maps, so that modules in the same state return the same, and drops objects that are
// there twice. The objects served last come first.
func (m *Memory) sort() {
	slices.SortFunc(m.Purges, func(x, y PurgeMemory) int {
		return cmp.Or(cmp.Compare(x.Name, y.Name), cmp.Compare(x.At, y.At))
	})
	slices.SortFunc(m.Members, func(x, y MemberMemory) int { return cmp.Compare(x.Node, y.Node) })
	slices.SortFunc(m.Classes, func(x, y ClassMemory) int { return cmp.Compare(x.Name, y.Name) })
	slices.SortFunc(m.Objects, func(x, y ObjectMemory) int {
		return cmp.Or(cmp.Compare(y.OkAt, x.OkAt), cmp.Compare(x.Object, y.Object), cmp.Compare(x.Part, y.Part))
	})
	m.Objects = slices.CompactFunc(m.Objects, func(x, y ObjectMemory) bool {
		return x.Object == y.Object && x.Part == y.Part
	})
}

// TakeOver goes on from what a predecessor has handed over. It must be called when the endpoint list is known, and
// before any request. What was handed over of an endpoint that is not listed, or has restarted since, is dropped,
// and values that make no sense are bounded.
func (b *Balancer) TakeOver(now time.Duration, m Memory) {
	b.now = now
	if m.LinkRoom > 0 {
		b.link.limit = min(max(minLimit, m.LinkRoom), b.link.maxLimit)
	}
	b.purges.floor = max(b.purges.floor, min(m.Floor, now))
	for _, p := range m.Purges {
		b.purges.record(purgeKey{p.ByGroup, p.Name}, min(p.At, now))
	}
	for _, from := range m.Members {
		if e := b.endpoints.byID[from.Node]; e != nil && e.startedAt == from.Start {
			b.takeOverEndpoint(e, from)
		}
	}
	for of := range min(len(m.Loads), len(b.load)) {
		from, l := m.Loads[of], &b.load[of]
		l.rate[0], l.peak[0], l.updatedAt = max(from.Rate, 0), max(from.Peak, 0), min(from.At, now)
		b.endpoints.peakCapacity[of] = max(b.endpoints.peakCapacity[of], from.Fleet)
	}
	for _, from := range m.Classes {
		if c := b.classes.byName[from.Name]; c != nil && from.Work > 0 {
			c.serviceTime = from.Work
		}
	}
	for _, from := range m.Objects[:min(len(m.Objects), handedObjects)] {
		b.objects.young[objectKey{from.Object, from.Part}] = &object{
			requestCount: from.Seen, servedAt: min(from.OkAt, now), replicatedAt: min(from.Copied, now),
			cachedAtHome: from.Held, serviceTime: max(from.Work, 0),
		}
	}
	b.objects.rotatedAt = now
	b.updateCacheLimits()
}

func (b *Balancer) takeOverEndpoint(e *endpoint, from MemberMemory) {
	e.warmUp.budget, e.warmUp.budgetAt = max(from.Saved, 0), b.now // bounded at its next use
	e.missRate = unitRange(from.Misses)
	e.health.penalty, e.health.penalizedAt = unitRange(from.Doubt), min(from.Doubted, b.now)
	e.health.consecutiveFailures, e.health.nextProbe = from.Fails, min(from.Trial, b.now+probeInterval)
	b.setEjected(e, from.Bad)
}

// Relative turns all times but the starts of endpoints into spans to now, which are negative in the past, as the
// clocks of two processes have nothing in common. 0, which means never, stays 0.
func (m *Memory) Relative(now time.Duration) {
	m.eachTime(func(at *time.Duration) {
		if *at != 0 {
			if *at -= now; *at == 0 {
				*at = -1
			}
		}
	})
}

// Absolute turns spans to now into times again.
func (m *Memory) Absolute(now time.Duration) {
	m.eachTime(func(at *time.Duration) {
		if *at != 0 {
			*at = max(now+min(*at, now), 1) // a span that makes no sense must not overflow
		}
	})
}

func (m *Memory) eachTime(f func(at *time.Duration)) {
	f(&m.Floor)
	for i := range m.Purges {
		f(&m.Purges[i].At)
	}
	for i := range m.Members {
		f(&m.Members[i].Trial)
		f(&m.Members[i].Doubted)
	}
	for i := range m.Loads {
		f(&m.Loads[i].At)
	}
	for i := range m.Objects {
		f(&m.Objects[i].OkAt)
		f(&m.Objects[i].Copied)
	}
}

func unitRange(x float64) float64 { return min(max(x, 0), 1) }
