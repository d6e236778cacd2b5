package balancer

import "testing"

func TestPurgeRulesOutOlderCopies(t *testing.T) {
	for name, p := range map[string]Purge{
		"object": {Object: 5, Age: 100 * ms}, "group": {ByGroup: true, Group: 5, Age: 100 * ms},
	} {
		r := newRig(t, site(), fleetList())
		r.handle(p)
		g := r.request("page", 5)
		if g.MaxAge <= 0 || g.MaxAge >= 100*ms {
			t.Errorf("%s: age %v for a purge 100 ms ago", name, g.MaxAge)
		}
		r.now += sec
		r.finish(g, 0, ConnectFailed, NoDetail)
		if again := r.request("page", 5); again.MaxAge >= 1100*ms || again.MaxAge <= 0 {
			t.Errorf("%s: age %v a second later", name, again.MaxAge)
		}
		if other := r.request("page", 6); other.MaxAge != 0 {
			t.Errorf("%s: another object was barred", name)
		}
	}
	r := newRig(t, site(), fleetList()) // told at the very moment: 0 would mean any age
	r.handle(Purge{Object: 5})
	if g := r.request("page", 5); g.MaxAge <= 0 {
		t.Errorf("age %v", g.MaxAge)
	}
	r = newRig(t, site(), fleetList()) // more purges than the table holds
	for o := range uint64(maxPurges + 10) {
		r.handle(Purge{Object: o})
	}
	if g := r.request("page", maxPurges+5); g.MaxAge <= 0 {
		t.Errorf("a purge was forgotten")
	}
}

// A mass purge of all groups bars every old copy at once.
func TestMassPurge(t *testing.T) {
	r := newRig(t, site(), fleetList())
	for g := range uint64(8) {
		r.handle(Purge{ByGroup: true, Group: g, Age: 50 * ms})
	}
	for o := range uint64(40) {
		g := r.request("page", o)
		if g.MaxAge <= 0 || g.MaxAge >= 50*ms {
			t.Fatalf("object %d: age %v", o, g.MaxAge)
		}
		r.finish(g, 0, OK, Filled)
	}
}

// Near the start of the clock a purge may lie before its zero.
func TestPurgeBeforeClockStart(t *testing.T) {
	b, err := New(site())
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{t: t, balancer: b, now: 20 * ms}
	r.handle(EndpointUpdate{Complete: true, Endpoints: fleetList()})
	r.handle(Purge{Object: 5, Age: 80 * ms})
	if g := r.request("page", 5); g.MaxAge <= 0 || g.MaxAge > 100*ms {
		t.Errorf("age %v", g.MaxAge)
	}
}
