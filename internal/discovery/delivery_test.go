package discovery

import (
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"
)

// lazyHandler is an EventHandler that applies nothing until the test asks for it.
type lazyHandler struct {
	*recorder
	mu    sync.Mutex
	posts []func()
}

func (h *lazyHandler) PostWatchEvent(f func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.posts = append(h.posts, f)
}

// applyAll applies what was posted.
func (h *lazyHandler) applyAll() {
	h.mu.Lock()
	posts := h.posts
	h.posts = nil
	h.mu.Unlock()
	for _, f := range posts {
		f()
	}
}

// A service that sends faster than its events are applied is left, once a bounded number waits. The watcher resumes after the
// latest delivered event when they are applied, and loses none.
func TestFastServiceDoesNotFillTheQueue(t *testing.T) {
	handler := &lazyHandler{recorder: &recorder{events: make(chan string, 4*maxUnappliedEntries)}}
	w, err := New(handler, "", testLimits(time.Millisecond), parseObject(t, `{"pos":1,"entries":[]}`))
	if err != nil {
		t.Fatal(err)
	}
	c := &call{watcher: w}
	deliver := func(position int) error {
		return c.receive([]byte(fmt.Sprint(position)), fmt.Appendf(nil, `{"pos":%d,"expire":{"set":1,"stamp":5}}`, position))
	}
	const sent = 2 * maxUnappliedEntries
	position, left := 2, 0
	for position <= sent {
		switch err := deliver(position); {
		case errors.Is(err, errTooManyUnapplied):
			if w.queue.mayResume() {
				t.Fatalf("left at position %d with room in the queue", position)
			}
			left++
			w.queue.flush()
			handler.applyAll()
			if !w.queue.mayResume() {
				t.Fatal("no room after all events were applied")
			}
		case err != nil:
			t.Fatal(err)
		default:
			position++
		}
	}
	w.queue.flush()
	handler.applyAll()
	if left == 0 || len(handler.events) != sent-1 {
		t.Errorf("left the service %d times and applied %d events, want %d", left, len(handler.events), sent-1)
	}
}

// Events of a long burst are posted together, and the first ones after a quiet time at once.
func TestPacerDelaysOnlyLongBursts(t *testing.T) {
	const interval = 25 * time.Millisecond
	p := pacer{interval: interval}
	now := time.Hour
	for i := range maxBurst + 1 {
		if d := p.delay(now); d != 0 {
			t.Errorf("event %d is delayed by %v", i, d)
		}
		now += time.Millisecond
	}
	if d := p.delay(now); d != interval-time.Millisecond {
		t.Errorf("an event after the burst is delayed by %v, want %v", d, interval-time.Millisecond)
	}
	if d := p.delay(now + time.Millisecond); d != interval-2*time.Millisecond {
		t.Errorf("the next event is delayed by %v, want as long as the one before it", d)
	}
	if d := p.delay(now + time.Second); d != 0 {
		t.Errorf("an event after a quiet time is delayed by %v", d)
	}
}
