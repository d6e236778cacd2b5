package config

import (
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"
)

const base = `{"listen":"127.0.0.1:1","journal":"127.0.0.1:2","settings":{"dcs":["e"],"locality":"e",
	"specifics":{"instancesByZone":[1],"pipeKbPerS":[0]},"profiles":[{"name":"a","deadlineUs":3000000}]}`

func TestFiles(t *testing.T) {
	c, err := Load("../../example/config.json", "../../deploy/operator.hcl")
	if err != nil {
		t.Fatal(err)
	}
	if c.DNS.Listen != "127.0.0.1:7053" || c.AgentCheckAddr == "" || c.AdminAddr == "" || c.Limits.LongestDeadline.Seconds() != 5 {
		t.Errorf("configuration %+v", c)
	}
	if text, err := os.ReadFile("../../deploy/balancer.toml"); err != nil || strings.Contains(string(text), "operator") {
		t.Errorf("the further fronts are to be off on the platform (%v)", err)
	}
}

// Open requests were once bounded by the largest object, which refused a third of a calm day's.
func TestDefaults(t *testing.T) {
	c, err := Parse([]byte(base+"}"), nil, "")
	if err != nil {
		t.Fatal(err)
	}
	l := c.Limits
	if l.OpenRequests < 1000 || l.BufferedBytes >= l.MemoryMB<<20/2 {
		t.Errorf("limits %+v", l)
	}
	for _, sockets := range []int{256, 384, 1024} { // all the shares, with a client's eighth more on its way out, leave some
		c, err := Parse([]byte(fmt.Sprintf(`%s,"limits":{"sockets":%d,"memory_mb":32}}`, base, sockets)), nil, "")
		if err != nil {
			t.Fatal(err)
		}
		l := c.Limits
		if all := l.ClientConns*9/8 + 4 + l.UpstreamConns + l.DNSConns + l.AgentCheckConns + l.AdminConns*9/8 + 4; l.ClientConns < sockets/3 || all > sockets-8 {
			t.Errorf("%d descriptors: %d in all, %d for clients", sockets, all, l.ClientConns)
		}
	}
	if c.DNS.Listen != "" || c.AgentCheckAddr != "" || c.AdminAddr != "" {
		t.Errorf("fronts are on that nobody set up: %+v", c)
	}
}

// The platform kills from min(longest deadline, 3 s) + 0.7 s after SIGTERM on; the router keeps 0.2 s of that to
// write its last answers. Taken as max, its time outlasted the kill, on short (2.52 s) deadlines and on long ones.
func TestFinishBeforeTheKill(t *testing.T) {
	for longest, want := range map[string]time.Duration{"2520000": 3020 * time.Millisecond, "6000000": 3500 * time.Millisecond} {
		c, err := Parse([]byte(strings.Replace(base, "3000000", longest, 1)+"}"), nil, "")
		if err != nil || c.Limits.ShutdownTimeout != want {
			t.Errorf("longest deadline %s us: %+v, %v; want %v to finish", longest, c, err, want)
		}
	}
}

// Page caches have few places for connections: the more routers share them, the fewer each holds.
func TestConnectionsByRoutersBeside(t *testing.T) {
	for beside, want := range map[string]int{"1": 4, "4": 4, "7": 2, "14": 1, "500": 1} {
		c, err := Parse([]byte(strings.Replace(base, `Zone":[1]`, `Zone":[`+beside+`]`, 1)+"}"), nil, "")
		if err != nil || c.Limits.ConnsPerEndpoint != want {
			t.Errorf("%s routers: %+v, %v; want %d connections each", beside, c, err, want)
		}
	}
}

func TestFaultyKeys(t *testing.T) {
	for text, want := range map[string]string{
		`{}`: `"listen" is missing`,
		strings.Replace(base, "127.0.0.1:1", "here", 1) + `}`:                    `"listen" is no address`,
		base + `,"limits":{"sockets":3}}`:                                        `"limits.sockets"`,
		base + `,"limits":{"memory_mb":"much"}}`:                                 `"limits.memory_mb"`,
		base + `,"dns":{"listen":"127.0.0.1:3"}}`:                                `"dns.names"`,
		base + `,"dns":{"listen":"127.0.0.1:3","names":["a..b"]}}`:               `"dns.names"`,
		base + `,"dns":{"listen":"127.0.0.1:3","names":["a"],"ttl_s":0}}`:        `"dns.ttl_s"`,
		base + `,"health":{"listen":"127.0.0.1:3"}}`:                             `"health"`,
		strings.Replace(base, `"instancesByZone":[1],`, ``, 1) + `}`:             `"settings.specifics.instancesByZone"`,
		strings.Replace(base, `Zone":[1]`, `Zone":[0]`, 1) + `}`:                 `"settings.specifics.instancesByZone"`,
		strings.Replace(base, `Zone":[1]`, `Zone":[1,1]`, 1) + `}`:               `"settings.specifics.instancesByZone"`,
		strings.Replace(base, `Zone":[1]`, `Zone":[2000000]`, 1) + `}`:           `"settings.specifics.instancesByZone"`,
		strings.Replace(base, `PerS":[0]`, `PerS":[-1]`, 1) + `}`:                `"settings.specifics.pipeKbPerS"`,
		strings.Replace(base, `PerS":[0]`, `PerS":[0],"paceKbPerS":-1`, 1) + `}`: `"settings.specifics.paceKbPerS"`,
		strings.Replace(base, `"dcs":["e"]`, `"dcs":"e"`, 1) + `}`:               `"settings.dcs"`,
		strings.Replace(base, `3000000`, `-1`, 1) + `}`:                          `"settings.profiles[0].deadlineUs"`,
		strings.Replace(base, `"locality":"e"`, `"locality":"x"`, 1) + `}`:       `"settings"`,
	} {
		if _, err := Parse([]byte(text), nil, ""); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: error %v, want %s named", text, err, want)
		}
	}
	if _, err := Parse([]byte(base+"}"), []byte(`{"ops":"here"}`), ""); err == nil || !strings.Contains(err.Error(), `"ops"`) {
		t.Errorf("operator's file: %v", err)
	}
}

