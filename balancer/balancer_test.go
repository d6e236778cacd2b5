package balancer

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Operators print the files that the deploy file lists under policy. These must be all files that make decisions, each
// short enough to be read in one go, with lines that fit a page.
func TestPolicyFiles(t *testing.T) {
	deploy, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	// The files of the interface, the state and its export make no decisions.
	notPolicy := map[string]bool{"doc.go": true, "settings.go": true, "events.go": true, "actions.go": true,
		"state.go": true, "status.go": true, "snapshot.go": true}
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		if listed := strings.Contains(string(deploy), `"balancer/`+name+`"`); listed == notPolicy[name] {
			t.Errorf("%s is listed under policy: %t", name, listed)
		}
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		lines := strings.Split(string(text), "\n")
		if len(lines) > 300 {
			t.Errorf("%s has %d lines, more than 300", name, len(lines))
		}
		for i, line := range lines {
			if w := len([]rune(strings.ReplaceAll(line, "\t", "    "))); w > 130 {
				t.Errorf("%s:%d has %d columns, more than 130", name, i+1, w)
			}
		}
	}
}

func TestInvalidSettingsAreRejected(t *testing.T) {
	for name, invalidate := range map[string]func(*Settings){
		"no classes":                 func(s *Settings) { s.Classes = nil },
		"own zone not listed":        func(s *Settings) { s.Topology.Zone = "nowhere" },
		"negative purge window":      func(s *Settings) { s.PurgeWindow = -1 },
		"negative latency objective": func(s *Settings) { s.Classes[0].LatencyObjective = -1 },
		"parent kind not listed":     func(s *Settings) { s.Topology.ParentKind = 3 },
	} {
		s := testSettings()
		invalidate(&s)
		if _, err := New(s); err == nil {
			t.Errorf("%s: settings were accepted", name)
		}
	}
}
