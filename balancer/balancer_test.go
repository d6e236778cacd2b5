package balancer

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// The operators print the files that the deploy file names under policy: these are all that decide, each of a size
// that can be read in one go, in lines that fit a page.
func TestPolicyFiles(t *testing.T) {
	deploy, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	// The interface, the state, and what is copied out for others decide nothing.
	plain := map[string]bool{"doc.go": true, "settings.go": true, "events.go": true, "actions.go": true,
		"state.go": true, "status.go": true, "snapshot.go": true}
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		if listed := strings.Contains(string(deploy), `"balancer/`+name+`"`); listed == plain[name] {
			t.Errorf("%s is listed under policy: %t", name, listed)
		}
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		lines := strings.Split(string(text), "\n")
		if len(lines) > 300 {
			t.Errorf("%s has %d lines", name, len(lines))
		}
		for i, line := range lines {
			if w := len([]rune(strings.ReplaceAll(line, "\t", "    "))); w > 130 {
				t.Errorf("%s:%d has %d columns", name, i+1, w)
			}
		}
	}
}

func TestSettingsRejected(t *testing.T) {
	for name, bend := range map[string]func(*Settings){
		"no classes":    func(s *Settings) { s.Classes = nil },
		"own location":  func(s *Settings) { s.Topology.Zone = "nowhere" },
		"negative time": func(s *Settings) { s.PurgeWindow = -1 },
		"negative aim":  func(s *Settings) { s.Classes[0].LatencyObjective = -1 },
		"parent kind":   func(s *Settings) { s.Topology.ParentKind = 3 },
	} {
		s := site()
		bend(&s)
		if _, err := New(s); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}
