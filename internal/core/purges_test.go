package core

import (
	"testing"
	"time"

	"hillknot/balancer"
)

// A purge applies to all requests of the iteration that takes it, in whatever order they came in, and to attempts that
// are decided and not written yet. An attempt that asks for an even newer copy still asks for it after an older purge.
func TestPurgeCoversUnwrittenAttempts(t *testing.T) {
	h := newHarness(t)
	h.submit("page", 3*second)
	h.submit("page", 3*second)
	h.core.PurgeObject(8, h.now)
	if h.outstanding[0].Decision.MaxAge != 0 {
		t.Errorf("the purge of another object sets a maximum age of %v", h.outstanding[0].Decision.MaxAge)
	}
	h.core.Post(func() {
		late := Request{Txn: "late", Class: "page", Object: 7, Timeout: 3 * second, Reply: h.reply}
		h.core.Submit(h.core.NewID(), late)
	})
	at := h.now
	h.now += 100 * time.Millisecond
	h.core.PostWatchEvent(func() { h.core.PurgeObject(7, at) })
	h.core.RunOnce()
	h.core.PurgeObject(7, at-second)
	if len(h.outstanding) != 3 {
		t.Fatalf("%d attempts, want 3", len(h.outstanding))
	}
	for i, a := range h.outstanding {
		if a.Decision.MaxAge <= 0 || a.Decision.MaxAge > 100*time.Millisecond {
			t.Errorf("attempt %d may be served a copy %v old, of an object purged 100 ms ago", i, a.Decision.MaxAge)
		}
	}
}

// After a stall between two attempts of the same decision, a purge that came in meanwhile also applies to the attempt that
// is sent after it.
func TestPurgeCoversLaterAttemptsOfSameDecision(t *testing.T) {
	h := newHarness(t)
	h.submit("page", 3*second)
	first := h.outstanding[0]
	h.core.PurgeObject(7, h.now-100*time.Millisecond)
	id := h.core.NewID()
	h.core.requests.add(&request{
		Request:        Request{Txn: "t", Class: "page", Object: 7, Reply: h.reply},
		id:             id,
		acceptedAt:     h.now,
		deadline:       h.now + second,
		clientDeadline: h.now + second,
	})
	decidedBefore := balancer.SendAttempt{ID: id, Endpoint: first.Decision.Endpoint, Source: first.Decision.Source}
	h.core.execute(decidedBefore)
	if late := h.outstanding[1]; late.Decision.MaxAge == 0 || late.Decision.MaxAge > 100*time.Millisecond {
		t.Errorf("a copy %v old is accepted, 100 ms after a purge", late.Decision.MaxAge)
	}
}
