package main

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// While discovery is down, idle clients hold all the descriptors that they can get. The router still connects to endpoints,
// answers requests, and connects to discovery when it returns. It neither crashes nor uses the processor in a busy loop.
func TestIdleClientsLeaveDescriptorsForDiscoveryAndEndpoints(t *testing.T) {
	r := newTestRouter(t, 3)
	discoveryAddress := r.discovery.Addr().String()
	r.discovery.Close()
	r.configure(jsonMap{"sockets": 256, "memory_mb": 64}, "limits")
	process := r.startLimitedProcess(256)
	dial := func() (net.Conn, error) { return net.DialTimeout("tcp", process.address, 10*time.Second) }
	for range 600 {
		if idle, err := dial(); err == nil {
			t.Cleanup(func() { idle.Close() })
		}
	}
	serveNewClient := func(id int) endpointMessage {
		t.Helper()
		conn, err := dial()
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		return r.serveOne(newTestClient(t, conn), id, "page")
	}
	for id := 1; id < 40; id++ {
		serveNewClient(id)
	}
	before := cpuTime(t, process.pid)
	time.Sleep(500 * time.Millisecond)
	if used := cpuTime(t, process.pid) - before; used > 250*time.Millisecond {
		t.Errorf("%v of processor time in half a second without requests", used)
	}
	watch := r.restartDiscovery(discoveryAddress)
	watch.sendEndpoints(2, true, r.endpoints[2].listEntry("ready"))
	for i := range 20 {
		attempt := serveNewClient(100 + i)
		if attempt.endpoint != r.endpoints[2] && i > 0 { // the first request may have been decided before the event
			t.Errorf("%s got an attempt after it was removed from the list", attempt.endpoint.id)
		}
	}
}

// limitedProcess is a router that runs in its own process with few descriptors.
type limitedProcess struct {
	pid     int
	address string // address at which it accepts clients
}

// startLimitedProcess starts the router in a process with a limit of descriptors, and ends the process with the test.
func (r *testRouter) startLimitedProcess(descriptors int) limitedProcess {
	r.t.Helper()
	freeListener := listen(r.t)
	address := freeListener.Addr().String()
	freeListener.Close()
	r.configure(address, "listen")
	r.configPath = filepath.Join(r.t.TempDir(), "config.json")
	r.writeConfig()
	cmd := exec.Command("/bin/sh", "-c", fmt.Sprintf("ulimit -n %d; exec %s -config %s", descriptors, program(r.t), r.configPath))
	var output strings.Builder
	cmd.Stderr = &output
	if err := cmd.Start(); err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGTERM) // fails if the process has ended, which Wait reports
		if err := cmd.Wait(); err != nil {
			r.t.Errorf("%v\n%s", err, output.String())
		}
	})
	for begun := time.Now(); ; time.Sleep(5 * time.Millisecond) {
		if conn, err := net.DialTimeout("tcp", address, 10*time.Second); err == nil {
			conn.Close()
			break
		}
		if time.Since(begun) > harnessTimeout {
			r.t.Fatal("the router did not accept connections in time")
		}
	}
	return limitedProcess{pid: cmd.Process.Pid, address: address}
}

// cpuTime returns the processor time that a process has used.
func cpuTime(t *testing.T, pid int) time.Duration {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		t.Fatal(err)
	}
	fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:])) // the fields from the process state on
	user, err := strconv.Atoi(fields[11])
	system, err2 := strconv.Atoi(fields[12])
	if err != nil || err2 != nil {
		t.Fatal(err, err2)
	}
	return time.Duration(user+system) * 10 * time.Millisecond
}
