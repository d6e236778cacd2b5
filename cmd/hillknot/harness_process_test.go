package main

import (
	"io"
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

// routerProcess is a router that runs in its own process, which can be stopped and resumed.
type routerProcess struct {
	t     *testing.T
	cmd   *exec.Cmd
	ended bool // the test has waited for the end of the process
}

// startProcess starts the router in its own process, and ends the process with the test. environment is added to that of the test.
func (r *testRouter) startProcess(environment ...string) *routerProcess {
	r.t.Helper()
	p := r.launchProcess(environment...)
	r.processes = append(r.processes, p)
	r.waitUntilReady()
	return p
}

// launchProcess is startProcess without the wait until the process serves.
func (r *testRouter) launchProcess(environment ...string) *routerProcess {
	r.t.Helper()
	r.configPath = filepath.Join(r.t.TempDir(), "config.json")
	r.writeConfig()
	socket, err := r.clientSocket.(*net.TCPListener).File()
	if err != nil {
		r.t.Fatal(err)
	}
	defer socket.Close()
	cmd := exec.Command(program(r.t))
	cmd.Env = append(os.Environ(), "RELAY_CONFIG="+r.configPath, "RELAY_SOCKET_FD=3")
	cmd.Env = append(cmd.Env, environment...)
	cmd.ExtraFiles = []*os.File{socket}
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		r.t.Fatal(err)
	}
	p := &routerProcess{t: r.t, cmd: cmd}
	r.t.Cleanup(p.end)
	return p
}

// waitUntilReady waits until the router answers a health request that it is ready.
func (r *testRouter) waitUntilReady() {
	r.t.Helper()
	client := r.dial()
	for id := 1; ; id++ {
		client.requestHealth(id)
		got, err := client.read()
		if err != nil {
			r.t.Fatal(err)
		}
		if got.body == "true" {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// end resumes the process, sends SIGTERM and waits for the exit status, which must be 0. It does nothing if the process has
// ended.
func (p *routerProcess) end() {
	if p.ended {
		return
	}
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGTERM)
	if err := p.cmd.Wait(); err != nil {
		p.t.Errorf("the router ended with an error: %v", err)
	}
	p.ended = true
}

func (p *routerProcess) signal(sig syscall.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(sig); err != nil {
		p.t.Fatal(err)
	}
}

// stop sends SIGSTOP and returns once all threads of the process are stopped.
func (p *routerProcess) stop() {
	p.t.Helper()
	p.signal(syscall.SIGSTOP)
	for end := time.Now().Add(harnessTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if p.stopped() {
			return
		}
	}
	p.t.Fatal("the router does not stop")
}

// stopped reports whether all threads of the process are stopped.
func (p *routerProcess) stopped() bool {
	tasks, err := filepath.Glob("/proc/" + strconv.Itoa(p.cmd.Process.Pid) + "/task/*/stat")
	if err != nil || len(tasks) == 0 {
		p.t.Fatalf("threads of the router: %v, %v", tasks, err)
	}
	for _, path := range tasks {
		text, err := os.ReadFile(path)
		if err != nil {
			continue // the thread has ended
		}
		_, state, _ := strings.Cut(string(text), ") ")
		if !strings.HasPrefix(state, "T") {
			return false
		}
	}
	return true
}

// resume sends SIGCONT to a stopped process.
func (p *routerProcess) resume() {
	p.t.Helper()
	p.signal(syscall.SIGCONT)
}

// startSuccessor starts another process of the router and waits until it serves. It returns when that was. The predecessor stays.
func (r *testRouter) startSuccessor(environment ...string) (servingAt time.Time) {
	r.t.Helper()
	address := freeAddress(r.t)
	successor := r.launchProcess(append(environment, "RELAY_OPS="+address)...)
	for end := time.Now().Add(harnessTimeout); !isReady(address); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			r.t.Fatal("the successor does not serve in time")
		}
	}
	servingAt = time.Now()
	r.processes = append(r.processes, successor)
	return servingAt
}

// isReady reports whether a router takes clients, by its address for operators.
func isReady(address string) bool {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(time.Second)) // an error shows as one of the calls below
	_, _ = io.WriteString(conn, "GET /status HTTP/1.1\r\nHost: r\r\n\r\n")
	status := make([]byte, len("HTTP/1.1 200"))
	_, err = io.ReadFull(conn, status)
	return err == nil && string(status) == "HTTP/1.1 200"
}
