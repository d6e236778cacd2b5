package balancer

import (
	"cmp"
	"slices"
	"time"
)

// What one process of a router hands over to the one that replaces it. Nothing here decides; state is copied out
// and in.

// snapshotObjects bounds the objects in a snapshot: those served last.
const snapshotObjects = 4096

// Snapshot is what a router's module has learned and its successor goes on from. Its times are readings of the
// module's clock; Relative and Absolute carry them over to another clock. Package handover writes it as rows of
// numbers.
type Snapshot struct {
	LinkLimit  float64
	PurgeFloor time.Duration // copies older than this count as purged
	Purges     []PurgeSnapshot
	Endpoints  []EndpointSnapshot
	Loads      []LoadSnapshot // by role
	Classes    []ClassSnapshot
	Objects    []ObjectSnapshot
}

// PurgeSnapshot is a purge that may still rule out copies.
type PurgeSnapshot struct {
	ByGroup  bool
	ID       uint64 // of the object or the group
	PurgedAt time.Duration
}

// EndpointSnapshot is what was seen of an endpoint: its health, and its budget while it is in slow start.
type EndpointSnapshot struct {
	ID                  EndpointID
	StartedAt           time.Duration
	WarmUpBudget        float64 // in seconds of service time
	MissRate            float64
	ConsecutiveFailures int
	Ejected             bool
	NextProbe           time.Duration
	PenalizedAt         time.Duration
	Penalty             float64 // of the health score
}

// LoadSnapshot is the usual load of a role, in seconds of service time per second.
type LoadSnapshot struct {
	Rate, Peak   float64
	PeakCapacity float64 // the most capacity that was in service at once
	UpdatedAt    time.Duration
}

// ClassSnapshot is the mean service time of a class, in seconds.
type ClassSnapshot struct {
	Name        string
	ServiceTime float64
}

// ObjectSnapshot is what is known of a part of an object.
type ObjectSnapshot struct {
	Object, Part uint64
	RequestCount int
	ServedAt     time.Duration
	ReplicatedAt time.Duration
	CachedAtHome bool
	ServiceTime  float64 // in seconds
}

// ExportSnapshot returns what a successor goes on from. The saved budgets of slow start go with it, and are not kept:
// together the two processes may not send an endpoint in slow start more than one budget.
func (b *Balancer) ExportSnapshot() Snapshot {
	m := Snapshot{LinkLimit: b.link.limit, PurgeFloor: b.purges.floor}
	for k, at := range b.purges.purgedAt {
		m.Purges = append(m.Purges, PurgeSnapshot{k.byGroup, k.id, at})
	}
	for _, e := range b.endpoints.byID {
		m.Endpoints = append(m.Endpoints, e.snapshot())
		e.warmUp.budget = 0
	}
	for of, l := range b.load {
		m.Loads = append(m.Loads, LoadSnapshot{Rate: b.classes.serviceTime(l.rate), Peak: b.classes.serviceTime(l.peak),
			PeakCapacity: b.endpoints.peakCapacity[of], UpdatedAt: l.updatedAt})
	}
	for _, c := range b.classes.byName {
		m.Classes = append(m.Classes, ClassSnapshot{c.Name, c.serviceTime})
	}
	m.Objects = b.objects.snapshot()
	m.sort()
	m.Objects = m.Objects[:min(len(m.Objects), snapshotObjects)]
	return m
}

func (e *endpoint) snapshot() EndpointSnapshot {
	return EndpointSnapshot{
		ID: e.id, StartedAt: e.startedAt, WarmUpBudget: e.warmUp.budget, MissRate: e.missRate,
		ConsecutiveFailures: e.health.consecutiveFailures, Ejected: e.health.ejected, NextProbe: e.health.nextProbe,
		PenalizedAt: e.health.penalizedAt, Penalty: e.health.penalty,
	}
}

// snapshot returns the objects that were served; one that is in both generations is returned twice.
func (t *objectTable) snapshot() []ObjectSnapshot {
	var all []ObjectSnapshot
	for _, generation := range [...]map[objectKey]*object{t.young, t.old} {
		for k, o := range generation {
			if o.servedAt > 0 {
				all = append(all, o.snapshot(k))
			}
		}
	}
	return all
}

func (o *object) snapshot(k objectKey) ObjectSnapshot {
	return ObjectSnapshot{
		Object: k.object, Part: k.part, RequestCount: o.requestCount, ServedAt: o.servedAt,
		ReplicatedAt: o.replicatedAt, CachedAtHome: o.cachedAtHome, ServiceTime: o.serviceTime,
	}
}

