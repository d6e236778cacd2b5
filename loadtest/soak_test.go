package loadtest

import (
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// Routers keep the invariants of the soak test through faults that overlap, series of signals and restarts. Seed 1 runs
// without idle clients, seed 3 with them. `make soak` is the long run, with more routers and seeds.
func TestSoakKeepsInvariantsThroughOverlappingFaults(t *testing.T) {
	program := buildRouter(t)
	var report strings.Builder
	err := Soak(SoakSettings{Program: program, Routers: 8, Caches: 4, Length: 15 * time.Second, Seeds: []uint64{1, 3}}, &report)
	t.Log(report.String())
	if err != nil {
		t.Error(err)
	}
}

// buildRouter builds the router's program, and returns its path.
func buildRouter(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "hillknot")
	if out, err := exec.Command("go", "build", "-o", program, "hillknot/cmd/hillknot").CombinedOutput(); err != nil {
		t.Fatalf("build the router: %v\n%s", err, out)
	}
	return program
}
