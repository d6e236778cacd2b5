package credit

import (
	"testing"
	"time"
)

// A pacer lets pass what the rate allows, keeps the headroom, and fills up to a burst.
func TestPacerLimitsRate(t *testing.T) {
	const amount = 10
	var p pacer
	p.pace(0, 3000, 30*time.Second) // 100 a second
	for _, step := range []struct {
		at       time.Duration
		headroom float64
		want     bool
	}{
		{0, 0, false},                      // empty at first
		{100 * time.Millisecond, 5, false}, // 10 tokens, of which 5 are kept
		{100 * time.Millisecond, 0, true},
		{100 * time.Millisecond, 0, false},
		{time.Hour, 0, true}, // full: a second's worth
	} {
		p.refill(step.at, amount)
		if got := p.take(amount, step.headroom); got != step.want {
			t.Errorf("at %v with headroom %v: %v", step.at, step.headroom, got)
		}
	}
	if p.tokens != 90 {
		t.Errorf("%v tokens after one request of a full bucket", p.tokens)
	}
}

// The rate never falls while an account is low, so that it is used up in the end.
func TestPacerRateDoesNotFall(t *testing.T) {
	var p pacer
	p.pace(0, 3000, 30*time.Second)
	p.pace(time.Second, 1500, 30*time.Second)
	if p.level != LevelLow || p.rate != 100 {
		t.Errorf("level %v, rate %v", p.level, p.rate)
	}
}
