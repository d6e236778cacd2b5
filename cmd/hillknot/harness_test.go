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

// The addresses that tests use.
const (
	unreachableAddress = "127.0.0.1:9" // nothing accepts connections at it
	anyPort            = "127.0.0.1:0"
)

// harnessTimeout is how long a test waits for an expected event before it fails.
const harnessTimeout = 20 * time.Second

// millisecond is a millisecond in the unit of the configuration, which is a microsecond.
const millisecond = 1000

type jsonMap = map[string]any

// testRouter is a router on real connections. The test plays its endpoints, discovery service and clients step by step, and
// continues only once it has seen the event that it waits for, so the order of events is the same in every run.
type testRouter struct {
	*routerRun   // nil until start is called
	t            *testing.T
	clientSocket net.Listener // socket on which the router accepts clients
	configPath   string
	config       jsonMap
	endpoints    []*fakeEndpoint
	discovery    net.Listener
	watches      chan watchStream // watches that the router has opened
	messages     chan endpointMessage
	processes    []*routerProcess // those that serve or have served, the latest last
}

// newTestRouter returns a router with a number of endpoints. The router is not started yet.
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

// testConfig returns the configuration of a router with three classes: page (safe to repeat), order (unsafe to repeat) and
// filed (with an idempotency key).
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

// unreachableOrigin returns the list entry of an origin that can't be reached.
func unreachableOrigin() jsonMap {
	return jsonMap{
		"instanceId":  "origin",
		"hostPort":    unreachableAddress,
		"zone":        "hub",
		"machineType": "store",
		"lifecycle":   "ready",
	}
}

// configure sets the value of the key of the configuration at path.
func (r *testRouter) configure(value any, path ...string) {
	object := r.config
	for _, key := range path[:len(path)-1] {
		object = object[key].(jsonMap)
	}
	object[path[len(path)-1]] = value
}

// writeConfig writes the current configuration to configPath.
func (r *testRouter) writeConfig() {
	r.t.Helper()
	text, err := json.Marshal(r.config)
	if err != nil {
		r.t.Fatal(err)
	}
	writeFile(r.t, r.configPath, string(text))
}

// start starts the router in the process of the test, and ends it with the test.
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

// end terminates the router, closes its endpoints and checks that it has ended without an error.
func (r *testRouter) end() {
	select {
	case r.signals <- syscall.SIGTERM:
	default: // the router has ended
	}
	for _, endpoint := range r.endpoints {
		endpoint.Close()
	}
	if err := <-r.exited; err != nil {
		r.t.Error(err)
	}
	r.exited <- nil
}

// waitForExit waits until the router has ended, which it must do in time and without an error.
func (r *testRouter) waitForExit() {
	r.t.Helper()
	select {
	case err := <-r.exited:
		if err != nil {
			r.t.Error(err)
		}
		r.exited <- nil
	case <-time.After(harnessTimeout):
		r.t.Fatal("the router is still running")
	}
}

// listen opens a listener on loopback, which is closed at the end of the test.
func listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", anyPort)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

// freeAddress returns an address on loopback at which nothing listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener := listen(t)
	defer listener.Close()
	return listener.Addr().String()
}

// inheritSocket makes the next router inherit a duplicate of the descriptor of a listener.
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
