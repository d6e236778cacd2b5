package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"hillknot/internal/testutil/fakes"
)

// settingsText is the platform's settings of a small deployment: one location, one page cache and the origin.
const settingsText = `{
  "locality": "edge-1", "dcs": ["upper", "edge-1"], "hostTypes": ["small", "large", "parent", "origin"],
  "allowed": {"cancel": true, "connectTimeoutUs": 400000, "keepaliveUs": 30000000, "maxAttempts": 6,
    "retryAfter": true, "maxRetryAfterUs": 500000},
  "invariants": {"coldFrom": 0.21, "coldUs": 18000000, "fallUs": 2000000, "overloadFactor": 4},
  "profiles": [
    {"name": "full-score", "repeat": "safe", "promiseUs": 400000, "aimStretch": 1.6, "deadlineUs": 5000000, "worth": 2},
    {"name": "part-page", "repeat": "safe", "promiseUs": 250000, "aimStretch": 2, "deadlineUs": 3000000, "worth": 1},
    {"name": "new-arrange", "repeat": "unsafe", "promiseUs": 700000, "deadlineUs": 3000000, "worth": 3}
  ],
  "specifics": {"instancesByZone": [0, 3], "midKind": 2, "storeKind": 3, "classWrite": [false, false, true],
    "classFreshUs": [0, 20000000, 0], "purgeTakesUs": 6000000}
}`

// site is the surroundings of the routers: the discovery service and a page cache.
type site struct {
	stage     *stage
	discovery *fakes.Discovery
	origin    string   // address of the origin
	caches    []string // addresses of the page caches
	keys      string   // path of the file with the keys of the fleet

	mu      sync.Mutex
	runs    map[string]int    // by txn: how often page caches ran a request
	ranAt   map[string]string // by txn: the page cache that ran it last
	hanging map[string]bool   // page caches that hang
	work    map[string]time.Duration

	script func(fakes.Request) fakes.Reply // answers instead, if it is set
}

// newSite starts the discovery service and a page cache. work says by class how long the page cache takes to answer; it
// runs an order as soon as the order has come.
func newSite(s *stage, work map[string]time.Duration) (*site, error) {
	t := &site{stage: s, keys: filepath.Join(s.dir, "keys"), runs: map[string]int{}, ranAt: map[string]string{},
		hanging: map[string]bool{}, work: work}
	if err := os.WriteFile(t.keys, []byte(strings.Repeat("5c", 32)+"\n"), 0o600); err != nil {
		return nil, err
	}
	if err := t.addCaches(1); err != nil {
		return nil, err
	}
	origin, err := fakes.NewCache("127.0.0.1:0", t.answerAt("the origin"))
	if err != nil {
		return nil, err
	}
	if t.discovery, err = fakes.NewDiscovery("127.0.0.1:0", 2); err != nil {
		return nil, err
	}
	t.origin = origin.Addr()
	return t, nil
}

// addCaches starts further page caches. It is called before the routers are started.
func (t *site) addCaches(count int) error {
	for range count {
		cache, err := fakes.NewCache("127.0.0.1:0", t.answerAt(fmt.Sprintf("page cache s-%d", len(t.caches)+1)))
		if err != nil {
			return err
		}
		t.caches = append(t.caches, cache.Addr())
	}
	return nil
}

// known returns the events of the start, which list the page caches and the origin.
func (t *site) known() string {
	const entry = `{"instanceId":%q,"hostPort":%q,"zone":%q,"machineType":%q,"cell":0,"lifecycle":"ready","weight":1,"startedAtMs":0}`
	instances := []string{fmt.Sprintf(entry, "s-0", t.origin, "upper", "origin")}
	for i, address := range t.caches {
		instances = append(instances, fmt.Sprintf(entry, fmt.Sprintf("s-%d", i+1), address, "edge-1", "small"))
	}
	return fmt.Sprintf(`{"pos":1,"entries":[{"pos":1,"hosts":{"generation":1,"reset":true,"instances":[%s]}}]}`,
		strings.Join(instances, ","))
}

// hang has the page caches that have run the given requests hang from now on: they begin to run what they get, and answer nothing.
func (t *site) hang(txns ...uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, txn := range txns {
		t.hanging[t.ranAt[fmt.Sprintf("%016x", txn)]] = true
	}
	for name := range t.hanging {
		t.stage.note("%s hangs, of %d", name, len(t.caches))
	}
}