// sort orders what comes from maps, so that modules in the same state return the same, and drops objects that are
// there twice. The objects served last come first.
func (m *Snapshot) sort() {
	slices.SortFunc(m.Purges, func(x, y PurgeSnapshot) int {
		return cmp.Or(cmp.Compare(x.ID, y.ID), cmp.Compare(x.PurgedAt, y.PurgedAt))
	})
	slices.SortFunc(m.Endpoints, func(x, y EndpointSnapshot) int { return cmp.Compare(x.ID, y.ID) })
	slices.SortFunc(m.Classes, func(x, y ClassSnapshot) int { return cmp.Compare(x.Name, y.Name) })
	slices.SortFunc(m.Objects, func(x, y ObjectSnapshot) int {
		return cmp.Or(cmp.Compare(y.ServedAt, x.ServedAt), cmp.Compare(x.Object, y.Object), cmp.Compare(x.Part, y.Part))
	})
	m.Objects = slices.CompactFunc(m.Objects, func(x, y ObjectSnapshot) bool {
		return x.Object == y.Object && x.Part == y.Part
	})
}

// ImportSnapshot goes on from what a predecessor has handed over. It must be called when the endpoint list is
// known, and before any request. What was handed over of an endpoint that is not listed, or has restarted since, is
// dropped, and values that make no sense are bounded.
func (b *Balancer) ImportSnapshot(now time.Duration, m Snapshot) {
	b.now = now
	if m.LinkLimit > 0 {
		b.link.limit = min(max(minLimit, m.LinkLimit), b.link.maxLimit)
	}
	b.purges.floor = max(b.purges.floor, min(m.PurgeFloor, now))
	for _, p := range m.Purges {
		b.purges.record(purgeKey{p.ByGroup, p.ID}, min(p.PurgedAt, now))
	}
	for _, from := range m.Endpoints {
		if e := b.endpoints.byID[from.ID]; e != nil && e.startedAt == from.StartedAt {
			b.importEndpoint(e, from)
		}
	}
	for of := range min(len(m.Loads), len(b.load)) {
		b.importLoad(role(of), m.Loads[of])
	}
	for _, from := range m.Classes {
		if c := b.classes.byName[from.Name]; c != nil && from.ServiceTime > 0 {
			c.serviceTime = from.ServiceTime
		}
	}
	for _, from := range m.Objects[:min(len(m.Objects), snapshotObjects)] {
		b.objects.restore(now, from)
	}
	b.objects.rotatedAt = now
	b.updateCacheLimits()
}

// importLoad takes over the usual load of a role as a whole: its calls by class are not in a snapshot, so it counts
// under the class whose calls are seconds of service time.
func (b *Balancer) importLoad(of role, from LoadSnapshot) {
	l := &b.load[of]
	l.rate[0], l.peak[0], l.updatedAt = max(from.Rate, 0), max(from.Peak, 0), min(from.UpdatedAt, b.now)
	b.endpoints.peakCapacity[of] = max(b.endpoints.peakCapacity[of], from.PeakCapacity)
}

func (t *objectTable) restore(now time.Duration, from ObjectSnapshot) {
	t.young[objectKey{from.Object, from.Part}] = &object{
		requestCount: from.RequestCount, servedAt: min(from.ServedAt, now), replicatedAt: min(from.ReplicatedAt, now),
		cachedAtHome: from.CachedAtHome, serviceTime: max(from.ServiceTime, 0),
	}
}

func (b *Balancer) importEndpoint(e *endpoint, from EndpointSnapshot) {
	e.warmUp.budget, e.warmUp.budgetAt = max(from.WarmUpBudget, 0), b.now // bounded at its next use
	e.missRate = unitRange(from.MissRate)
	e.health.penalty, e.health.penalizedAt = unitRange(from.Penalty), min(from.PenalizedAt, b.now)
	e.health.consecutiveFailures, e.health.nextProbe = from.ConsecutiveFailures, min(from.NextProbe, b.now+probeInterval)
	b.setEjected(e, from.Ejected)
}

// Relative turns all times but the starts of endpoints into spans to now, which are negative in the past, as the
// clocks of two processes have nothing in common. 0, which means never, stays 0.
func (m *Snapshot) Relative(now time.Duration) {
	m.eachTime(func(at *time.Duration) {
		if *at != 0 {
			if *at -= now; *at == 0 {
				*at = -1
			}
		}
	})
}

// Absolute turns spans to now into times again.
func (m *Snapshot) Absolute(now time.Duration) {
	m.eachTime(func(at *time.Duration) {
		if *at != 0 {
			*at = max(now+min(*at, now), 1) // a span that makes no sense must not overflow
		}
	})
}

func (m *Snapshot) eachTime(f func(at *time.Duration)) {
	f(&m.PurgeFloor)
	for i := range m.Purges {
		f(&m.Purges[i].PurgedAt)
	}
	for i := range m.Endpoints {
		f(&m.Endpoints[i].NextProbe)
		f(&m.Endpoints[i].PenalizedAt)
	}
	for i := range m.Loads {
		f(&m.Loads[i].UpdatedAt)
	}
	for i := range m.Objects {
		f(&m.Objects[i].ServedAt)
		f(&m.Objects[i].ReplicatedAt)
	}
}

func unitRange(x float64) float64 { return min(max(x, 0), 1) }
