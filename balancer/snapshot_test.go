package balancer

import (
	"math"
	"reflect"
	"testing"
)

// learned is a module that has seen a bad cache, a purge, a cold start and some objects.
func rigWithHistory(t *testing.T) *rig {
	r := newRig(t, site(), fleetList())
	r.failUntilEjected(1, ConnectFailed)
	fresh := listedEndpoint(4, "box", "edge")
	fresh.StartedAt = r.now
	r.handle(EndpointUpdate{Endpoints: []Endpoint{fresh}})
	for o := range uint64(40) { // less than a second: the bad cache is not tried again yet
		r.now += 20 * ms
		if g := r.request("page", o); g.Endpoint != 0 {
			r.finish(g, 0, OK, Hit)
		}
	}
	r.handle(Purge{Object: 7})
	return r
}

// A successor goes on from what its predecessor knew: it shuns the same cache, bars the same copies, and knows the
// objects. What is left of a cold cache's budget is handed over once.
func TestSnapshotCarriesStateOver(t *testing.T) {
	old, later := rigWithHistory(t), rigWithHistory(t)
	if old.balancer.endpoints.byID[4].warmUp.budget <= 0 {
		t.Fatal("nothing of the cold budget to hand over")
	}
	spare := old.balancer.endpoints.byID[4].warmUp.budget
	m := old.balancer.ExportSnapshot()
	if other := later.balancer.ExportSnapshot(); !reflect.DeepEqual(m, other) {
		t.Error("alike modules hand over different things")
	}
	if len(m.Objects) == 0 || old.balancer.endpoints.byID[4].warmUp.budget != 0 {
		t.Errorf("%d objects; %v of the cold budget kept", len(m.Objects), old.balancer.endpoints.byID[4].warmUp.budget)
	}
	r := newRig(t, site(), fleetList())
	r.now = old.now
	fresh := listedEndpoint(4, "box", "edge")
	fresh.StartedAt = old.balancer.endpoints.byID[4].startedAt
	r.handle(EndpointUpdate{Endpoints: []Endpoint{fresh}})
	r.balancer.ImportSnapshot(r.now, m)
	if s := r.balancer.endpoints.byID[4].warmUp.budget; s != spare {
		t.Errorf("saved for the cold cache: %v, want %v", s, spare)
	}
	if _, avoided := r.balancer.CacheCounts(); avoided != 1 || !r.balancer.endpoints.byID[1].health.ejected {
		t.Errorf("%d avoided; want the one that the predecessor held to be bad", avoided)
	}
	if p := (objectKey{3, 0}); r.balancer.objects.young[p] == nil || r.balancer.objects.young[p].servedAt == 0 {
		t.Error("an object served lately is not known")
	}
	r.now += 10 * ms
	if g := r.request("page", 7); g.MaxAge <= 0 || g.MaxAge > 10*ms {
		t.Errorf("oldest copy of a purged object: %v", g.MaxAge)
	}
}

// Figures that make no sense, from a predecessor that has gone wrong, are cut; a cold start since is not undone.
func TestImportSnapshotBoundsNonsense(t *testing.T) {
	r := newRig(t, site(), fleetList())
	inf := math.Inf(1)
	fresh := listedEndpoint(4, "box", "edge")
	fresh.StartedAt = r.now
	r.handle(EndpointUpdate{Endpoints: []Endpoint{fresh}})
	r.balancer.ImportSnapshot(r.now, Snapshot{
		LinkLimit: -inf, PurgeFloor: -1, Loads: make([]LoadSnapshot, 9),
		Purges:  []PurgeSnapshot{{PurgedAt: math.MaxInt64}},
		Classes: []ClassSnapshot{{Name: "page", ServiceTime: -1}, {Name: "what", ServiceTime: 1}},
		Objects: make([]ObjectSnapshot, 2*snapshotObjects),
		Endpoints: []EndpointSnapshot{
			{ID: 1, WarmUpBudget: -1, MissRate: inf, Penalty: 7, PenalizedAt: math.MaxInt64, NextProbe: math.MaxInt64,
				Ejected: true},
			{ID: 4, WarmUpBudget: 1e9}, {ID: 99},
		},
	})
	if m := r.balancer.endpoints.byID[4]; m.warmUp.budget != 0 {
		t.Errorf("%v saved from before the start", m.warmUp.budget)
	}
	for o := range uint64(50) {
		r.now += 50 * ms
		if g := r.request("page", o); g.Endpoint != 0 {
			r.finish(g, 0, OK, Hit)
		}
	}
	if m := r.balancer.endpoints.byID[1]; m.health.ejected {
		t.Error("a trial time out of reach keeps the cache out for good")
	}
}
