package loadtest

import (
	"cmp"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

const (
	startAttempts     = 200 // connections that are tried until a router accepts one
	startInterval     = 10 * time.Millisecond
	adminPort         = 7055
	metricsTimeout    = time.Second
	maxMetricsSize    = 1 << 20 // bytes
	routerLogFileName = "log"
)

// Router is a router's process, which can be ended and started again.
type Router struct {
	ListenAddress string // at which it takes clients

	name         string // in the logs and timelines of a cluster
	ipAddress    string
	program      string
	dir          string // of its files
	configPath   string
	operatorPath string   // empty: it has no operator's file
	logLevel     string   // the least level that it logs; empty: error
	env          []string // of its next process, in addition to the environment of this one

	process *exec.Cmd
}

// routerName is the name of a router by its number in the fleet.
func routerName(number int) string { return fmt.Sprintf("lab-%d", number) }

// randomLoopbackIP draws an IP address for a router of its own, so that no connection of another process can be given the
// router's port while it is down.
func randomLoopbackIP() string {
	n := rand.Uint32()
	return fmt.Sprintf("127.%d.%d.%d", 64+(n>>16)&63, n>>8&255, 1+n%254)
}

// Start starts the process, and waits until it accepts connections.
func (r *Router) Start() error {
	args := []string{"-config", r.configPath, "--log-level", cmp.Or(r.logLevel, "error"), "--log-format", "json"}
	if r.operatorPath != "" {
		args = append(args, "--operator", r.operatorPath)
	}
	r.process = exec.Command(r.program, args...)
	r.process.Env = append(append(os.Environ(), "TMPDIR="+r.dir), r.env...)
	logFile, err := os.OpenFile(r.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logFile.Close()
	r.process.Stderr = logFile
	if err := r.process.Start(); err != nil {
		return err
	}
	return r.waitUntilAccepting()
}

func (r *Router) logPath() string { return filepath.Join(r.dir, routerLogFileName) }

// waitUntilAccepting waits until the router accepts a connection; the error has what it logged.
func (r *Router) waitUntilAccepting() error {
	for range startAttempts {
		if conn, err := net.Dial("tcp", r.ListenAddress); err == nil {
			return conn.Close()
		}
		time.Sleep(startInterval)
	}
	logged, _ := os.ReadFile(r.logPath()) // it may have logged nothing
	return fmt.Errorf("router %s does not accept: %s", r.ListenAddress, logged)
}

// started reports whether a process was started, be it that it has ended.
func (r *Router) started() bool { return r.process != nil && r.process.Process != nil }

// Signal sends the process a signal.
func (r *Router) Signal(s syscall.Signal) { _ = r.process.Process.Signal(s) } // it may have ended

// stopFor stops the process for a time, and lets it continue.
func (r *Router) stopFor(length time.Duration) {
	r.Signal(syscall.SIGSTOP)
	time.Sleep(length)
	r.Signal(syscall.SIGCONT)
}

// wait waits for the end of the process; the error says that its exit status is not 0.
func (r *Router) wait() error { return r.process.Wait() }

// Kill ends the process at once, and waits for its end.
func (r *Router) Kill() {
	r.Signal(syscall.SIGKILL)
	_ = r.wait() // it says that the process was killed
}

// restart kills the process and starts it again.
func (r *Router) restart() error {
	r.Kill()
	return r.Start()
}

// metrics returns the metrics that the router exports; empty where it does not answer.
func (r *Router) metrics() string {
	client := http.Client{Timeout: metricsTimeout}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/status/metrics", r.ipAddress, adminPort))
	if err != nil {
		return ""
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxMetricsSize))
	if err != nil {
		return ""
	}
	return string(text)
}
