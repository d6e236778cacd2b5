package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"hillknot/internal/testutil/fakes"
)

// routerRun is a router that runs in the process of the test.
type routerRun struct {
	t       *testing.T
	signals chan os.Signal
	exited  chan error    // gets the result of runRouter
	serving chan net.Addr // gets the address of the admin front end once the router accepts clients
}

// runInBackground starts a router with a configuration file on a goroutine.
func runInBackground(t *testing.T, configPath string) *routerRun {
	t.Helper()
	run := &routerRun{
		t:       t,
		signals: make(chan os.Signal, 4),
		exited:  make(chan error, 1),
		serving: make(chan net.Addr, 1),
	}
	received := newSignals()
	go deliverSignals(run.signals, received)
	go func() {
		run.exited <- runRouter(routerOptions{
			configPath: configPath,
			getenv:     os.Getenv,
			signals:    received,
			onServing:  func(admin net.Addr) { run.serving <- admin },
		})
	}()
	return run
}

// deliverSignals forwards signals as package signal does: a signal for which the channel has no room is dropped.
func deliverSignals(sent <-chan os.Signal, received signals) {
	for sig := range sent {
		channel := received.terminate
		if sig == syscall.SIGHUP {
			channel = received.reload
		}
		select {
		case channel <- sig:
		default:
		}
	}
}

// waitUntilServing waits until the router accepts clients, and returns the address of its admin front end.
func (r *routerRun) waitUntilServing() (admin net.Addr) {
	r.t.Helper()
	select {
	case admin = <-r.serving:
	case err := <-r.exited:
		r.t.Fatalf("the router has ended: %v", err)
	}
	return admin
}

// terminate sends SIGTERM and waits until the router has ended, which it must without an error.
func (r *routerRun) terminate() {
	r.t.Helper()
	r.signals <- syscall.SIGTERM
	if err := <-r.exited; err != nil {
		r.t.Error(err)
	}
}

// minimalConfig is the configuration of a router with a class "a" and one endpoint. It is a format string for the addresses of
// the router, the discovery service and the endpoint.
const minimalConfig = `{"listen":%q,"journal":%q,"known":{"pos":7,"entries":[{"pos":7,"hosts":{"reset":true,"instances":[
	{"instanceId":"s-1","hostPort":%q,"zone":"e","lifecycle":"ready"}]}}]},"settings":{"dcs":["e"],"locality":"e",
	"profiles":[{"name":"a","deadlineUs":3000000}],"specifics":{"instancesByZone":[1]}}}`

// orderConfig is the configuration of a router that takes orders. It is a format string like minimalConfig.
const orderConfig = `{"listen":%q,"journal":%q,"known":{"pos":7,"entries":[{"pos":7,"hosts":{"reset":true,"instances":[
	{"instanceId":"s-1","hostPort":%q,"zone":"e","machineType":"small","lifecycle":"ready","weight":1},
	{"instanceId":"s-2","hostPort":"127.0.0.1:9","zone":"hub","machineType":"origin","lifecycle":"ready","weight":1}]}}]},
	"settings":{"dcs":["hub","e"],"locality":"e","hostTypes":["small","parent","origin"],"allowed":{"cancel":true,"maxAttempts":6,
	"retryAfter":true,"maxRetryAfterUs":100000},"profiles":[{"name":"part-page","repeat":"safe","deadlineUs":3000000},
	{"name":"new-arrange","repeat":"unsafe","deadlineUs":3000000}],
	"specifics":{"instancesByZone":[0,1],"midKind":1,"storeKind":2,"classWrite":[false,true]}}}`

// toSecondDeployment turns orderConfig into the configuration of a second deployment.
var toSecondDeployment = strings.NewReplacer(
	"new-arrange", "play-count",
	"part-page", "show-asset",
	`"maxAttempts":6`, `"maxAttempts":8`,
	`"deadlineUs":3000000`, `"deadlineUs":2520000`,
	`"zone":"e"`, `"zone":"w"`,
	`"dcs":["hub","e"],"locality":"e"`, `"dcs":["n","s","w"],"locality":"w"`,
	`"instancesByZone":[0,1]`, `"instancesByZone":[1,1,1]`,
	`"zone":"hub"`, `"zone":"n"`,
)

// startRouter runs a router until the test ends, with a fake discovery service and one endpoint. configFormat is a format string
// like minimalConfig, and endpoint is an address. startRouter returns the addresses of the front ends for clients and admin.
func startRouter(t *testing.T, configFormat, endpoint string) (clients, admin net.Addr) {
	t.Helper()
	discovery, err := fakes.NewDiscovery(anyPort, 8)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(discovery.Close)
	socket := listen(t)
	inheritSocket(t, socket)
	useShortTempDir(t)
	t.Setenv("RELAY_OPS", anyPort)
	configPath := filepath.Join(t.TempDir(), "config.json")
	writeFile(t, configPath, fmt.Sprintf(configFormat, socket.Addr(), discovery.Addr(), endpoint))
	run := runInBackground(t, configPath)
	admin = run.waitUntilServing()
	t.Cleanup(run.terminate)
	return socket.Addr(), admin
}

// useShortTempDir makes routers open the sockets for their successors in a directory of the test's own. The path of t.TempDir
// contains the name of the test, and can be longer than the path of a socket may be (107 bytes).
func useShortTempDir(t *testing.T) {
	t.Helper()
	t.Setenv("TMPDIR", shortTempDir(t))
}

// shortTempDir returns a directory for the sockets of routers, which is removed at the end of the test; see useShortTempDir.
func shortTempDir(t *testing.T) string {
	t.Helper()
	dir, err := os.MkdirTemp("", "hillknot")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	return dir
}

// writeFile writes a file with permissions for the test's user only.
func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}
