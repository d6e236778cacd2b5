package discovery

import (
	"testing"
	"time"
)

func TestBackoffDoublesUpToBound(t *testing.T) {
	b := newBackoff(100*time.Millisecond, 500*time.Millisecond)
	for _, want := range []time.Duration{
		200 * time.Millisecond, 400 * time.Millisecond, 500 * time.Millisecond, 500 * time.Millisecond,
	} {
		if got := b.next(); got != want {
			t.Errorf("pause %v, want %v", got, want)
		}
	}
	if got := b.reset(); got != 100*time.Millisecond {
		t.Errorf("pause %v after reset, want the initial one", got)
	}
}
