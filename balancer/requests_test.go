package balancer

import (
	"fmt"
	"reflect"
	"testing"
	"time"
)

func TestRetriesByIdempotency(t *testing.T) {
	r := newRig(t, site(), fleetList())
	g := r.request("once", 1)
	if g.Endpoint != 20 || g.CachePriority != 0 {
		t.Errorf("a write goes straight to the origin and keeps nothing: %+v", g)
	}
	as := r.finish(g, 0, Reset, NoDetail)
	if _, ok := as[0].(Fail); !ok {
		t.Errorf("after an unsafe attempt that may have run: %v", as)
	}
	g = r.request("once", 1)
	if as = r.finish(g, 0, ConnectFailed, NoDetail); len(sentAttempts(as)) != 1 {
		t.Errorf("after one that never ran: %v", as)
	}
	g = r.request("pay", 1)
	if as = r.finish(g, 0, Reset, NoDetail); len(sentAttempts(as)) != 1 {
		t.Errorf("keyed, within its window: %v", as)
	}
	g = r.request("pay", 1)
	r.now += 2500 * ms
	if as = r.finish(g, 0, Reset, NoDetail); len(sentAttempts(as)) != 0 {
		t.Errorf("keyed, after its window: %v", as)
	}
}

// A try shorter than the scan is answered in its time.
func TestShortDeadlineIsMet(t *testing.T) {
	r := newRig(t, site(), fleetList())
	for _, m := range r.balancer.endpoints.caches {
		m.concurrencyLimit = 0
	}
	as := r.handle(Request{ID: 7, Class: "page", Object: 1, Remaining: 10 * ms})
	if _, ok := as[0].(Reject); !ok && len(sentAttempts(as)) == 0 {
		t.Errorf("held beyond its time: %v", as)
	}
}

func TestUnknownIDsAreIgnored(t *testing.T) {
	r := newRig(t, site(), nil)
	r.handle(Outcome{ID: 99, Endpoint: 5})
	r.handle(ClientAborted{ID: 99})
	r.handle(ResponseStarted{ID: 99})
	r.handle(EndpointUpdate{Failed: true})
	r.handle(EndpointUpdate{Complete: true, Endpoints: []Endpoint{{ID: 4, Kind: "strange", Zone: "edge"}}})
	if as := r.handle(Request{ID: 1, Class: "unheard of", Remaining: sec}); len(as) == 0 {
		t.Errorf("no decision")
	}
}

// Under overload what costs little for its worth goes first.
func TestQueueServesCheapestFirst(t *testing.T) {
	s := site()
	s.Capabilities.DirectAttempts = false
	r := newRig(t, s, fleetList())
	for _, m := range r.balancer.endpoints.caches {
		m.concurrencyLimit = 0
	}
	for i, kb := range []float64{300, 100, 200} {
		r.handle(Request{ID: RequestID(i + 1), Class: "page", Object: uint64(i), Remaining: 3 * sec, SizeKB: kb})
	}
	for _, m := range r.balancer.endpoints.caches {
		m.concurrencyLimit = 9
	}
	got := ""
	for _, g := range sentAttempts(r.advance(scanInterval)) {
		got += fmt.Sprint(g.ID)
	}
	if got != "231" {
		t.Errorf("resumed in the order %s", got)
	}
}

// What comes in together gives what it would have given one by one.
func TestHandleBatch(t *testing.T) {
	one, all := newRig(t, site(), fleetList()), newRig(t, site(), fleetList())
	var evs []Event
	var want []Action
	for i := range 20 {
		ev := Request{ID: RequestID(i + 1), Class: "page", Object: uint64(i % 5), Remaining: 3 * sec, SizeKB: 100}
		evs, want = append(evs, ev), append(want, one.handle(ev)...)
	}
	if got := append([]Action(nil), all.balancer.Handle(all.now, evs...)...); !reflect.DeepEqual(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

// A rejection comes at once and says how long to stay away.
func TestRejectHasRetryAfter(t *testing.T) {
	s := site()
	s.MaxRetryAfter = 500 * time.Millisecond
	r := newRig(t, s, nil)
	as := r.handle(Request{ID: 1, Class: "page", Remaining: 3 * sec})
	if len(as) == 0 || as[0] != (Reject{ID: 1, RetryAfter: s.MaxRetryAfter}) {
		t.Errorf("actions %v", as)
	}
}
