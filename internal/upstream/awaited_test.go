package upstream

import (
	"bytes"
	"sync/atomic"
	"testing"

	"hillknot/balancer"
	"hillknot/internal/core"
)

// Responses that nobody awaits, and second responses, cost the core one call, however many there are.
func TestUnawaitedResponsesAreDroppedAsTheyAreRead(t *testing.T) {
	h := newHarness(t)
	recorder := &postRecorder{Core: h.client.core}
	h.client.core = recorder
	c := &connection{client: h.client, pool: &pool{}, inFlight: map[string]*core.Attempt{}}
	c.awaited.add("t1")
	input := bytes.Repeat([]byte("t0 BROKE - 0\r\n\r\nt1 DONE - 1\r\nx\r\n"), 1000)
	if used, _, err := c.Consume(input); used != len(input) || err != nil {
		t.Fatalf("used %d of %d bytes, error %v", used, len(input), err)
	}
	if posts := recorder.posts.Load(); posts != 2 { // the response to t1, and one report of all others
		t.Errorf("the core got %d calls, want 2", posts)
	}
}

// postRecorder counts the calls that are posted, and makes none of them.
type postRecorder struct {
	Core
	posts atomic.Int64
}

func (r *postRecorder) Post(func()) { r.posts.Add(1) }

// A body that does not fit into the budget is dropped, and the budget holds what is on its way to the core.
func TestBodyOverTheBudgetIsDropped(t *testing.T) {
	h := newHarness(t)
	h.client.budget.SetLimit(150)
	h.send("t1")
	nc, r := h.accept()
	h.expectLine(r, "ASK t1 ")
	if _, err := nc.Write(append([]byte("t1 DONE - 100\r\n"), append(bytes.Repeat([]byte("x"), 100), "\r\n"...)...)); err != nil {
		t.Fatal(err)
	}
	if result := <-h.results; result.Status != balancer.OK || len(result.Body) != 100 || result.BodyDropped {
		t.Errorf("a body within the budget: %+v", result)
	}
	h.client.budget.SetLimit(0)
	c := &connection{client: h.client, pool: &pool{}, inFlight: map[string]*core.Attempt{}}
	posted := &postRecorder{Core: h.client.core}
	h.client.core = posted
	c.awaited.add("t2")
	if _, _, err := c.Consume([]byte("t2 DONE - 4\r\nbody\r\n")); err != nil {
		t.Fatal(err)
	}
	if posts := posted.posts.Load(); posts != 1 || h.client.budget.Used() != 0 {
		t.Errorf("%d calls posted, %d bytes counted; want one and none", posts, h.client.budget.Used())
	}
}
