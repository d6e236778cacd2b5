package balancer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// referenceList is a reference implementation of the endpoint list, which is rebuilt at each change. It holds the
// endpoints by id and the highest capacity that was in service.
type referenceList struct {
	endpoints    map[EndpointID]Endpoint
	startedAt    map[EndpointID]time.Duration
	peakCapacity [4]float64
}

// apply applies an event, and returns the caches, parents and origins that a balancer should choose from, rebuilt from
// the list, and the number of listed caches.
func (l *referenceList) apply(b *Balancer, ev EndpointUpdate) (caches, parents, origins []EndpointID, cacheCount int) {
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
	for id := range l.startedAt { // an endpoint that is not listed any more is forgotten with its start
		if _, listed := l.endpoints[id]; !listed {
			delete(l.startedAt, id)
		}
	}
	var capacity [4]float64
	for _, id := range slices.Sorted(endpointIDs(l.endpoints)) {
		e := l.endpoints[id]
		ro := b.roleOf(e)
		known := &endpoint{role: ro, startedAt: l.startedAt[id], weight: e.Weight}
		local := ro != roleCache || e.Zone == b.settings.Topology.Zone
		if e.State == InService && local && (l.peakCapacity[ro] == 0 || !b.isWarmingUp(known)) {
			capacity[ro] += b.capacityOf(known)
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
			cacheCount++
		}
	}
	for ro := range capacity {
		l.peakCapacity[ro] = max(l.peakCapacity[ro], capacity[ro])
	}
	return caches, parents, origins, cacheCount
}

func endpointIDs(byID map[EndpointID]Endpoint) func(func(EndpointID) bool) {
	return func(yield func(EndpointID) bool) {
		for id := range byID {
			if !yield(id) {
				return
			}
		}
	}
}

func idsOf(list []*endpoint) (ids []EndpointID) {
	for _, e := range list {
		ids = append(ids, e.id)
	}
	return ids
}

// Changing the endpoint list in place must give the same result as rebuilding it, for random changes.
func TestChangedListEqualsRebuiltList(t *testing.T) {
	for seed := range uint64(40) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		s := testSettings()
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
			caches, parents, origins, cacheCount := ref.apply(b, ev)
			got := fmt.Sprint(idsOf(b.endpoints.caches), idsOf(b.endpoints.parents), idsOf(b.endpoints.origins),
				b.endpoints.peakCapacity, b.endpoints.cachesListed)
			want := fmt.Sprint(caches, parents, origins, ref.peakCapacity, cacheCount)
			if got != want {
				t.Fatalf("seed %d, step %d: got\n%s, want\n%s", seed, step, got, want)
			}
			if b.endpoints.origin != firstEndpoint(b.endpoints.origins) {
				t.Fatalf("seed %d, step %d: the origin is not the first of the origins", seed, step)
			}
			for _, e := range b.endpoints.caches {
				if e.concurrencyLimit != b.cacheLimit(e) {
					t.Fatalf("seed %d, step %d: the limit of cache %d is out of date", seed, step, e.id)
				}
			}
			if len(b.endpoints.byID) != len(ref.endpoints) {
				t.Fatalf("seed %d, step %d: %d endpoints are kept, want the %d listed ones", seed, step,
					len(b.endpoints.byID), len(ref.endpoints))
			}
		}
	}
}

func randomEntry(rnd *rand.Rand, now time.Duration) Endpoint {
	e := Endpoint{ID: EndpointID(1 + rnd.IntN(40)), Zone: "edge", Weight: []float64{0.5, 1, 1.5, 2}[rnd.IntN(4)],
		State: EndpointState(rnd.IntN(3))}
	kinds := testSettings().Topology.Kinds
	e.Kind = kinds[int(e.ID)%len(kinds)]
	if rnd.IntN(4) == 0 {
		e.Zone = "hub"
	}
	if rnd.IntN(2) == 0 {
		e.StartedAt = now - time.Duration(rnd.IntN(30))*time.Second
	}
	return e
}

// balancerWithCaches returns a balancer with the given number of caches in its zone, and a function that changes the
// state of one of them per call.
func balancerWithCaches(tb testing.TB, size int) (*Balancer, func()) {
	tb.Helper()
	b, err := New(testSettings())
	if err != nil {
		tb.Fatal(err)
	}
	all := EndpointUpdate{Complete: true}
	for i := range size {
		all.Endpoints = append(all.Endpoints, Endpoint{ID: EndpointID(mix(uint64(i + 1))), Kind: testSettings().Topology.Kinds[0],
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

// A change of one endpoint makes at most 4 allocations, however many endpoints are listed.
func TestListChangeAllocationsAreConstant(t *testing.T) {
	for _, size := range []int{200, 3200} {
		_, change := balancerWithCaches(t, size)
		change() // the first change is not measured
		if n := testing.AllocsPerRun(600, change); n > 4 {
			t.Errorf("%d endpoints: %.1f allocations for one change, want at most 4", size, n)
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
			balancer, _ := balancerWithCaches(b, size)
			now, id := 1001*time.Hour, RequestID(0)
			for b.Loop() {
				id++
				now += time.Millisecond
				for _, a := range balancer.Handle(now, Request{ID: id, Class: "page", Object: uint64(id),
					Remaining: 3 * time.Second, SizeKB: 100}) {
					if send, ok := a.(SendAttempt); ok {
						balancer.Handle(now, Outcome{ID: id, Endpoint: send.Endpoint, Status: OK, Detail: Hit,
							Elapsed: time.Millisecond, Answered: true})
					}
				}
				if id%25 == 0 {
					balancer.Handle(now, Timer{Token: scanToken})
				}
			}
		})
	}
}
