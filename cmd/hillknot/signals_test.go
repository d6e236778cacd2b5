package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// replaceConfigWithFIFO replaces the configuration file by a FIFO, which simulates a slow disk. A reader gets the text after a
// delay. If delay is 0 it never gets it, as with a disk that hangs.
func (r *testRouter) replaceConfigWithFIFO(delay time.Duration) {
	r.t.Helper()
	text, err := os.ReadFile(r.configPath)
	if err != nil {
		r.t.Fatal(err)
	}
	if err := os.Remove(r.configPath); err != nil {
		r.t.Fatal(err)
	}
	if err := syscall.Mkfifo(r.configPath, 0o600); err != nil {
		r.t.Fatal(err)
	}
	if delay > 0 {
		go feedReaders(r.configPath, text, delay)
	}
}

// feedReaders writes a text to each reader of a FIFO after a delay, until the FIFO is removed.
func feedReaders(path string, text []byte, delay time.Duration) {
	for {
		fifo, err := os.OpenFile(path, os.O_WRONLY, 0) // waits for a reader
		if err != nil {
			return
		}
		time.Sleep(delay)
		fifo.Write(text)
		fifo.Close()
		time.Sleep(5 * time.Millisecond) // so that the reader gets the end of the file
	}
}

// maxExitTime is how long after SIGTERM a router may take to end, with deadlines of 3 s. Later the platform may kill it.
const maxExitTime = 3700 * time.Millisecond

// waitForExit waits until the process has ended by itself, and fails the test if it ends later than maxExitTime after SIGTERM.
func (p *routerProcess) waitForExit(terminated time.Time) {
	p.t.Helper()
	ended := make(chan error, 1)
	go func() { ended <- p.cmd.Wait() }()
	p.ended = true
	select {
	case err := <-ended:
		if err != nil {
			p.t.Errorf("the router ended with an error: %v", err)
		}
		if took := time.Since(terminated); took > maxExitTime {
			p.t.Errorf("the router ended %v after SIGTERM; the platform may kill it after %v", took, maxExitTime)
		}
	case <-time.After(maxExitTime + 4*time.Second):
		p.t.Errorf("the router is still running %v after SIGTERM", time.Since(terminated))
		p.cmd.Process.Kill()
		<-ended
	}
}

// SIGTERM ends a router no matter which signals come before and after it, and how long reading the configuration takes: an open
// order gets its one answer before the platform may kill the process. A series of SIGHUP once displaced SIGTERM, and the router
// used to wait for a reload.
func TestSeriesOfSignalsDoesNotDelayTermination(t *testing.T) {
	hup, term, stop, resume := syscall.SIGHUP, syscall.SIGTERM, syscall.SIGSTOP, syscall.SIGCONT
	manyReloads := []syscall.Signal{hup, hup, hup, hup, hup, hup, hup, term}
	for _, c := range []struct {
		name    string
		delay   time.Duration // time that reading the configuration takes; 0 if it hangs
		signals []syscall.Signal
	}{
		{"many reloads of a slow disk", 150 * time.Millisecond, manyReloads},
		{"many reloads of a disk that hangs", 0, manyReloads},
		{"reloads during the shutdown", 150 * time.Millisecond, []syscall.Signal{term, hup, hup, hup, hup, hup}},
		{"terminated three times", 150 * time.Millisecond, []syscall.Signal{hup, term, term, hup, term}},
		{"stopped before SIGTERM", 150 * time.Millisecond, []syscall.Signal{hup, hup, stop, hup, term, resume}},
		{"stopped between two SIGTERM", 150 * time.Millisecond, []syscall.Signal{hup, term, stop, hup, resume, term}},
	} {
		t.Run(c.name, func(t *testing.T) {
			inParallel(t)
			r := newTestRouter(t, 1)
			p := r.startProcess()
			client := r.dial()
			client.request(1, "order", map[string]string{"limit": "3000"})
			r.nextAttempt() // is not answered
			r.replaceConfigWithFIFO(c.delay)
			var terminated time.Time
			for _, sig := range c.signals {
				if sig == term && terminated.IsZero() {
					terminated = time.Now()
				}
				p.signal(sig)
				time.Sleep(10 * time.Millisecond)
			}
			client.expect(1, "Failed") // it may have run
			p.waitForExit(terminated)
		})
	}
}

// SIGTERM ends a router whose first read of the configuration hangs.
func TestTerminationEndsRouterBeforeConfigurationIsRead(t *testing.T) {
	r := newTestRouter(t, 1)
	r.configPath = filepath.Join(t.TempDir(), "config.json")
	r.writeConfig()
	r.replaceConfigWithFIFO(0)
	run := runInBackground(t, r.configPath)
	time.Sleep(50 * time.Millisecond)
	run.signals <- syscall.SIGTERM
	select {
	case err := <-run.exited:
		if err != nil {
			t.Errorf("the router ended with an error: %v", err)
		}
	case <-time.After(5 * time.Second):
		t.Error("the router is still running")
	}
}

// A successor that gets SIGTERM while it waits for discovery ends within a second, and leaves the clients to its predecessor.
func TestTerminationEndsSuccessorWaitingForDiscovery(t *testing.T) {
	discovery, socket := listen(t), listen(t)
	useShortTempDir(t)
	path := filepath.Join(t.TempDir(), "config.json")
	writeFile(t, path, fmt.Sprintf(minimalConfig, socket.Addr(), discovery.Addr(), unreachableAddress))
	inheritSocket(t, socket)
	predecessor := runInBackground(t, path)
	predecessor.waitUntilServing()
	behind := filepath.Join(t.TempDir(), "behind.json") // lacks an event that the predecessor has and discovery does not send
	writeFile(t, behind, fmt.Sprintf(`{"listen":%q,"journal":%q,"known":{"pos":6,"entries":[]},"settings":{"dcs":["e"],"locality":"e",
		"profiles":[{"name":"a","deadlineUs":3000000}],"specifics":{"instancesByZone":[1]}}}`, socket.Addr(), discovery.Addr()))
	inheritSocket(t, socket)
	successor := runInBackground(t, behind)
	time.Sleep(300 * time.Millisecond) // the successor waits 1.5 s for discovery
	sent := time.Now()
	successor.signals <- syscall.SIGTERM
	select {
	case err := <-successor.exited:
		if err != nil {
			t.Errorf("the successor ended with an error: %v", err)
		}
	case <-successor.serving:
		t.Error("the successor serves")
		<-successor.exited
	}
	if took := time.Since(sent); took > time.Second {
		t.Errorf("the successor ended %v after SIGTERM", took)
	}
	conn, err := net.Dial("tcp", socket.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if health := askHealth(t, conn); !health.ready {
		t.Error("the predecessor no longer serves")
	}
	predecessor.terminate()
}