// What the platform tells by the environment; the file goes before it.
func TestEnvironment(t *testing.T) {
	for _, c := range []struct {
		text, ops, fd, dir     string
		wantOps, path, failing string
		inherited              int
	}{
		{base + "}", "", "", "/tmp/x", "", "", "", 0},
		{base + "}", "127.0.0.1:9", "5", "/tmp/x", "127.0.0.1:9", "/tmp/x/hillknot-127.0.0.1-1.sock", "", 5},
		{base + `,"ops":"127.0.0.1:8"}`, "127.0.0.1:9", "5", "", "127.0.0.1:8", "", "", 5},
		{base + "}", "here", "", "", "", "", "RELAY_OPS", 0},
		{base + "}", "", "1", "", "", "", "RELAY_SOCKET_FD", 0},
		{base + "}", "", "five", "", "", "", "RELAY_SOCKET_FD", 0},
	} {
		cfg, err := Parse([]byte(c.text), nil, "")
		if err != nil {
			t.Fatal(err)
		}
		env := map[string]string{"RELAY_OPS": c.ops, "RELAY_SOCKET_FD": c.fd, "TMPDIR": c.dir}
		err = cfg.environment(func(k string) string { return env[k] })
		switch {
		case c.failing != "":
			if err == nil || !strings.Contains(err.Error(), c.failing) {
				t.Errorf("%v: error %v", env, err)
			}
		case err != nil || cfg.AdminAddr != c.wantOps || cfg.HandoverPath != c.path || cfg.InheritedSocket != c.inherited:
			t.Errorf("%v: %q, %q, %d, %v", env, cfg.AdminAddr, cfg.HandoverPath, cfg.InheritedSocket, err)
		}
	}
}

// Two processes of a router together hold no more than one may.
func TestShared(t *testing.T) {
	c, err := Parse([]byte(base+"}"), nil, "")
	if err != nil {
		t.Fatal(err)
	}
	l, o, n := c.Limits, c.Limits.Shared(false), c.Limits.Shared(true)
	if o.MemoryMB+n.MemoryMB > l.MemoryMB || o.BufferedBytes+n.BufferedBytes > l.BufferedBytes || o.ClientConns+n.ClientConns > l.ClientConns ||
		o.UpstreamConns+n.UpstreamConns > l.UpstreamConns || o.UpstreamConns == 0 || o.ClientConns == 0 {
		t.Errorf("shared %+v and %+v of %+v", o, n, l)
	}
}

// An error in the operator's file names file, line, column and key; a key that nobody reads is one.
func TestOperatorHCL(t *testing.T) {
	for text, want := range map[string]string{
		"# well\ndns {\n  listen = \"there\"\n  names = [\"a\"]\n}":   `op.hcl:3,3-19: key "dns.listen" is no address`,
		"dns {\n  names = [\"a\"]\n}":                                 `op.hcl:1,1-4: key "dns.listen" is missing`,
		"agent_check {\n  listen = \"127.0.0.1:1\"\n  listens = 1\n}": `op.hcl:3,3-14: key "agent_check.listens" is no key`,
		"chore {\n  a = 1\n}":                                         `op.hcl:1,1-6: key "chore" is no key`,
		"ops = \"127.0.0.1:1\"\ndns {}\ndns {}":                       `op.hcl:3,1-4: key "dns" stands twice`,
		"dns \"x\" {}":                                                `takes no label`,
		"ops = port(1)":                                               `op.hcl:1,7`,
		"ops = ":                                                      `op.hcl:1,7`,
		"limits {\n  sockets = 3\n}":                                  `op.hcl:2,3-14: key "limits.sockets"`,
	} {
		_, err := Parse([]byte(base+"}"), []byte(text), "op.hcl")
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: error %v, want %s", text, err, want)
		}
	}
}

// What an operator has in JSON means the same once it is converted.
func TestConvert(t *testing.T) {
	old := []byte(`{"ops":"127.0.0.1:8","dns":{"listen":"127.0.0.1:3","names":["a.b","c"],"overstay":2.5},"agent_check":{"listen":"127.0.0.1:4"}}`)
	text, err := Convert(old)
	if err != nil {
		t.Fatal(err)
	}
	a, err := Parse([]byte(base+"}"), old, "")
	if err != nil {
		t.Fatal(err)
	}
	b, err := Parse([]byte(base+"}"), text, "op.hcl")
	if err != nil {
		t.Fatalf("%s: %v", text, err)
	}
	if !reflect.DeepEqual(a.DNS, b.DNS) || a.AdminAddr != b.AdminAddr || a.AgentCheckAddr != b.AgentCheckAddr || b.DNS.TTLOverstay != 2.5 {
		t.Errorf("%+v became %+v", a, b)
	}
}
