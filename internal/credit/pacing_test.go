package credit

import (
	"testing"
	"time"
)

// A pacer allows spending at its rate, keeps the headroom, and refills up to the burst.
func TestPacerLimitsRate(t *testing.T) {
	const amount = 10
	var p pacer
	p.pace(0, 3000, 30*time.Second) // 100 tokens per second
	for _, step := range []struct {
		at       time.Duration
		headroom float64
		want     bool
	}{
		{0, 0, false},                      // empty at the start
		{100 * time.Millisecond, 5, false}, // 10 tokens, of which 5 are kept
		{100 * time.Millisecond, 0, true},
		{100 * time.Millisecond, 0, false},
		{time.Hour, 0, true}, // full: the tokens of one second
	} {
		p.refill(step.at, amount)
		if got := p.take(amount, step.headroom); got != step.want {
			t.Errorf("at %v with headroom %v: take returned %v", step.at, step.headroom, got)
		}
	}
	if p.tokens != 90 {
		t.Errorf("%v tokens after one request from a full bucket, want 90", p.tokens)
	}
}

// The rate does not fall while an account is low, so that the account is used up in the end.
func TestPacerRateDoesNotFall(t *testing.T) {
	var p pacer
	p.pace(0, 3000, 30*time.Second)
	p.pace(time.Second, 1500, 30*time.Second)
	if p.level != LevelLow || p.rate != 100 {
		t.Errorf("level %v, rate %v; want low, 100", p.level, p.rate)
	}
}