// answerAt returns what a page cache does with a request: it runs it, notes it and answers after the time that its class takes.
func (t *site) answerAt(name string) func(fakes.Request) fakes.Reply {
	return func(request fakes.Request) fakes.Reply {
		if t.script != nil {
			return t.script(request)
		}
		kind := request.Fields["kind"]
		t.mu.Lock()
		t.runs[request.ID]++
		t.ranAt[request.ID] = name
		runs, hangs := t.runs[request.ID], t.hanging[name]
		t.mu.Unlock()
		t.stage.note("%s runs %s %s of object %s, for the %d. time", name, kind, request.ID, request.Fields["obj"], runs)
		if hangs {
			return fakes.Reply{}
		}
		return fakes.Reply{
			Status: "DONE",
			Fields: fmt.Sprintf("res=fetched_root,version=%s,stamp=%d", request.Fields["obj"], time.Now().UnixMilli()),
			Body:   []byte("done " + request.ID),
			Delay:  t.work[kind],
		}
	}
}

// runsOf returns how often the page cache has run a request.
func (t *site) runsOf(txn uint64) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.runs[fmt.Sprintf("%016x", txn)]
}

// member is a router of a cluster.
type member struct {
	name, place          string
	size                 int
	listen, ops, cluster string
	extra                string // further lines of the operator's block fleet
}

// newMembers returns routers with addresses of their own.
func newMembers(places ...string) ([]*member, error) {
	var members []*member
	for i, place := range places {
		addresses, err := freeAddresses(3)
		if err != nil {
			return nil, err
		}
		members = append(members, &member{
			name: fmt.Sprintf("r%d", i+1), place: place, size: len(places),
			listen: addresses[0], ops: addresses[1], cluster: addresses[2],
		})
	}
	return members, nil
}

// writeFiles writes the configuration and the operator's file of a router, and returns the program's arguments.
func (t *site) writeFiles(m *member, label string, all []*member) (args []string, err error) {
	dir := t.stage.dir
	config := t.config(m.name, m.listen, t.discovery.Addr())
	var peers []string
	for _, other := range all {
		if other != m {
			peers = append(peers, fmt.Sprintf("%q", other.cluster))
		}
	}
	operator := fmt.Sprintf("ops = %q\nfleet {\n  listen   = %q\n  peers    = [%s]\n  key_file = %q\n  size     = %d\n  place    = %q\n"+
		"  takeover {\n    strict = true\n  }\n%s}\n", m.ops, m.cluster, strings.Join(peers, ", "), t.keys, m.size, m.place, m.extra)
	configPath, operatorPath := filepath.Join(dir, label+".json"), filepath.Join(dir, label+".hcl")
	if err := os.WriteFile(configPath, []byte(config), 0o600); err != nil {
		return nil, err
	}
	if err := os.WriteFile(operatorPath, []byte(operator), 0o600); err != nil {
		return nil, err
	}
	return []string{"-config", configPath, "-operator", operatorPath, "--log-level", "debug"}, nil
}

// config returns the platform's configuration of a router.
func (t *site) config(name, listen, journalAddress string) string {
	return fmt.Sprintf(`{"name":%q,"listen":%q,"seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
"journal":%q,"flow_bytes_per_s":310000,"link_bytes_per_s":1240000,"known":%s,"settings":%s}`,
		name, listen, journalAddress, t.known(), settingsText)
}

const clusterProgram = "bin/hillknot-cluster"

// startMember starts a process of a router. The label names the process.
func (t *site) startMember(m *member, label string, all []*member, socket *os.File) (*process, error) {
	args, err := t.writeFiles(m, label, all)
	if err != nil {
		return nil, err
	}
	return t.stage.start(label, clusterProgram, args, nil, socket)
}

// startMembers starts a process of each router, and waits until all take clients. The router replaceable, which may be nil, inherits its
// socket.
func (t *site) startMembers(all []*member, replaceable *member, socket *os.File) (routers []*process, err error) {
	for _, m := range all {
		inherited := socket
		if m != replaceable {
			inherited = nil
		}
		p, err := t.startMember(m, m.name, all, inherited)
		if err != nil {
			return nil, err
		}
		routers = append(routers, p)
	}
	return routers, awaitReady(all)
}
