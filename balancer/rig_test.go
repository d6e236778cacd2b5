package balancer

import (
	"testing"
	"time"
)

const (
	sec = time.Second
	ms  = time.Millisecond
)

func site() Settings {
	cold := SlowStartRule{InitialCapacity: 0.2, WarmUpTime: 15 * sec, OverloadFactor: 2, OverloadWindow: 3 * sec}
	return Settings{
		Topology: Topology{Zone: "edge", Zones: []string{"hub", "edge"}, RoutersPerZone: []int{0, 1},
			Kinds: []string{"box", "mid", "store"}, ParentKind: 1, OriginKind: 2},
		Classes: []Class{
			{Name: "page", LatencyObjective: 300 * ms, ObjectiveStretch: 2, Deadline: 3 * sec, Idempotency: Idempotent, Weight: 1},
			{Name: "news", LatencyObjective: 300 * ms, Deadline: 3 * sec, Idempotency: Idempotent,
				Weight: 1, FreshnessLifetime: 20 * sec},
			{Name: "pay", LatencyObjective: 600 * ms, Deadline: 3 * sec, Idempotency: IdempotentByKey,
				DedupScope: DedupEverywhere, DedupWindow: 2 * sec, Write: true},
			{Name: "once", LatencyObjective: 600 * ms, Deadline: 3 * sec, Idempotency: NotIdempotent, Write: true},
		},
		PaceKBps: 1000, MaxAttempts: 8,
		Capabilities: Capabilities{Hedging: true, Cancellation: true, DirectAttempts: true, CoalesceFills: true},
		PurgeWindow:  6 * sec, CacheSlowStart: cold, ParentSlowStart: cold,
	}
}

// rig drives one balancer by hand.
type rig struct {
	t        *testing.T
	balancer *Balancer
	now      time.Duration
	lastID   RequestID
}

func listedEndpoint(id EndpointID, kind, zone string) Endpoint {
	return Endpoint{ID: id, Kind: kind, Zone: zone, Weight: 1}
}

func fleetList() []Endpoint {
	return []Endpoint{
		listedEndpoint(1, "box", "edge"), listedEndpoint(2, "box", "edge"), listedEndpoint(3, "box", "edge"),
		listedEndpoint(9, "box", "elsewhere"),
		listedEndpoint(11, "mid", "hub"), listedEndpoint(12, "mid", "hub"), listedEndpoint(13, "mid", "hub"),
		listedEndpoint(20, "store", "hub"),
	}
}

func newRig(t *testing.T, s Settings, list []Endpoint) *rig {
	t.Helper()
	b, err := New(s)
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{t: t, balancer: b, now: 100 * sec}
	r.handle(EndpointUpdate{Complete: true, Endpoints: list})
	return r
}

func (r *rig) handle(ev Event) []Action {
	return append([]Action(nil), r.balancer.Handle(r.now, ev)...)
}

func sentAttempts(as []Action) (g []SendAttempt) {
	for _, a := range as {
		if x, ok := a.(SendAttempt); ok {
			g = append(g, x)
		}
	}
	return g
}

// ask sends a request and returns its first attempt; the zero Get if there was none.
func (r *rig) request(class string, object uint64) SendAttempt {
	r.lastID++
	g := sentAttempts(r.handle(Request{ID: r.lastID, Class: class, Object: object, Group: object % 8,
		Remaining: 3 * sec, SizeKB: 100}))
	if len(g) == 0 {
		return SendAttempt{}
	}
	return g[0]
}

func (r *rig) finish(g SendAttempt, n int, st Status, detail Detail) []Action {
	return r.handle(Outcome{ID: g.ID, Attempt: n, Endpoint: g.Endpoint, Status: st, Answered: st == OK, Detail: detail,
		Elapsed: 50 * ms})
}

// wait lets time pass with the timer running.
func (r *rig) advance(d time.Duration) (as []Action) {
	for until := r.now + d; r.now < until; {
		r.now += scanInterval
		as = append(as, r.handle(Timer{Token: scanToken})...)
	}
	return as
}

// fail ends what is sent to a node in the given way until the balancer avoids it.
func (r *rig) failUntilEjected(id EndpointID, st Status) {
	r.t.Helper()
	for o := uint64(1000); !r.balancer.endpoints.byID[id].health.ejected; o++ {
		if o > 1200 {
			r.t.Fatalf("node %d was never ejected", id)
		}
		r.now += ms
		if g := r.request("page", o); g.Endpoint == id {
			r.finish(g, 0, st, NoDetail)
		} else if g.Endpoint != 0 {
			r.finish(g, 0, OK, Hit)
		}
	}
}

// late answers a request after the given time, however long the balancer's clock must move for it.
func (r *rig) finishAfter(g SendAttempt, took time.Duration, note Detail) {
	r.now += took
	waited := time.Duration(0)
	if note == FilledByOrigin {
		waited = took
	}
	r.handle(Outcome{ID: g.ID, Endpoint: g.Endpoint, Status: OK, Answered: true, Detail: note, Elapsed: took, SourceWait: waited})
}

// share counts how many of 300 objects a endpoint owns.
func (r *rig) rangeOf(id EndpointID) (n int) {
	for o := range uint64(300) {
		if r.balancer.servesKey(o, r.balancer.endpoints.byID[id]) {
			n++
		}
	}
	return n
}
