package balancer

import (
	"cmp"
	"slices"
	"time"
)

// What one process of a router tells the one that replaces it. Nothing here decides: it is copied out and in.

// handedObjects bounds the objects handed over: those served last.
const handedObjects = 4096

// Memory is what the module of a router has learned that a successor goes on from. Its times are those of the module's clock
// where it is made and taken; see Relative and Absolute.
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

// HandOver returns what a successor goes on from. What was saved of the cold budgets goes with it, and is not kept:
// together the two may not send a cold member more than one.
func (b *Balancer) HandOver() Memory {
	m := Memory{LinkRoom: b.linkRoom, Floor: b.floor}
	for k, at := range b.purges {
		m.Purges = append(m.Purges, PurgeMemory{k.group, k.name, at})
	}
	for _, o := range b.members {
		m.Members = append(m.Members, MemberMemory{Node: o.id, Start: o.start, Saved: o.saved, Misses: o.misses, Fails: o.fails,
			Bad: o.bad, Trial: o.trial, Doubted: o.doubted, Doubt: o.doubt})
		o.saved = 0
	}
	for i, l := range b.load {
		m.Loads = append(m.Loads, LoadMemory{b.work(l.rate), b.work(l.peak), b.fleet[i], l.at})
	}
	for _, c := range b.classes {
		m.Classes = append(m.Classes, ClassMemory{c.Name, c.work})
	}
	for _, g := range b.objects {
		for k, o := range g {
			if o.okAt > 0 {
				m.Objects = append(m.Objects, ObjectMemory{k.object, k.part, o.seen, o.okAt, o.copied, o.held, o.work})
			}
		}
	}
	// Maps have no order; alike modules are to say the same.
	slices.SortFunc(m.Purges, func(x, y PurgeMemory) int { return cmp.Or(cmp.Compare(x.Name, y.Name), cmp.Compare(x.At, y.At)) })
	slices.SortFunc(m.Members, func(x, y MemberMemory) int { return cmp.Compare(x.Node, y.Node) })
	slices.SortFunc(m.Classes, func(x, y ClassMemory) int { return cmp.Compare(x.Name, y.Name) })
	slices.SortFunc(m.Objects, func(x, y ObjectMemory) int {
		return cmp.Or(cmp.Compare(y.OkAt, x.OkAt), cmp.Compare(x.Object, y.Object), cmp.Compare(x.Part, y.Part))
	})
	m.Objects = slices.CompactFunc(m.Objects, func(x, y ObjectMemory) bool { return x.Object == y.Object && x.Part == y.Part })
	m.Objects = m.Objects[:min(len(m.Objects), handedObjects)]
	return m
}

// TakeOver goes on from what a predecessor has handed over. It is called once the list is known and before any
// request; what is told of a member that is not listed, or has started anew since, is passed over.
func (b *Balancer) TakeOver(now time.Duration, m Memory) {
	b.now = now
	if m.LinkRoom > 0 {
		b.linkRoom = min(max(leastLimit, m.LinkRoom), b.linkMost)
	}
	b.floor = max(b.floor, min(m.Floor, now))
	for _, p := range m.Purges {
		if k := (purgeKey{p.ByGroup, p.Name}); len(b.purges) < purgeTable {
			b.purges[k] = max(b.purges[k], min(p.At, now))
		} else {
			b.floor = max(b.floor, min(p.At, now))
		}
	}
	for _, t := range m.Members {
		if o := b.members[t.Node]; o != nil && o.start == t.Start {
			o.saved, o.savedAt = max(t.Saved, 0), now // cut to what may be saved at the next use
			o.misses, o.doubt, o.doubted = unitRange(t.Misses), unitRange(t.Doubt), min(t.Doubted, now)
			o.fails, o.trial = t.Fails, min(t.Trial, now+trialEvery)
			b.setBad(o, t.Bad)
		}
	}
	for i := range min(len(m.Loads), len(b.load)) {
		l := m.Loads[i]
		b.load[i].rate[0], b.load[i].peak[0], b.load[i].at = max(l.Rate, 0), max(l.Peak, 0), min(l.At, now)
		b.fleet[i] = max(b.fleet[i], l.Fleet)
	}
	for _, c := range m.Classes {
		if k := b.classes[c.Name]; k != nil && c.Work > 0 {
			k.work = c.Work
		}
	}
	for _, o := range m.Objects[:min(len(m.Objects), handedObjects)] {
		b.objects[0][part{o.Object, o.Part}] = &object{o.Seen, min(o.OkAt, now), min(o.Copied, now), o.Held, max(o.Work, 0)}
	}
	b.turned = now
	b.setLimits()
}

// Relative turns all times but the starts of members into spans to now, below 0 in the past: the clocks of two processes have
// nothing in common. 0, which says never, stays.
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
			*at = max(now+min(*at, now), 1) // a span of no sense must not overflow
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
