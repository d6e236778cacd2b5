package balancer

import "testing"

func TestPurgeRulesOutOlderCopies(t *testing.T) {
	for name, p := range map[string]Purge{
		"object": {Object: 5, Age: 100 * ms}, "group": {ByGroup: true, Group: 5, Age: 100 * ms},
	} {
		r := newRig(t, testSettings(), testEndpoints())
		r.handle(p)
		send := r.request("page", 5)
		if send.MaxAge <= 0 || send.MaxAge >= 100*ms {
			t.Errorf("%s: MaxAge %v for a purge 100 ms ago", name, send.MaxAge)
		}
		r.now += sec
		r.finish(send, 0, ConnectFailed, NoDetail)
		if again := r.request("page", 5); again.MaxAge >= 1100*ms || again.MaxAge <= 0 {
			t.Errorf("%s: MaxAge %v a second later", name, again.MaxAge)
		}
		if other := r.request("page", 6); other.MaxAge != 0 {
			t.Errorf("%s: the purge limits the age of another object", name)
		}
	}
	r := newRig(t, testSettings(), testEndpoints()) // the purge has age 0; a MaxAge of 0 would allow any age
	r.handle(Purge{Object: 5})
	if send := r.request("page", 5); send.MaxAge <= 0 {
		t.Errorf("MaxAge %v for a purge at this moment", send.MaxAge)
	}
	r = newRig(t, testSettings(), testEndpoints()) // more purges than the table holds
	for o := range uint64(maxPurges + 10) {
		r.handle(Purge{Object: o})
	}
	if send := r.request("page", maxPurges+5); send.MaxAge <= 0 {
		t.Errorf("a purge was forgotten because the table was full")
	}
}

// A mass purge of all groups excludes every old copy at once.
func TestPurgeOfAllGroupsRulesOutEveryOldCopy(t *testing.T) {
	r := newRig(t, testSettings(), testEndpoints())
	for group := range uint64(8) {
		r.handle(Purge{ByGroup: true, Group: group, Age: 50 * ms})
	}
	for o := range uint64(40) {
		send := r.request("page", o)
		if send.MaxAge <= 0 || send.MaxAge >= 50*ms {
			t.Fatalf("object %d: MaxAge %v for a purge 50 ms ago", o, send.MaxAge)
		}
		r.finish(send, 0, OK, Filled)
	}
}

// A purge may be older than the clock of a router that has just started. It must still exclude older copies.
func TestPurgeBeforeClockStartRulesOutOldCopies(t *testing.T) {
	b, err := New(testSettings())
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{t: t, balancer: b, now: 20 * ms}
	r.handle(EndpointUpdate{Complete: true, Endpoints: testEndpoints()})
	r.handle(Purge{Object: 5, Age: 80 * ms})
	if send := r.request("page", 5); send.MaxAge <= 0 || send.MaxAge > 100*ms {
		t.Errorf("MaxAge %v for a purge 80 ms ago", send.MaxAge)
	}
}
