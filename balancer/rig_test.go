package balancer

import (
	"testing"
	"time"
)

const (
	sec = time.Second
	ms  = time.Millisecond
)

// testSettings returns the settings of a router in zone "edge", which is the only router of its zone.
func testSettings() Settings {
	slowStart := SlowStartRule{InitialCapacity: 0.2, WarmUpTime: 15 * sec, OverloadFactor: 2, OverloadWindow: 3 * sec}
	return Settings{
		Topology: Topology{Zone: "edge", Zones: []string{"hub", "edge"}, RoutersPerZone: []int{0, 1},
			Kinds: []string{"box", "mid", "store"}, ParentKind: 1, OriginKind: 2},
		Classes: []Class{
			{Name: "page", LatencyObjective: 300 * ms, ObjectiveStretch: 2, Deadline: 3 * sec, Idempotency: Idempotent,
				Weight: 1},
			{Name: "news", LatencyObjective: 300 * ms, Deadline: 3 * sec, Idempotency: Idempotent,
				Weight: 1, FreshnessLifetime: 20 * sec},
			{Name: "pay", LatencyObjective: 600 * ms, Deadline: 3 * sec, Idempotency: IdempotentByKey,
				DedupScope: DedupEverywhere, DedupWindow: 2 * sec, Write: true},
			{Name: "once", LatencyObjective: 600 * ms, Deadline: 3 * sec, Idempotency: NotIdempotent, Write: true},
		},
		PaceKBps: 1000, MaxAttempts: 8,
		Capabilities: Capabilities{Hedging: true, Cancellation: true, DirectAttempts: true, CoalesceFills: true},
		PurgeWindow:  6 * sec, CacheSlowStart: slowStart, ParentSlowStart: slowStart,
	}
}

// rig passes events to one balancer and keeps its clock.
type rig struct {
	t        *testing.T
	balancer *Balancer
	now      time.Duration
	lastID   RequestID
}

func listedEndpoint(id EndpointID, kind, zone string) Endpoint {
	return Endpoint{ID: id, Kind: kind, Zone: zone, Weight: 1}
}

// testEndpoints returns three caches in zone "edge", one in zone "elsewhere", three parents and the origin.
func testEndpoints() []Endpoint {
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

// sentAttempts returns the attempts among actions.
func sentAttempts(actions []Action) (sent []SendAttempt) {
	for _, a := range actions {
		if send, ok := a.(SendAttempt); ok {
			sent = append(sent, send)
		}
	}
	return sent
}

// request sends a request and returns its first attempt, or the zero SendAttempt if there was none.
func (r *rig) request(class string, object uint64) SendAttempt {
	r.lastID++
	sent := sentAttempts(r.handle(Request{ID: r.lastID, Class: class, Object: object, Group: object % 8,
		Remaining: 3 * sec, SizeKB: 100}))
	if len(sent) == 0 {
		return SendAttempt{}
	}
	return sent[0]
}

// finish ends attempt n of a request with an elapsed time of 50 ms, and returns the actions that follow.
func (r *rig) finish(send SendAttempt, n int, status Status, detail Detail) []Action {
	return r.handle(Outcome{ID: send.ID, Attempt: n, Endpoint: send.Endpoint, Status: status, Answered: status == OK,
		Detail: detail, Elapsed: 50 * ms})
}

// advance moves the clock by at least d with the scan timer running, and returns the actions of all scans.
func (r *rig) advance(d time.Duration) (actions []Action) {
	for until := r.now + d; r.now < until; {
		r.now += scanInterval
		actions = append(actions, r.handle(Timer{Token: scanToken})...)
	}
	return actions
}

// failUntilEjected sends requests, and ends the attempts at an endpoint with the given status until it is ejected. Other
// attempts are hits.
func (r *rig) failUntilEjected(id EndpointID, status Status) {
	r.t.Helper()
	for o := uint64(1000); !r.balancer.endpoints.byID[id].health.ejected; o++ {
		if o > 1200 {
			r.t.Fatalf("endpoint %d was never ejected", id)
		}
		r.now += ms
		if send := r.request("page", o); send.Endpoint == id {
			r.finish(send, 0, status, NoDetail)
		} else if send.Endpoint != 0 {
			r.finish(send, 0, OK, Hit)
		}
	}
}

// finishAfter moves the clock by elapsed and answers a request with that elapsed time. All of it counts as the source's
// wait if the origin filled the response.
func (r *rig) finishAfter(send SendAttempt, elapsed time.Duration, detail Detail) {
	r.now += elapsed
	sourceWait := time.Duration(0)
	if detail == FilledByOrigin {
		sourceWait = elapsed
	}
	r.handle(Outcome{ID: send.ID, Endpoint: send.Endpoint, Status: OK, Answered: true, Detail: detail, Elapsed: elapsed,
		SourceWait: sourceWait})
}

// servedKeys returns how many of 300 keys an endpoint serves.
func (r *rig) servedKeys(id EndpointID) (n int) {
	for o := range uint64(300) {
		if r.balancer.servesKey(o, r.balancer.endpoints.byID[id]) {
			n++
		}
	}
	return n
}
