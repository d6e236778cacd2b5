package config

import (
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"
)

const baseConfig = `{"listen":"127.0.0.1:1","journal":"127.0.0.1:2","settings":{"dcs":["e"],"locality":"e",
	"specifics":{"instancesByZone":[1],"pipeKbPerS":[0]},"profiles":[{"name":"a","deadlineUs":3000000}]}`

func TestExampleFilesLoad(t *testing.T) {
	c, err := Load("../../example/config.json", "../../deploy/operator.hcl")
	if err != nil {
		t.Fatal(err)
	}
	if c.DNS.Listen != "127.0.0.1:7053" || c.AgentCheckAddr == "" || c.AdminAddr == "" || c.Limits.LongestDeadline.Seconds() != 5 {
		t.Errorf("configuration %+v", c)
	}
	if text, err := os.ReadFile("../../deploy/balancer.toml"); err != nil || strings.Contains(string(text), "operator") {
		t.Errorf("the platform must not name an operator's file, so that the optional front ends stay off (%v)", err)
	}
}

// The default limits must allow enough open requests: when they were bounded by the size of the largest object, a third of
// the requests of a calm day was rejected. All kinds of connections together must fit into the descriptors.
func TestDefaults(t *testing.T) {
	c, err := Parse([]byte(baseConfig+"}"), nil, "")
	if err != nil {
		t.Fatal(err)
	}
	l := c.Limits
	if l.OpenRequests < 1000 || l.BufferedBytes >= l.MemoryMB<<20/2 {
		t.Errorf("limits %+v", l)
	}
	// The shares, and an eighth more of client connections that are closing, leave some descriptors free.
	for _, sockets := range []int{256, 384, 1024} {
		c, err := Parse([]byte(fmt.Sprintf(`%s,"limits":{"sockets":%d,"memory_mb":32}}`, baseConfig, sockets)), nil, "")
		if err != nil {
			t.Fatal(err)
		}
		l := c.Limits
		if all := l.ClientConns*9/8 + 4 + l.UpstreamConns + l.DNSConns + l.AgentCheckConns + l.AdminConns*9/8 + 4; l.ClientConns < sockets/3 || all > sockets-8 {
			t.Errorf("%d descriptors: %d in all, %d for clients", sockets, all, l.ClientConns)
		}
	}
	if c.DNS.Listen != "" || c.AgentCheckAddr != "" || c.AdminAddr != "" {
		t.Errorf("front ends are on that were not configured: %+v", c)
	}
}

// The platform may kill the router from min(longest deadline, 3 s) + 0.7 s after SIGTERM. The router keeps the last 0.2 s
// before that for writing its last answers. With max in place of min, ShutdownTimeout ended after the kill, both for short
// deadlines (2.52 s) and for long ones.
func TestShutdownTimeoutEndsBeforeKill(t *testing.T) {
	for longest, want := range map[string]time.Duration{"2520000": 3020 * time.Millisecond, "6000000": 3500 * time.Millisecond} {
		c, err := Parse([]byte(strings.Replace(baseConfig, "3000000", longest, 1)+"}"), nil, "")
		if err != nil || c.Limits.ShutdownTimeout != want {
			t.Errorf("longest deadline %s us: %+v, %v; want a shutdown timeout of %v", longest, c, err, want)
		}
	}
}

// Page caches accept few connections: the more routers share them, the fewer connections each router holds.
func TestConnsPerEndpointFallWithRouters(t *testing.T) {
	for routers, want := range map[string]int{"1": 4, "4": 4, "7": 2, "14": 1, "500": 1} {
		c, err := Parse([]byte(strings.Replace(baseConfig, `Zone":[1]`, `Zone":[`+routers+`]`, 1)+"}"), nil, "")
		if err != nil || c.Limits.ConnsPerEndpoint != want {
			t.Errorf("%s routers: %+v, %v; want %d connections each", routers, c, err, want)
		}
	}
}

func TestFaultyKeyIsNamed(t *testing.T) {
	for text, want := range map[string]string{
		`{}`: `"listen" is missing`,
		strings.Replace(baseConfig, "127.0.0.1:1", "here", 1) + `}`:                    `"listen" is not an address`,
		baseConfig + `,"limits":{"sockets":3}}`:                                        `"limits.sockets"`,
		baseConfig + `,"limits":{"memory_mb":"much"}}`:                                 `"limits.memory_mb"`,
		baseConfig + `,"dns":{"listen":"127.0.0.1:3"}}`:                                `"dns.names"`,
		baseConfig + `,"dns":{"listen":"127.0.0.1:3","names":["a..b"]}}`:               `"dns.names"`,
		baseConfig + `,"dns":{"listen":"127.0.0.1:3","names":["a"],"ttl_s":0}}`:        `"dns.ttl_s"`,
		baseConfig + `,"health":{"listen":"127.0.0.1:3"}}`:                             `"health"`,
		strings.Replace(baseConfig, `"instancesByZone":[1],`, ``, 1) + `}`:             `"settings.specifics.instancesByZone"`,
		strings.Replace(baseConfig, `Zone":[1]`, `Zone":[0]`, 1) + `}`:                 `"settings.specifics.instancesByZone"`,
		strings.Replace(baseConfig, `Zone":[1]`, `Zone":[1,1]`, 1) + `}`:               `"settings.specifics.instancesByZone"`,
		strings.Replace(baseConfig, `Zone":[1]`, `Zone":[2000000]`, 1) + `}`:           `"settings.specifics.instancesByZone"`,
		strings.Replace(baseConfig, `PerS":[0]`, `PerS":[-1]`, 1) + `}`:                `"settings.specifics.pipeKbPerS"`,
		strings.Replace(baseConfig, `PerS":[0]`, `PerS":[0],"paceKbPerS":-1`, 1) + `}`: `"settings.specifics.paceKbPerS"`,
		strings.Replace(baseConfig, `"dcs":["e"]`, `"dcs":"e"`, 1) + `}`:               `"settings.dcs"`,
		strings.Replace(baseConfig, `3000000`, `-1`, 1) + `}`:                          `"settings.profiles[0].deadlineUs"`,
		strings.Replace(baseConfig, `"locality":"e"`, `"locality":"x"`, 1) + `}`:       `"settings"`,
	} {
		if _, err := Parse([]byte(text), nil, ""); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: error %v, want one that names %s", text, err, want)
		}
	}
	if _, err := Parse([]byte(baseConfig+"}"), []byte(`{"ops":"here"}`), ""); err == nil || !strings.Contains(err.Error(), `"ops"`) {
		t.Errorf("operator's file: %v", err)
	}
}

