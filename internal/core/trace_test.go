package core

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"hillknot/balancer"
)

// The log at level debug says for each attempt where its endpoint is listed, and why the idempotency rule allows it there.
func TestTraceSaysWhyEachEndpointWasAllowed(t *testing.T) {
	before := slog.Default()
	defer slog.SetDefault(before)
	var text bytes.Buffer
	slog.SetDefault(slog.New(slog.NewTextHandler(&text, &slog.HandlerOptions{Level: slog.LevelDebug})))
	h := newHarness(t)
	h.submit("page", second)
	h.finish(h.outstanding[0], AttemptResult{Status: balancer.Reset})
	var attempts []string
	for line := range strings.Lines(text.String()) {
		if strings.Contains(line, "attempt started") {
			attempts = append(attempts, line)
		}
	}
	want := []string{"zone=edge cell=0 repeat=nothing-ran", "zone=edge cell=0 repeat=repeat-harmless"}
	if len(attempts) != len(want) {
		t.Fatalf("attempts in the log: %q, want %d", attempts, len(want))
	}
	for i, line := range attempts {
		if !strings.Contains(line, want[i]) {
			t.Errorf("attempt %d: %q, want %q in it", i, line, want[i])
		}
	}
}
