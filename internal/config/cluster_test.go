package config

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// The block fleet is off where it is not there, has defaults, and names each key that can't be used.
func TestFleet(t *testing.T) {
	keys := filepath.Join(t.TempDir(), "keys")
	if err := os.WriteFile(keys, []byte(strings.Repeat("0a", 16)), 0o600); err != nil {
		t.Fatal(err)
	}
	parse := func(text string) (Cluster, error) {
		c, err := Parse([]byte(base+"}"), []byte(strings.ReplaceAll(text, "KEYS", fmt.Sprintf("%q", keys))), "op.hcl")
		if err != nil {
			return Cluster{}, err
		}
		return c.Cluster, nil
	}
	const good = "listen = \"127.0.0.1:7946\"\nkey_file = KEYS\nsize = 7\n"
	if f, err := parse(""); err != nil || f.Enabled {
		t.Errorf("nothing set up: %+v, %v", f, err)
	}
	f, err := parse("fleet {\n" + good + "cold {\n rate = 40\n}\n}\n")
	if err != nil || !f.Enabled || f.State.ClusterSize != 7 || f.State.LeaseDuration != 2*time.Second || f.WarmUp.Rate != 40 || f.WarmUp.Burst != 14 || f.Retries.Rate != 0 ||
		f.Advertise != f.Listen {
		t.Errorf("%+v, %v", f, err)
	}
	for key, text := range map[string]string{
		"fleet.size":         strings.Replace(good, "7\n", "0\n", 1),
		"fleet.key_file":     strings.Replace(good, "KEYS", `"/nowhere"`, 1),
		"fleet.listen":       strings.Replace(good, "7946", "x", 1),
		"fleet.advertise":    strings.Replace(good, "127.0.0.1", "0.0.0.0", 1),
		"fleet.peers":        good + `peers = ["here"]`,
		"fleet.lease_ms":     good + "lease_ms = 100",
		"fleet.verdict_ms":   good + "verdict_ms = 100000",
		"fleet.quorum":       good + "quorum = 1",
		"fleet.cold.rate":    good + "cold {\n rate = 0\n}",
		"fleet.cold.burst":   good + "cold {\n rate = 40\n burst = 13\n}",
		"fleet.retries.rate": good + "retries {\n burst = 20\n}",
		"fleet.secret":       good + "secret = 1",
	} {
		if _, err := parse("fleet {\n" + text + "\n}\n"); err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("%s: %v", key, err)
		}
	}
}
