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
	"strconv"
	"syscall"
	"time"
)

const (
	startAttempts     = 200 // maximum number of connections that are tried until a router accepts one
	startInterval     = 10 * time.Millisecond
	adminPort         = 7055
	metricsTimeout    = time.Second
	maxMetricsSize    = 1 << 20 // bytes
	routerLogFileName = "log"
)

// Router is a router whose process can be ended and started again.
type Router struct {
	ListenAddress string // at which it accepts clients

	name         string // in the logs and timelines of a cluster
	ipAddress    string
	program      string
	dir          string // of its files
	configPath   string
	operatorPath string   // empty: it has no operator's file
	logLevel     string   // minimum level that it logs; empty: error
	env          []string // environment of its next process, in addition to that of this process
	log          *os.File // standard error of its next process; nil: its log file

	process *exec.Cmd
}

// routerName returns the name of a router by its number in the fleet.
func routerName(number int) string { return fmt.Sprintf("lab-%d", number) }

// randomLoopbackIP returns a random loopback address. Each router has an IP address of its own, so that no connection of
// another process can be given the router's port while the router is down.
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
	stderr, err := r.stderr()
	if err != nil {
		return err
	}
	defer stderr.Close()
	r.process.Stderr = stderr
	if err := r.process.Start(); err != nil {
		return err
	}
	return r.waitUntilAccepting()
}

// stderr opens the standard error of the next process.
func (r *Router) stderr() (*os.File, error) {
	if r.log != nil {
		return r.log, nil
	}
	return os.OpenFile(r.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
}

func (r *Router) logPath() string { return filepath.Join(r.dir, routerLogFileName) }

// waitUntilAccepting waits until the router accepts a connection. The error contains the log of the router.
func (r *Router) waitUntilAccepting() error {
	for range startAttempts {
		if conn, err := net.Dial("tcp", r.ListenAddress); err == nil {
			return conn.Close()
		}
		time.Sleep(startInterval)
	}
	logged, _ := os.ReadFile(r.logPath()) // it may have logged nothing
	return fmt.Errorf("router %s does not accept connections; it logged: %s", r.ListenAddress, logged)
}

// started reports whether a process was started. It may have ended since.
func (r *Router) started() bool { return r.process != nil && r.process.Process != nil }

// Signal sends the process a signal.
func (r *Router) Signal(s syscall.Signal) { _ = r.process.Process.Signal(s) } // it may have ended

// stopFor stops the process for a length of time, and then lets it continue.
func (r *Router) stopFor(length time.Duration) {
	r.Signal(syscall.SIGSTOP)
	time.Sleep(length)
	r.Signal(syscall.SIGCONT)
}

// wait waits for the end of the process. It returns an error if the exit status is not 0.
func (r *Router) wait() error { return r.process.Wait() }

// Kill ends the process at once, and waits for its end.
func (r *Router) Kill() {
	r.Signal(syscall.SIGKILL)
	_ = r.wait() // the error says that the process was killed
}

// endedByItself reports whether a process that has ended was not killed.
func (r *Router) endedByItself() bool {
	status, ok := r.process.ProcessState.Sys().(syscall.WaitStatus)
	return !ok || !status.Signaled() || status.Signal() != syscall.SIGKILL
}

// restart kills the process and starts it again.
func (r *Router) restart() error {
	r.Kill()
	return r.Start()
}

// addressOf returns the address of a port of the router.
func (r *Router) addressOf(port int) string { return net.JoinHostPort(r.ipAddress, strconv.Itoa(port)) }

// metrics returns the metrics that the router exports, or an empty string if it does not answer.
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
