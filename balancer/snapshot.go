package balancer

import (
	"cmp"
	"slices"
	"time"
)

// This file exports the state that one process of a router hands over to its successor, and imports it there. It makes
// no decisions.

// snapshotObjects is the maximum number of objects in a snapshot. Those served last are kept.
const snapshotObjects = 4096

// Snapshot holds what a balancer has learned, from which its successor continues. Its times are readings of the
// caller's clock; Relative and Absolute convert them to another clock. Package handover writes it as rows of numbers.
type Snapshot struct {
	LinkLimit  float64
	PurgeFloor time.Duration // copies older than this count as purged
	Purges     []PurgeSnapshot
	Endpoints  []EndpointSnapshot
	Loads      []LoadSnapshot // by role
	Classes    []ClassSnapshot
	Objects    []ObjectSnapshot
}

// PurgeSnapshot is a purge that may still exclude copies.
type PurgeSnapshot struct {
	ByGroup  bool
	ID       uint64 // of the object or the group
	PurgedAt time.Duration
}

// EndpointSnapshot is what a balancer has learned of an endpoint: its health, and its budget while it is in slow start.
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
	PeakCapacity float64 // the highest capacity that was in service at once
	UpdatedAt    time.Duration
}

// ClassSnapshot is the mean service time of a class, in seconds.
type ClassSnapshot struct {
	Name        string
	ServiceTime float64
}

// ObjectSnapshot is what a balancer has learned of a part of an object.
type ObjectSnapshot struct {
	Object, Part uint64
	RequestCount int
	ServedAt     time.Duration
	ReplicatedAt time.Duration
	CachedAtHome bool
	ServiceTime  float64 // in seconds
}

// ExportSnapshot returns the state from which a successor continues. It sets the accumulated slow-start budgets to zero,
// because the two processes together may not send an endpoint in slow start more than one budget.
func (b *Balancer) ExportSnapshot() Snapshot {
	s := Snapshot{LinkLimit: b.link.limit, PurgeFloor: b.purges.floor}
	for k, at := range b.purges.purgedAt {
		s.Purges = append(s.Purges, PurgeSnapshot{k.byGroup, k.id, at})
	}
	for _, e := range b.endpoints.byID {
		s.Endpoints = append(s.Endpoints, e.snapshot())
		e.warmUp.budget = 0
	}
	for roleIndex, l := range b.load {
		s.Loads = append(s.Loads, LoadSnapshot{Rate: b.classes.serviceTime(l.rate), Peak: b.classes.serviceTime(l.peak),
			PeakCapacity: b.endpoints.peakCapacity[roleIndex], UpdatedAt: l.updatedAt})
	}
	for _, c := range b.classes.byName {
		s.Classes = append(s.Classes, ClassSnapshot{c.Name, c.serviceTime})
	}
	s.Objects = b.objects.snapshot()
	s.sort()
	s.Objects = s.Objects[:min(len(s.Objects), snapshotObjects)]
	return s
}

func (e *endpoint) snapshot() EndpointSnapshot {
	return EndpointSnapshot{
		ID: e.id, StartedAt: e.startedAt, WarmUpBudget: e.warmUp.budget, MissRate: e.missRate,
		ConsecutiveFailures: e.health.consecutiveFailures, Ejected: e.health.ejected, NextProbe: e.health.nextProbe,
		PenalizedAt: e.health.penalizedAt, Penalty: e.health.penalty,
	}
}

