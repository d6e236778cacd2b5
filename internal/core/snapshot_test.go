package core

import (
	"slices"
	"testing"
	"time"

	"hillknot/balancer"
)

// Each answer counts once, whoever gives it; a cancelled request counts nowhere.
func TestSnapshotCountsAnswers(t *testing.T) {
	h := newHarness(t)
	for range 3 {
		h.submit("page", 3*second)
	}
	if s := h.core.Snapshot(); s.OpenRequests != 3 || s.PageCaches != 2 || s.AvoidedPageCaches != 0 {
		t.Errorf("three are open, two page caches are healthy: %+v", s)
	}
	h.finish(h.outstanding[0], AttemptResult{Status: balancer.OK})
	id := h.submit("page", 3*second)
	h.core.CancelRequest(id)
	h.submit("order", second)
	h.submit("page", time.Millisecond) // less time than the margin: rejected at once
	h.core.CountAnswer("what", Failed)
	h.wait(4 * second) // the rest gets no answer from its page cache
	s := h.core.Snapshot()
	want := []ClassCounts{{"page", 1, 3, 0}, {"order", 0, 0, 1}, {UnknownClass, 0, 0, 1}}
	if !slices.Equal(s.ByClass, want) {
		t.Errorf("counts %+v, want %+v", s.ByClass, want)
	}
	if s.OpenRequests != 0 {
		t.Errorf("%d are open", s.OpenRequests)
	}
}

// An endpoint that drains, or fails all its attempts, counts as avoided until it is healthy again.
func TestSnapshotCountsAvoidedEndpoints(t *testing.T) {
	h := newHarness(t)
	h.core.UpdateEndpoints(draining("a", "127.1.0.1:1"))
	h.core.RunOnce()
	if s := h.core.Snapshot(); s.PageCaches != 2 || s.AvoidedPageCaches != 1 {
		t.Errorf("one drains: %d of %d are avoided", s.AvoidedPageCaches, s.PageCaches)
	}
	for range 3 {
		h.submit("page", second)
		for len(h.outstanding) > 0 {
			h.finish(h.outstanding[0], AttemptResult{Status: balancer.Error})
		}
	}
	if s := h.core.Snapshot(); s.AvoidedPageCaches != 2 {
		t.Errorf("the other fails: %d are avoided", s.AvoidedPageCaches)
	}
	h.wait(2 * second)
	h.submit("page", second)
	h.finish(h.outstanding[0], AttemptResult{Status: balancer.OK, Detail: balancer.Hit})
	if s := h.core.Snapshot(); s.AvoidedPageCaches != 1 {
		t.Errorf("the other is healthy again: %d are avoided", s.AvoidedPageCaches)
	}
}
