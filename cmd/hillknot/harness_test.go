package main

import (
	"encoding/json"
	"fmt"
	"net"
	"path/filepath"
	"strconv"
	"syscall"
	"testing"
	"time"
)

// The addresses of tests.
const (
	unreachableAddress = "127.0.0.1:9" // nothing accepts there
	anyPort            = "127.0.0.1:0"
)

// harnessTimeout is how long a test waits for what must come.
const harnessTimeout = 20 * time.Second

// millisecond is a millisecond in the configuration, whose times are in microseconds.
const millisecond = 1000

type jsonMap = map[string]any

// testRouter is a router on real connections, whose endpoints, discovery service and clients the test plays step by step:
// the test goes on only once it has seen what it waits for, so the order of events is the same on every run.
type testRouter struct {
	*routerRun   // nil until start
	t            *testing.T
	clientSocket net.Listener // where the router accepts clients
	configPath   string
	config       jsonMap
	endpoints    []*fakeEndpoint
	discovery    net.Listener
	watches      chan watchStream // that the router has opened
	messages     chan endpointMessage
}

// newTestRouter returns a router with so many endpoints, which is not started yet.
func newTestRouter(t *testing.T, endpoints int) *testRouter {
	t.Helper()
	r := &testRouter{
		t:            t,
		clientSocket: listen(t),
		discovery:    listen(t),
		watches:      make(chan watchStream, 100),
		messages:     make(chan endpointMessage, 1000),
	}
	var hosts []jsonMap
	for i := range endpoints {
		endpoint := r.newEndpoint(fmt.Sprintf("s-%d", i))
		r.endpoints = append(r.endpoints, endpoint)
		hosts = append(hosts, endpoint.listEntry("ready"))
	}
	r.config = testConfig(r.clientSocket.Addr(), r.discovery.Addr(), append(hosts, unreachableOrigin()))
	go r.serveWatches(r.discovery)
	return r
}

// testConfig returns the configuration of a router with three classes: page (safe to repeat), order (not so) and filed (with
// an idempotency key).
func testConfig(clients, discovery net.Addr, hosts []jsonMap) jsonMap {
	class := func(name, repeat string, more jsonMap) jsonMap {
		c := jsonMap{
			"name":       name,
			"repeat":     repeat,
			"deadlineUs": 3000 * millisecond,
			"promiseUs":  2500 * millisecond,
			"worth":      1,
		}
		for key, value := range more {
			c[key] = value
		}
		return c
	}
	return jsonMap{
		"listen":  clients.String(),
		"journal": discovery.String(),
		"known":   jsonMap{"pos": 1, "entries": []jsonMap{{"pos": 1, "hosts": jsonMap{"reset": true, "instances": hosts}}}},
		"settings": jsonMap{
			"dcs":       []string{"hub", "e"},
			"locality":  "e",
			"hostTypes": []string{"box", "store"},
			"allowed": jsonMap{
				"cancel":           true,
				"maxAttempts":      6,
				"retryAfter":       true,
				"maxRetryAfterUs":  100 * millisecond,
				"connectTimeoutUs": 5000 * millisecond,
			},
			"profiles": []jsonMap{
				class("page", "safe", nil),
				class("order", "unsafe", nil),
				class("filed", "keyed", jsonMap{"group": "all", "windowUs": 900 * millisecond}),
			},
			"specifics": jsonMap{
				"instancesByZone": []int{0, 1},
				"midKind":         -1,
				"storeKind":       1,
				"classWrite":      []bool{false, true, true},
			},
		},
	}
}

// unreachableOrigin is the entry of an origin that nobody reaches.
func unreachableOrigin() jsonMap {
	return jsonMap{
		"instanceId":  "origin",
		"hostPort":    unreachableAddress,
		"zone":        "hub",
		"machineType": "store",
		"lifecycle":   "ready",
	}
}

// configure sets a key of the configuration, by its path.
func (r *testRouter) configure(value any, path ...string) {
	object := r.config
	for _, key := range path[:len(path)-1] {
		object = object[key].(jsonMap)
	}
	object[path[len(path)-1]] = value
}

// writeConfig writes the configuration as it is now.
func (r *testRouter) writeConfig() {
	r.t.Helper()
	text, err := json.Marshal(r.config)
	if err != nil {
		r.t.Fatal(err)
	}
	writeFile(r.t, r.configPath, string(text))
}

// start starts the router, and ends it with the test.
func (r *testRouter) start() *testRouter {
	r.t.Helper()
	inheritSocket(r.t, r.clientSocket)
	useShortTempDir(r.t)
	r.configPath = filepath.Join(r.t.TempDir(), "config.json")
	r.writeConfig()
	r.routerRun = runInBackground(r.t, r.configPath)
	r.waitUntilServing()
	r.t.Cleanup(r.end)
	return r
}

// end ends the router with its test.
func (r *testRouter) end() {
	select {
	case r.signals <- syscall.SIGTERM:
	default: // it has ended
	}
	for _, endpoint := range r.endpoints {
		endpoint.Close()
	}
	if err := <-r.exited; err != nil {
		r.t.Error(err)
	}
	r.exited <- nil
}

// waitForExit waits until the router has ended, which it must without an error.
func (r *testRouter) waitForExit() {
	r.t.Helper()
	select {
	case err := <-r.exited:
		if err != nil {
			r.t.Error(err)
		}
		r.exited <- nil
	case <-time.After(harnessTimeout):
		r.t.Fatal("the router goes on")
	}
}

// listen opens a socket on loopback until the end of the test.
func listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", anyPort)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

// inheritSocket has the next router inherit a listener, of which it gets a descriptor of its own.
func inheritSocket(t *testing.T, ln net.Listener) {
	t.Helper()
	raw, err := ln.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if err := raw.Control(func(descriptor uintptr) {
		fd, err := syscall.Dup(int(descriptor))
		if err != nil {
			t.Error(err)
		}
		t.Setenv("RELAY_SOCKET_FD", strconv.Itoa(fd))
	}); err != nil {
		t.Fatal(err)
	}
}
