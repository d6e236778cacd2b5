package main

import (
	"fmt"
	"net"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// A reload with other classes, in another order, changes neither open nor new requests, because the classes stay as they were
// when the router started. A faulty configuration changes nothing either.
func TestReloadKeepsClasses(t *testing.T) {
	r := newTestRouter(t, 2).start()
	client := r.dial()
	client.request(1, "order", nil)
	order := r.nextAttempt()
	profiles := r.config["settings"].(jsonMap)["profiles"].([]jsonMap)
	r.configure([]jsonMap{
		{"name": "order", "repeat": "safe", "deadlineUs": 100 * millisecond},
		profiles[2],
		{"name": "page", "repeat": "unsafe"},
	}, "settings", "profiles")
	r.configure([]bool{true, false, false}, "settings", "specifics", "classWrite")
	r.writeConfig()
	r.signals <- syscall.SIGHUP
	r.configure("what", "settings", "profiles")
	r.writeConfig()
	r.signals <- syscall.SIGHUP
	moved := listen(t)
	go r.serveWatches(moved)
	r.configure(profiles, "settings", "profiles")
	r.configure(moved.Addr().String(), "journal")
	r.writeConfig()
	r.signals <- syscall.SIGHUP
	for watch := range r.watches { // until the last configuration has been read
		if watch.LocalAddr().String() == moved.Addr().String() {
			break
		}
	}
	order.fail()
	client.expect(1, "Failed") // not retried, because it may have run
	client.request(2, "order", map[string]string{"limit": "2000"})
	order = r.nextAttempt()
	if order.fields["kind"] != "order" || order.fields["retain"] != "" {
		t.Errorf("the attempt for the order has the fields %v", order.fields)
	}
	order.serve("x")
	client.expect(2, "x")
	client.request(3, "page", nil)
	page := r.nextAttempt()
	page.fail()
	retry := r.nextAttempt() // its class is idempotent
	if page.fields["retain"] == "" || retry.endpoint == page.endpoint {
		t.Errorf("the attempt for the page has the fields %v, the retry went to %s", page.fields, retry.endpoint.id)
	}
	retry.serve("y")
	client.expect(3, "y")
}

// acceptWatchRequest accepts a watch request to a discovery service and returns the id of the event after which it continues.
func acceptWatchRequest(t *testing.T, discovery net.Listener) (lastEventID string) {
	t.Helper()
	if err := discovery.(*net.TCPListener).SetDeadline(time.Now().Add(harnessTimeout)); err != nil {
		t.Fatal(err)
	}
	conn, err := discovery.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return readLastEventID(conn)
}

// SIGHUP does not end the router. The router moves to the discovery service that the new configuration names; a faulty
// configuration changes nothing.
func TestReloadMovesToNewDiscoveryAddress(t *testing.T) {
	first, second := listen(t), listen(t)
	path := filepath.Join(t.TempDir(), "config.json")
	writeFile(t, path, fmt.Sprintf(minimalConfig, anyPort, first.Addr(), unreachableAddress))
	run := runInBackground(t, path)
	if pos := acceptWatchRequest(t, first); pos != "7" {
		t.Errorf("the router watches from event %q, want 7", pos)
	}
	writeFile(t, path, `{"journal":`)
	run.signals <- syscall.SIGHUP
	first.Close()
	writeFile(t, path, fmt.Sprintf(minimalConfig, anyPort, second.Addr(), unreachableAddress))
	run.signals <- syscall.SIGHUP
	if pos := acceptWatchRequest(t, second); pos != "7" {
		t.Errorf("the router watches from event %q after the move, want 7", pos)
	}
	select {
	case err := <-run.exited:
		t.Errorf("the router ended on SIGHUP: %v", err)
	default:
	}
	run.terminate()
}