// snapshot returns the objects that were served. An object in both generations is returned twice.
func (t *objectTable) snapshot() []ObjectSnapshot {
	var all []ObjectSnapshot
	for _, generation := range [...]map[objectKey]*object{t.current, t.previous} {
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

// sort orders the entries that come from maps, so that balancers in the same state export equal snapshots. It removes
// duplicate objects. The objects served last come first.
func (s *Snapshot) sort() {
	slices.SortFunc(s.Purges, func(x, y PurgeSnapshot) int {
		return cmp.Or(cmp.Compare(x.ID, y.ID), cmp.Compare(x.PurgedAt, y.PurgedAt))
	})
	slices.SortFunc(s.Endpoints, func(x, y EndpointSnapshot) int { return cmp.Compare(x.ID, y.ID) })
	slices.SortFunc(s.Classes, func(x, y ClassSnapshot) int { return cmp.Compare(x.Name, y.Name) })
	slices.SortFunc(s.Objects, func(x, y ObjectSnapshot) int {
		return cmp.Or(cmp.Compare(y.ServedAt, x.ServedAt), cmp.Compare(x.Object, y.Object), cmp.Compare(x.Part, y.Part))
	})
	s.Objects = slices.CompactFunc(s.Objects, func(x, y ObjectSnapshot) bool {
		return x.Object == y.Object && x.Part == y.Part
	})
}

// ImportSnapshot takes over the state that a predecessor has handed over. It must be called once the endpoint list is
// known, and before any request. It drops the entries of endpoints that are not listed or have restarted since, and
// bounds values that are out of range.
func (b *Balancer) ImportSnapshot(now time.Duration, s Snapshot) {
	b.now = now
	if s.LinkLimit > 0 {
		b.link.limit = min(max(minLimit, s.LinkLimit), b.link.maxLimit)
	}
	b.purges.floor = max(b.purges.floor, min(s.PurgeFloor, now))
	for _, p := range s.Purges {
		b.purges.record(purgeKey{p.ByGroup, p.ID}, min(p.PurgedAt, now))
	}
	for _, from := range s.Endpoints {
		if e := b.endpoints.byID[from.ID]; e != nil && e.startedAt == from.StartedAt {
			b.importEndpoint(e, from)
		}
	}
	for roleIndex := range min(len(s.Loads), len(b.load)) {
		b.importLoad(role(roleIndex), s.Loads[roleIndex])
	}
	for _, from := range s.Classes {
		if c := b.classes.byName[from.Name]; c != nil && from.ServiceTime > 0 {
			c.serviceTime = from.ServiceTime
		}
	}
	for _, from := range s.Objects[:min(len(s.Objects), snapshotObjects)] {
		b.objects.restore(now, from)
	}
	b.objects.rotatedAt = now
	b.updateCacheLimits()
}

// importLoad takes over the usual load of a role as a total. A snapshot doesn't hold the calls by class, so the load
// counts under class 0, whose calls are seconds of service time.
func (b *Balancer) importLoad(loadRole role, from LoadSnapshot) {
	l := &b.load[loadRole]
	l.rate[0], l.peak[0], l.updatedAt = max(from.Rate, 0), max(from.Peak, 0), min(from.UpdatedAt, b.now)
	b.endpoints.peakCapacity[loadRole] = max(b.endpoints.peakCapacity[loadRole], from.PeakCapacity)
}

func (t *objectTable) restore(now time.Duration, from ObjectSnapshot) {
	t.current[objectKey{from.Object, from.Part}] = &object{
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

// Relative converts all times except the starts of endpoints to offsets from now, which are negative for the past: the
// clocks of two processes are unrelated. 0, which means never, stays 0.
func (s *Snapshot) Relative(now time.Duration) {
	s.eachTime(func(at *time.Duration) {
		if *at != 0 {
			if *at -= now; *at == 0 {
				*at = -1 // 0 would mean never
			}
		}
	})
}

// Absolute converts offsets from now back to times.
func (s *Snapshot) Absolute(now time.Duration) {
	s.eachTime(func(at *time.Duration) {
		if *at != 0 {
			*at = max(now+min(*at, now), 1) // min prevents an overflow by an invalid offset
		}
	})
}

func (s *Snapshot) eachTime(f func(at *time.Duration)) {
	f(&s.PurgeFloor)
	for i := range s.Purges {
		f(&s.Purges[i].PurgedAt)
	}
	for i := range s.Endpoints {
		f(&s.Endpoints[i].NextProbe)
		f(&s.Endpoints[i].PenalizedAt)
	}
	for i := range s.Loads {
		f(&s.Loads[i].UpdatedAt)
	}
	for i := range s.Objects {
		f(&s.Objects[i].ServedAt)
		f(&s.Objects[i].ReplicatedAt)
	}
}

func unitRange(x float64) float64 { return min(max(x, 0), 1) }
