package balancer

import (
	"math"
	"reflect"
	"testing"
)

// rigWithHistory returns a rig that has seen an ejected cache, a purge, an endpoint in slow start and some objects.
func rigWithHistory(t *testing.T) *rig {
	r := newRig(t, testSettings(), testEndpoints())
	r.failUntilEjected(1, ConnectFailed)
	fresh := listedEndpoint(4, "box", "edge")
	fresh.StartedAt = r.now
	r.handle(EndpointUpdate{Endpoints: []Endpoint{fresh}})
	for o := range uint64(40) { // less than a second, so that the ejected cache is not probed yet
		r.now += 20 * ms
		if send := r.request("page", o); send.Endpoint != 0 {
			r.finish(send, 0, OK, Hit)
		}
	}
	r.handle(Purge{Object: 7})
	return r
}

// A successor continues from its predecessor's state: it ejects the same cache, excludes the same copies, and knows the
// objects. The rest of a slow-start budget is handed over, and the predecessor doesn't keep it.
func TestSnapshotCarriesStateOver(t *testing.T) {
	old, twin := rigWithHistory(t), rigWithHistory(t)
	if old.balancer.endpoints.byID[4].warmUp.budget <= 0 {
		t.Fatal("there is no slow-start budget to hand over")
	}
	exportedBudget := old.balancer.endpoints.byID[4].warmUp.budget
	snapshot := old.balancer.ExportSnapshot()
	if other := twin.balancer.ExportSnapshot(); !reflect.DeepEqual(snapshot, other) {
		t.Error("balancers in the same state export different snapshots")
	}
	if len(snapshot.Objects) == 0 || old.balancer.endpoints.byID[4].warmUp.budget != 0 {
		t.Errorf("%d objects exported; %v of the slow-start budget kept", len(snapshot.Objects),
			old.balancer.endpoints.byID[4].warmUp.budget)
	}
	r := newRig(t, testSettings(), testEndpoints())
	r.now = old.now
	fresh := listedEndpoint(4, "box", "edge")
	fresh.StartedAt = old.balancer.endpoints.byID[4].startedAt
	r.handle(EndpointUpdate{Endpoints: []Endpoint{fresh}})
	r.balancer.ImportSnapshot(r.now, snapshot)
	if s := r.balancer.endpoints.byID[4].warmUp.budget; s != exportedBudget {
		t.Errorf("imported slow-start budget %v, want %v", s, exportedBudget)
	}
	if _, avoided := r.balancer.CacheCounts(); avoided != 1 || !r.balancer.endpoints.byID[1].health.ejected {
		t.Errorf("%d caches avoided; want the one that the predecessor had ejected", avoided)
	}
	if k := (objectKey{3, 0}); r.balancer.objects.current[k] == nil || r.balancer.objects.current[k].servedAt == 0 {
		t.Error("an object that was served lately is not known")
	}
	r.now += 10 * ms
	if send := r.request("page", 7); send.MaxAge <= 0 || send.MaxAge > 10*ms {
		t.Errorf("MaxAge of a purged object: %v", send.MaxAge)
	}
}

// Invalid values from a faulty predecessor are bounded, and the state of an endpoint that has restarted since is dropped.
func TestImportSnapshotBoundsInvalidValues(t *testing.T) {
	r := newRig(t, testSettings(), testEndpoints())
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
	if e := r.balancer.endpoints.byID[4]; e.warmUp.budget != 0 {
		t.Errorf("slow-start budget %v imported from before the restart", e.warmUp.budget)
	}
	for o := range uint64(50) {
		r.now += 50 * ms
		if send := r.request("page", o); send.Endpoint != 0 {
			r.finish(send, 0, OK, Hit)
		}
	}
	if e := r.balancer.endpoints.byID[1]; e.health.ejected {
		t.Error("a next probe far in the future keeps the cache ejected")
	}
}
