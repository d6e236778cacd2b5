package core

import (
	"slices"
	"testing"
	"time"

	"hillknot/balancer"
)

// Each answer is counted once, whether the core or a front end gives it. A cancelled request is not counted.
func TestSnapshotCountsAnswers(t *testing.T) {
	h := newHarness(t)
	for range 3 {
		h.submit("page", 3*second)
	}
	if s := h.core.Snapshot(); s.OpenRequests != 3 || s.PageCaches != 2 || s.AvoidedPageCaches != 0 {
		t.Errorf("snapshot with three open requests and two healthy page caches: %+v", s)
	}
	h.finish(h.outstanding[0], AttemptResult{Status: balancer.OK})
	id := h.submit("page", 3*second)
	h.core.CancelRequest(id)
	h.submit("order", second)
	h.submit("page", time.Millisecond) // its timeout is shorter than the margin, so it is rejected at once
	h.core.CountAnswer("what", Failed)
	h.wait(4 * second) // the other requests get no answer from their page caches
	s := h.core.Snapshot()
	want := []ClassCounts{{"page", 1, 3, 0}, {"order", 0, 0, 1}, {UnknownClass, 0, 0, 1}}
	if !slices.Equal(s.ByClass, want) {
		t.Errorf("counts %+v, want %+v", s.ByClass, want)
	}
	if s.OpenRequests != 0 {
		t.Errorf("%d requests are open", s.OpenRequests)
	}
}

// A page cache that drains, or fails all its attempts, counts as avoided until it is healthy again.
func TestSnapshotCountsAvoidedPageCaches(t *testing.T) {
	h := newHarness(t)
	h.core.UpdateEndpoints(draining("a", "127.1.0.1:1"))
	h.core.RunOnce()
	if s := h.core.Snapshot(); s.PageCaches != 2 || s.AvoidedPageCaches != 1 {
		t.Errorf("one page cache drains: %d of %d are avoided", s.AvoidedPageCaches, s.PageCaches)
	}
	for range 3 {
		h.submit("page", second)
		for len(h.outstanding) > 0 {
			h.finish(h.outstanding[0], AttemptResult{Status: balancer.Error})
		}
	}
	if s := h.core.Snapshot(); s.AvoidedPageCaches != 2 {
		t.Errorf("the other page cache fails: %d are avoided", s.AvoidedPageCaches)
	}
	h.wait(2 * second)
	h.submit("page", second)
	h.finish(h.outstanding[0], AttemptResult{Status: balancer.OK, Detail: balancer.Hit})
	if s := h.core.Snapshot(); s.AvoidedPageCaches != 1 {
		t.Errorf("the other page cache is healthy again: %d are avoided", s.AvoidedPageCaches)
	}
}

// The snapshot says why requests were refused, how attempts ended, how many calls waited and how long the loop stalled.
func TestSnapshotExplainsRefusalsAndAttempts(t *testing.T) {
	h := newHarness(t)
	for range 3 {
		h.core.Post(func() {})
	}
	h.submit("page", 3*second)
	h.core.CountRefusal(RefusedMemory)
	h.now += 600 * time.Millisecond // the process stalls
	h.core.awaitBacklog()
	h.core.CompleteAttempt(h.outstanding[0], AttemptResult{Status: balancer.OK})
	h.core.RunOnce()
	s := h.core.Snapshot()
	if got := s.Refusals[RefusedMemory]; got != (LabelledCount{"too many bytes buffered", 1}) {
		t.Errorf("refusals for lack of memory: %+v", got)
	}
	if got := s.AttemptsEnded[balancer.OK]; got != (LabelledCount{"ok", 1}) {
		t.Errorf("attempts that ended well: %+v", got)
	}
	if s.Queue.Length != 0 || s.Queue.Peak < 3 {
		t.Errorf("queue: %+v, want a peak of 3 at least and nothing left", s.Queue)
	}
	if s.Stalls.Count != 1 || s.Stalls.Longest != 600*time.Millisecond {
		t.Errorf("stalls: %+v, want one of 600ms", s.Stalls)
	}
}
