package core

import (
	"strconv"
	"testing"
	"time"

	"hillknot/balancer"
	"hillknot/internal/config"
)

// harness holds a core on a clock that the test sets. It is the core's Upstream, and only records the calls.
type harness struct {
	t             *testing.T
	core          *Core
	now           time.Duration
	outstanding   []*Attempt // sent, and neither completed nor cancelled
	maxConcurrent int        // the most attempts that one request had open at once
	answers       []Answer
}

func (h *harness) Send(a *Attempt) {
	h.outstanding = append(h.outstanding, a)
	n := 0
	for _, o := range h.outstanding {
		if o.owner == a.owner {
			n++
		}
	}
	h.maxConcurrent = max(h.maxConcurrent, n)
}

func (h *harness) Cancel(a *Attempt) {
	for i, o := range h.outstanding {
		if o == a {
			h.outstanding = append(h.outstanding[:i], h.outstanding[i+1:]...)
			return
		}
	}
}

func (h *harness) CloseEndpoint(*Endpoint) {}

// reply is the Reply of the requests that the harness submits.
func (h *harness) reply(a Answer) Verdict { h.answers = append(h.answers, a); return a.Verdict }

// finish completes an attempt, and runs the loop once.
func (h *harness) finish(a *Attempt, result AttemptResult) {
	h.Cancel(a)
	h.core.CompleteAttempt(a, result)
	h.core.RunOnce()
}

// wait advances the clock in steps of at most 5 ms, and runs the loop at each step.
func (h *harness) wait(d time.Duration) {
	for until := h.now + d; h.now < until; {
		h.now += min(5*time.Millisecond, until-h.now)
		h.core.RunOnce()
	}
}

const second = time.Second

func newHarness(t *testing.T) *harness {
	t.Helper()
	return newHarnessWithSettings(t, testSettings())
}

func newHarnessWithSettings(t *testing.T, settings balancer.Settings) *harness {
	t.Helper()
	h := &harness{t: t, now: 1e6 * second}
	core, err := New(settings, testLimits(), func() time.Duration { return h.now })
	if err != nil {
		t.Fatal(err)
	}
	h.core = core
	core.SetUpstream(h)
	core.ReplaceEndpoints([]EndpointUpdate{
		{ID: "a", Addr: "127.1.0.1:1", Kind: "box", Zone: "edge"},
		{ID: "b", Addr: "127.1.0.2:1", Kind: "box", Zone: "edge"},
		{ID: "m", Addr: "127.1.0.3:1", Kind: "mid", Zone: "hub"},
		{ID: "o", Addr: "127.1.0.4:1", Kind: "store", Zone: "hub"},
	})
	core.RunOnce()
	return h
}

func testLimits() config.Limits {
	return config.Limits{
		OpenRequests:         100,
		OpenQueries:          10,
		AnswerMargin:         15 * time.Millisecond,
		LongestDeadline:      5 * second,
		AttemptGrace:         200 * time.Millisecond,
		ShutdownAnswerMargin: 200 * time.Millisecond,
	}
}

// testSettings returns settings with an idempotent class, page, and a class that is not idempotent, order.
func testSettings() balancer.Settings {
	page := balancer.Class{
		Name:             "page",
		LatencyObjective: 250 * time.Millisecond,
		ObjectiveStretch: 2,
		Deadline:         3 * second,
		Idempotency:      balancer.Idempotent,
		Weight:           1,
	}
	order := balancer.Class{
		Name:             "order",
		LatencyObjective: 700 * time.Millisecond,
		Deadline:         3 * second,
		Weight:           3,
		Write:            true,
	}
	return balancer.Settings{
		Topology: balancer.Topology{
			Zone:       "edge",
			Zones:      []string{"hub", "edge"},
			Kinds:      []string{"box", "mid", "store"},
			ParentKind: 1,
			OriginKind: 2,
		},
		Capabilities: balancer.Capabilities{Cancellation: true},
		MaxAttempts:  6,
		PurgeWindow:  6 * second,
		Classes:      []balancer.Class{page, order},
	}
}

// draining returns the change of the endpoint list that marks an endpoint as draining.
func draining(id, addr string) []EndpointUpdate {
	return []EndpointUpdate{{ID: id, Addr: addr, Kind: "box", Zone: "edge", State: balancer.Draining}}
}

// setDrainTimes makes each stage of draining begin half a second to a second after the stage before.
func (h *harness) setDrainTimes() {
	h.core.limits.DrainCloseAfterResponse = second / 2
	h.core.limits.DrainCloseIdle = second
	h.core.limits.DrainRejectNew = 2 * second
	h.core.limits.DrainCloseAll = 3 * second
}

// submit submits a request of a class that arrives now, and runs the loop once.
func (h *harness) submit(class string, timeout time.Duration) balancer.RequestID {
	return h.submitLate(class, timeout, 0)
}

// submitLate is submit for a request that arrived some time ago.
func (h *harness) submitLate(class string, timeout, ago time.Duration) balancer.RequestID {
	id := h.core.NewID()
	h.core.Submit(id, Request{
		Txn:       strconv.Itoa(int(id)),
		Class:     class,
		Object:    7,
		Timeout:   timeout,
		Write:     class == "order",
		ArrivedAt: h.now - ago,
		Reply:     h.reply,
	})
	h.core.RunOnce()
	return id
}

// wantOneAnswer fails the test unless there has been exactly one answer, with the given verdict.
func (h *harness) wantOneAnswer(what string, v Verdict) {
	h.t.Helper()
	if len(h.answers) != 1 || h.answers[0].Verdict != v {
		h.t.Errorf("%s: answers %+v, want one of verdict %d", what, h.answers, v)
	}
}
