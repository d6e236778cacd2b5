package config

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// Without the block fleet nothing is shared. The block has defaults, and an error names each key that can't be used.
func TestFleetBlock(t *testing.T) {
	keys := filepath.Join(t.TempDir(), "keys")
	if err := os.WriteFile(keys, []byte(strings.Repeat("0a", 16)), 0o600); err != nil {
		t.Fatal(err)
	}
	parse := func(text string) (Cluster, error) {
		c, err := Parse([]byte(baseConfig+"}"), []byte(strings.ReplaceAll(text, "KEYS", fmt.Sprintf("%q", keys))), "op.hcl")
		if err != nil {
			return Cluster{}, err
		}
		return c.Cluster, nil
	}
	const validFleet = "listen = \"127.0.0.1:7946\"\nkey_file = KEYS\nsize = 7\n"
	if f, err := parse(""); err != nil || f.Enabled {
		t.Errorf("without the block: %+v, %v", f, err)
	}
	f, err := parse("fleet {\n" + validFleet + "cold {\n rate = 40\n}\n}\n")
	if err != nil || !f.Enabled || f.State.ClusterSize != 7 || f.State.LeaseDuration != 2*time.Second || f.WarmUp.Rate != 40 ||
		f.WarmUp.Burst != 14 || f.Retries.Rate != 0 || f.Advertise != f.Listen {
		t.Errorf("%+v, %v", f, err)
	}
	for key, text := range map[string]string{
		"fleet.size":         strings.Replace(validFleet, "7\n", "0\n", 1),
		"fleet.key_file":     strings.Replace(validFleet, "KEYS", `"/nowhere"`, 1),
		"fleet.listen":       strings.Replace(validFleet, "7946", "x", 1),
		"fleet.advertise":    strings.Replace(validFleet, "127.0.0.1", "0.0.0.0", 1),
		"fleet.peers":        validFleet + `peers = ["here"]`,
		"fleet.lease_ms":     validFleet + "lease_ms = 100",
		"fleet.verdict_ms":   validFleet + "verdict_ms = 100000",
		"fleet.quorum":       validFleet + "quorum = 1",
		"fleet.cold.rate":    validFleet + "cold {\n rate = 0\n}",
		"fleet.cold.burst":   validFleet + "cold {\n rate = 40\n burst = 13\n}",
		"fleet.retries.rate": validFleet + "retries {\n burst = 20\n}",
		"fleet.secret":       validFleet + "secret = 1",
	} {
		if _, err := parse("fleet {\n" + text + "\n}\n"); err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("want an error that names %s, got %v", key, err)
		}
	}
}