// Environment variables set the admin address, the inherited socket and the handover path; a key of the file takes
// precedence.
func TestEnvironment(t *testing.T) {
	for _, c := range []struct {
		text, ops, fd, dir     string
		wantOps, path, failing string
		inherited              int
	}{
		{baseConfig + "}", "", "", "/tmp/x", "", "", "", 0},
		{baseConfig + "}", "127.0.0.1:9", "5", "/tmp/x", "127.0.0.1:9", "/tmp/x/hillknot-127.0.0.1-1.sock", "", 5},
		{baseConfig + `,"ops":"127.0.0.1:8"}`, "127.0.0.1:9", "5", "", "127.0.0.1:8", "", "", 5},
		{baseConfig + "}", "here", "", "", "", "", "RELAY_OPS", 0},
		{baseConfig + "}", "", "1", "", "", "", "RELAY_SOCKET_FD", 0},
		{baseConfig + "}", "", "five", "", "", "", "RELAY_SOCKET_FD", 0},
	} {
		cfg, err := Parse([]byte(c.text), nil, "")
		if err != nil {
			t.Fatal(err)
		}
		env := map[string]string{"RELAY_OPS": c.ops, "RELAY_SOCKET_FD": c.fd, "TMPDIR": c.dir}
		err = cfg.readEnvironment(func(k string) string { return env[k] })
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

// Two processes of a router together may hold no more than a single process.
func TestSharedLimitsStayWithinOneProcess(t *testing.T) {
	c, err := Parse([]byte(baseConfig+"}"), nil, "")
	if err != nil {
		t.Fatal(err)
	}
	l, o, n := c.Limits, c.Limits.Shared(false), c.Limits.Shared(true)
	if o.MemoryMB+n.MemoryMB > l.MemoryMB || o.BufferedBytes+n.BufferedBytes > l.BufferedBytes || o.ClientConns+n.ClientConns > l.ClientConns ||
		o.UpstreamConns+n.UpstreamConns > l.UpstreamConns || o.UpstreamConns == 0 || o.ClientConns == 0 {
		t.Errorf("shared %+v and %+v of %+v", o, n, l)
	}
}

// An error in the operator's file names file, line, column and key. An unknown key is an error.
func TestOperatorHCLErrorNamesLocation(t *testing.T) {
	for text, want := range map[string]string{
		"# well\ndns {\n  listen = \"there\"\n  names = [\"a\"]\n}":   `op.hcl:3,3-19: key "dns.listen" is not an address`,
		"dns {\n  names = [\"a\"]\n}":                                 `op.hcl:1,1-4: key "dns.listen" is missing`,
		"agent_check {\n  listen = \"127.0.0.1:1\"\n  listens = 1\n}": `op.hcl:3,3-14: key "agent_check.listens" is not a known key`,
		"chore {\n  a = 1\n}":                                         `op.hcl:1,1-6: key "chore" is not a known key`,
		"ops = \"127.0.0.1:1\"\ndns {}\ndns {}":                       `op.hcl:3,1-4: key "dns" is given twice`,
		"dns \"x\" {}":                                                `takes no label`,
		"ops = port(1)":                                               `op.hcl:1,7`,
		"ops = ":                                                      `op.hcl:1,7`,
		"limits {\n  sockets = 3\n}":                                  `op.hcl:2,3-14: key "limits.sockets"`,
	} {
		_, err := Parse([]byte(baseConfig+"}"), []byte(text), "op.hcl")
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: error %v, want %s", text, err, want)
		}
	}
}

// An operator's file in JSON gives the same configuration after its conversion to HCL.
func TestConvert(t *testing.T) {
	old := []byte(`{"ops":"127.0.0.1:8","dns":{"listen":"127.0.0.1:3","names":["a.b","c"],"overstay":2.5},"agent_check":{"listen":"127.0.0.1:4"}}`)
	text, err := Convert(old)
	if err != nil {
		t.Fatal(err)
	}
	a, err := Parse([]byte(baseConfig+"}"), old, "")
	if err != nil {
		t.Fatal(err)
	}
	b, err := Parse([]byte(baseConfig+"}"), text, "op.hcl")
	if err != nil {
		t.Fatalf("%s: %v", text, err)
	}
	if !reflect.DeepEqual(a.DNS, b.DNS) || a.AdminAddr != b.AdminAddr || a.AgentCheckAddr != b.AgentCheckAddr || b.DNS.TTLOverstay != 2.5 {
		t.Errorf("configuration %+v, after the conversion %+v", a, b)
	}
}
