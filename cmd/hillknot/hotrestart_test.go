package main

import (
	"bytes"
	"fmt"
	"net"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// A new process takes over the socket of an old one: the old process ends after SIGTERM, its connections are closed, and no
// client is rejected.
func TestHotRestartTakesOverTheSocket(t *testing.T) {
	discovery, socket := listen(t), listen(t)
	useShortTempDir(t)
	path := filepath.Join(t.TempDir(), "config.json")
	writeFile(t, path, fmt.Sprintf(minimalConfig, socket.Addr(), discovery.Addr(), unreachableAddress))
	start := func() *routerRun {
		t.Helper()
		inheritSocket(t, socket)
		run := runInBackground(t, path)
		run.waitUntilServing()
		return run
	}
	dial := func() net.Conn {
		t.Helper()
		conn, err := net.Dial("tcp", socket.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		return conn
	}
	predecessor := start()
	kept := dial()
	if health := askHealth(t, kept); !health.ready {
		t.Fatal("the old process is not ready")
	}
	successor := start()
	predecessor.signals <- syscall.SIGTERM
	if err := <-predecessor.exited; err != nil {
		t.Errorf("the old process ended with an error: %v", err)
	}
	if health := askHealth(t, kept); !health.connectionEnded {
		t.Error("a connection to the old process is still open")
	}
	if health := askHealth(t, dial()); !health.ready || health.connectionEnded {
		t.Error("the new process is not ready")
	}
	successor.signals <- syscall.SIGTERM
	if err := <-successor.exited; err != nil {
		t.Errorf("the new process ended with an error: %v", err)
	}
}

// healthAnswer is the result of a health request on a connection.
type healthAnswer struct{ ready, connectionEnded bool }

// askHealth asks over a connection whether the router is ready. It fails the test if no answer arrives in time.
func askHealth(t *testing.T, conn net.Conn) healthAnswer {
	t.Helper()
	if err := conn.SetDeadline(time.Now().Add(harnessTimeout)); err != nil {
		t.Fatal(err)
	}
	buf := make([]byte, 16)
	if _, err := conn.Write([]byte("\x94\x00\x01\xa6health\x91\x80")); err != nil {
		return healthAnswer{connectionEnded: true}
	}
	n, err := conn.Read(buf)
	if e, ok := err.(net.Error); ok && e.Timeout() {
		t.Fatal("no answer to a health request in time")
	}
	return healthAnswer{ready: bytes.Contains(buf[:n], []byte{0x92, 0xc3}), connectionEnded: n == 0}
}
