package balancer

import (
	"fmt"
	"reflect"
	"testing"
	"time"
)

func TestRetriesByIdempotency(t *testing.T) {
	r := newRig(t, testSettings(), testEndpoints())
	send := r.request("once", 1)
	if send.Endpoint != 20 || send.CachePriority != 0 {
		t.Errorf("a write must go straight to the origin and leave no copy: %+v", send)
	}
	actions := r.finish(send, 0, Reset, NoDetail)
	if _, ok := actions[0].(Fail); !ok {
		t.Errorf("not idempotent, after an attempt that may have run: %v, want Fail", actions)
	}
	send = r.request("once", 1)
	if actions = r.finish(send, 0, ConnectFailed, NoDetail); len(sentAttempts(actions)) != 1 {
		t.Errorf("not idempotent, after an attempt that never ran: %v, want a retry", actions)
	}
	send = r.request("pay", 1)
	if actions = r.finish(send, 0, Reset, NoDetail); len(sentAttempts(actions)) != 1 {
		t.Errorf("idempotent by key, within the window: %v, want a retry", actions)
	}
	send = r.request("pay", 1)
	r.now += 2500 * ms
	if actions = r.finish(send, 0, Reset, NoDetail); len(sentAttempts(actions)) != 0 {
		t.Errorf("idempotent by key, after the window: %v, want no retry", actions)
	}
}

// A request with less time left than the scan interval must not be queued.
func TestShortDeadlineIsMet(t *testing.T) {
	r := newRig(t, testSettings(), testEndpoints())
	for _, e := range r.balancer.endpoints.caches {
		e.concurrencyLimit = 0
	}
	actions := r.handle(Request{ID: 7, Class: "page", Object: 1, Remaining: 10 * ms})
	if _, ok := actions[0].(Reject); !ok && len(sentAttempts(actions)) == 0 {
		t.Errorf("the request was queued beyond its deadline: %v", actions)
	}
}

func TestUnknownIDsAreIgnored(t *testing.T) {
	r := newRig(t, testSettings(), nil)
	r.handle(Outcome{ID: 99, Endpoint: 5})
	r.handle(ClientAborted{ID: 99})
	r.handle(ResponseStarted{ID: 99})
	r.handle(EndpointUpdate{Failed: true})
	r.handle(EndpointUpdate{Complete: true, Endpoints: []Endpoint{{ID: 4, Kind: "strange", Zone: "edge"}}})
	if actions := r.handle(Request{ID: 1, Class: "unheard of", Remaining: sec}); len(actions) == 0 {
		t.Errorf("a request of an unknown class got no action")
	}
}

// Under overload, queued requests with the lowest cost for their weight are sent first.
func TestQueueServesCheapestFirst(t *testing.T) {
	s := testSettings()
	s.Capabilities.DirectAttempts = false
	r := newRig(t, s, testEndpoints())
	for _, e := range r.balancer.endpoints.caches {
		e.concurrencyLimit = 0
	}
	for i, kb := range []float64{300, 100, 200} {
		r.handle(Request{ID: RequestID(i + 1), Class: "page", Object: uint64(i), Remaining: 3 * sec, SizeKB: kb})
	}
	for _, e := range r.balancer.endpoints.caches {
		e.concurrencyLimit = 9
	}
	got := ""
	for _, send := range sentAttempts(r.advance(scanInterval)) {
		got += fmt.Sprint(send.ID)
	}
	if got != "231" {
		t.Errorf("queued requests were sent in the order %s, want 231", got)
	}
}

// Events passed to Handle together give the same actions as events passed one by one.
func TestBatchOfEventsGivesSameActions(t *testing.T) {
	single, batch := newRig(t, testSettings(), testEndpoints()), newRig(t, testSettings(), testEndpoints())
	var events []Event
	var want []Action
	for i := range 20 {
		ev := Request{ID: RequestID(i + 1), Class: "page", Object: uint64(i % 5), Remaining: 3 * sec, SizeKB: 100}
		events, want = append(events, ev), append(want, single.handle(ev)...)
	}
	if got := append([]Action(nil), batch.balancer.Handle(batch.now, events...)...); !reflect.DeepEqual(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

// A rejection is sent at once and says how long the client should wait.
func TestRejectHasRetryAfter(t *testing.T) {
	s := testSettings()
	s.MaxRetryAfter = 500 * time.Millisecond
	r := newRig(t, s, nil)
	actions := r.handle(Request{ID: 1, Class: "page", Remaining: 3 * sec})
	if len(actions) == 0 || actions[0] != (Reject{ID: 1, RetryAfter: s.MaxRetryAfter}) {
		t.Errorf("actions %v, want a rejection with RetryAfter", actions)
	}
}
