package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// process is one process of a router.
type process struct {
	label   string
	logPath string
	command *exec.Cmd
	ended   chan struct{} // closed when the process has ended
}

// start starts a program of the project with arguments and additional environment variables. The socket, if it is not
// nil, is inherited as descriptor 5, as on the platform.
func (s *stage) start(label, program string, args, env []string, socket *os.File) (*process, error) {
	p := &process{label: label, logPath: filepath.Join(s.dir, label+".log"), ended: make(chan struct{})}
	log, err := os.Create(p.logPath)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	p.command = exec.Command(program, args...)
	p.command.Stdout, p.command.Stderr = log, log
	p.command.Env = append(os.Environ(), "TMPDIR="+s.dir)
	p.command.Env = append(p.command.Env, env...)
	if socket != nil {
		null, err := os.Open(os.DevNull)
		if err != nil {
			return nil, err
		}
		defer null.Close()
		p.command.ExtraFiles = []*os.File{null, null, socket}
		p.command.Env = append(p.command.Env, "RELAY_SOCKET_FD=5")
	}
	if err := s.launch(p); err != nil {
		return nil, fmt.Errorf("start %s: %w", program, err)
	}
	s.note("%s started, pid %d", label, p.command.Process.Pid)
	go func() {
		_ = p.command.Wait() // the state says the same
		s.note("%s ended: %v", label, p.command.ProcessState)
		close(p.ended)
	}()
	return p, nil
}

// launch starts a process, unless all processes are being ended.
func (s *stage) launch(p *process) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return errors.New("the case has ended")
	}
	// The system ends the process if the thread that started it ends, as on SIGKILL to this program.
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	result := make(chan error)
	s.starts <- func() { result <- p.command.Start() }
	if err := <-result; err != nil {
		return err
	}
	s.routers = append(s.routers, p)
	return nil
}

// kill ends the process at once, and waits until it has ended.
func (p *process) kill() {
	_ = p.command.Process.Kill() // it may have ended already
	<-p.ended
}

func (p *process) signal(signal syscall.Signal) { _ = p.command.Process.Signal(signal) }

// ready reports whether a router says at its operators' address that it takes clients.
func ready(opsAddress string) bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + opsAddress + "/status")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// heldSocket opens the clients' listening socket of a router, which the platform holds.
func heldSocket(address string) (*os.File, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	defer listener.Close()
	tcp, ok := listener.(*net.TCPListener)
	if !ok {
		return nil, fmt.Errorf("no TCP listener at %s", address)
	}
	return tcp.File()
}
