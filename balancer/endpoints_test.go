package balancer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// rebuilt is what the list came to when it was rebuilt at each change: endpoints by id, and the most that was in
// service.
type referenceList struct {
	endpoints    map[EndpointID]Endpoint
	startedAt    map[EndpointID]time.Duration
	peakCapacity [4]float64
}

// take applies an event, and rebuilds all that follows from the list.
func (l *referenceList) apply(b *Balancer, ev EndpointUpdate) (caches, parents, origins []EndpointID, targets int) {
	if ev.Complete {
		clear(l.endpoints)
	}
	for _, e := range ev.Endpoints {
		l.endpoints[e.ID] = e
		l.startedAt[e.ID] = max(l.startedAt[e.ID], e.StartedAt)
		if e.State == Removed {
			delete(l.endpoints, e.ID)
		}
	}
	for id := range l.startedAt { // a member that has left is forgotten, its start too
		if _, listed := l.endpoints[id]; !listed {
			delete(l.startedAt, id)
		}
	}
	var fleet [4]float64
	for _, id := range slices.Sorted(endpointIDs(l.endpoints)) {
		e := l.endpoints[id]
		ro := b.roleOf(e)
		m := &endpoint{role: ro, startedAt: l.startedAt[id], weight: e.Weight}
		local := ro != roleCache || e.Zone == b.settings.Topology.Zone
		if e.State == InService && local && (l.peakCapacity[ro] == 0 || !b.isWarmingUp(m)) {
			fleet[ro] += b.capacityOf(m)
		}
		switch {
		case ro == roleParent:
			parents = append(parents, id)
		case ro == roleOrigin:
			origins = append(origins, id)
		case e.Zone == b.settings.Topology.Zone:
			caches = append(caches, id)
		}
		if ro == roleCache {
			targets++
		}
	}
	for ro := range fleet {
		l.peakCapacity[ro] = max(l.peakCapacity[ro], fleet[ro])
	}
	return caches, parents, origins, targets
}

func endpointIDs(m map[EndpointID]Endpoint) func(func(EndpointID) bool) {
	return func(yield func(EndpointID) bool) {
		for id := range m {
			if !yield(id) {
				return
			}
		}
	}
}

func idsOf(list []*endpoint) (out []EndpointID) {
	for _, m := range list {
		out = append(out, m.id)
	}
	return out
}

// However the list changes, changing it in place comes to the same as rebuilding it.
func TestEndpointListChangesInPlace(t *testing.T) {
	for seed := range uint64(40) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		s := site()
		s.StaticWeights = seed%2 == 0
		b, err := New(s)
		if err != nil {
			t.Fatal(err)
		}
		ref := &referenceList{endpoints: map[EndpointID]Endpoint{}, startedAt: map[EndpointID]time.Duration{}}
		now := 1000 * time.Hour
		for step := range 300 {
			now += time.Duration(rnd.IntN(2000)) * time.Millisecond
			ev := EndpointUpdate{Complete: step == 0 || rnd.IntN(20) == 0}
			for range rnd.IntN(12) {
				ev.Endpoints = append(ev.Endpoints, randomEntry(rnd, now))
			}
			b.Handle(now, ev)
			caches, parents, origins, targets := ref.apply(b, ev)
			got := fmt.Sprint(idsOf(b.endpoints.caches), idsOf(b.endpoints.parents), idsOf(b.endpoints.origins),
				b.endpoints.peakCapacity, b.endpoints.cachesListed)
			want := fmt.Sprint(caches, parents, origins, ref.peakCapacity, targets)
			if got != want {
				t.Fatalf("seed %d, step %d:\n%s, want\n%s", seed, step, got, want)
			}
			if b.endpoints.origin != firstEndpoint(b.endpoints.origins) {
				t.Fatalf("seed %d, step %d: the origin is not the first of them", seed, step)
			}
			for _, m := range b.endpoints.caches {
				if m.concurrencyLimit != b.cacheLimit(m) {
					t.Fatalf("seed %d, step %d: the limit of %d is out of date", seed, step, m.id)
				}
			}
			if len(b.endpoints.byID) != len(ref.endpoints) {
				t.Fatalf("seed %d, step %d: %d endpoints are kept, and %d are listed", seed, step,
					len(b.endpoints.byID), len(ref.endpoints))
			}
		}
	}
}

func randomEntry(rnd *rand.Rand, now time.Duration) Endpoint {
	e := Endpoint{ID: EndpointID(1 + rnd.IntN(40)), Zone: "edge", Weight: []float64{0.5, 1, 1.5, 2}[rnd.IntN(4)],
		State: EndpointState(rnd.IntN(3))}
	kinds := site().Topology.Kinds
	e.Kind = kinds[int(e.ID)%len(kinds)]
	if rnd.IntN(4) == 0 {
		e.Zone = "hub"
	}
	if rnd.IntN(2) == 0 {
		e.StartedAt = now - time.Duration(rnd.IntN(30))*time.Second
	}
	return e
}

// listed returns a balancer with so many caches in its zone, and one event that changes one of them.
func balancerWithCaches(tb testing.TB, size int) (*Balancer, func()) {
	tb.Helper()
	b, err := New(site())
	if err != nil {
		tb.Fatal(err)
	}
	all := EndpointUpdate{Complete: true}
	for i := range size {
		all.Endpoints = append(all.Endpoints, Endpoint{ID: EndpointID(mix(uint64(i + 1))), Kind: site().Topology.Kinds[0],
			Zone: "edge", Weight: 1, State: InService})
	}
	now := 1000 * time.Hour
	b.Handle(now, all)
	states, i := []EndpointState{Draining, Removed, InService}, 0
	one := EndpointUpdate{Endpoints: make([]Endpoint, 1)}
	return b, func() {
		one.Endpoints[0] = all.Endpoints[i/3%size]
		one.Endpoints[0].State = states[i%3]
		if one.Endpoints[0].State == InService {
			one.Endpoints[0].StartedAt = now
		}
		now += time.Millisecond
		i++
		b.Handle(now, one)
	}
}

// A change of one endpoint costs the same number of allocations however many are listed, and they are few.
func TestListChangeCostIsConstant(t *testing.T) {
	for _, size := range []int{200, 3200} {
		_, change := balancerWithCaches(t, size)
		change() // the first of all
		if n := testing.AllocsPerRun(600, change); n > 4 {
			t.Errorf("%d members: %.1f allocations for one change, want at most 4", size, n)
		}
	}
}

func BenchmarkListChange(b *testing.B) {
	for _, size := range []int{200, 800, 3200} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			_, change := balancerWithCaches(b, size)
			for b.Loop() {
				change()
			}
		})
	}
}

func BenchmarkDecision(b *testing.B) {
	for _, size := range []int{200, 800, 3200} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			m, _ := balancerWithCaches(b, size)
			now, id := 1001*time.Hour, RequestID(0)
			for b.Loop() {
				id++
				now += time.Millisecond
				for _, a := range m.Handle(now, Request{ID: id, Class: "page", Object: uint64(id), Remaining: 3 * time.Second, SizeKB: 100}) {
					if g, ok := a.(SendAttempt); ok {
						m.Handle(now, Outcome{ID: id, Endpoint: g.Endpoint, Status: OK, Detail: Hit, Elapsed: time.Millisecond, Answered: true})
					}
				}
				if id%25 == 0 {
					m.Handle(now, Timer{Token: scanToken})
				}
			}
		})
	}
}
