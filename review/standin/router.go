package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"runtime"
	"strings"
	"syscall"
	"time"
)

// router is one process of a router, started by the command of the deploy file.
type router struct {
	name       string
	listen     string
	ops        string
	configPath string
	process    *exec.Cmd
	log        *os.File
	ended      chan struct{}
}

// runCommand returns the command run of deploy/balancer.toml, with another program in place of bin/hillknot if one is named.
func runCommand(program string) (string, error) {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	match := regexp.MustCompile(`(?m)^run = "([^"]*)"`).FindSubmatch(text)
	if match == nil {
		return "", fmt.Errorf("deploy/balancer.toml has no key run")
	}
	return strings.Replace(string(match[1]), "bin/hillknot", program, 1), nil
}

// startRouter starts a router with a configuration file, whose text must hold the same name and addresses.
func startRouter(dir, program string, r *router, config string) error {
	command, err := runCommand(program)
	if err != nil {
		return err
	}
	tmp := filepath.Join(dir, r.name+".tmp")
	if err := errors.Join(os.RemoveAll(tmp), os.MkdirAll(tmp, 0o700)); err != nil {
		return err
	}
	r.configPath = filepath.Join(dir, r.name+".json")
	if err := os.WriteFile(r.configPath, []byte(config), 0o600); err != nil {
		return err
	}
	if r.log, err = os.OpenFile(filepath.Join(dir, r.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return err
	}
	process := exec.Command("/bin/sh", "-c", command)
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it also ends if this test is killed
	process.Env = append(os.Environ(), "RELAY_NAME="+r.name, "RELAY_LISTEN="+r.listen, "RELAY_CONFIG="+r.configPath,
		"RELAY_OPS="+r.ops, "TMPDIR="+tmp)
	process.Stdout, process.Stderr = r.log, r.log
	if err := onStarter(process.Start); err != nil {
		_ = r.log.Close()
		return err
	}
	r.process, r.ended = process, make(chan struct{})
	go func(process *exec.Cmd, ended chan struct{}) {
		_ = process.Wait() // the way in which it ended does not matter
		close(ended)
	}(r.process, r.ended)
	return nil
}

// starts carries calls to the one thread that starts processes: the system ends them with the thread that started them.
var starts = make(chan func())

func init() {
	go func() {
		runtime.LockOSThread() // never unlocked, so the thread stays until the test ends
		for start := range starts {
			start()
		}
	}()
}

// onStarter calls start on the thread that starts processes.
func onStarter(start func() error) error {
	result := make(chan error, 1)
	starts <- func() { result <- start() }
	return <-result
}

func (r *router) signal(s syscall.Signal) {
	if r.process != nil {
		_ = r.process.Process.Signal(s) // the process may have ended
	}
}

// kill ends the process at once and waits for its end.
func (r *router) kill() {
	if r.process == nil {
		return
	}
	r.signal(syscall.SIGKILL)
	<-r.ended
	_ = r.log.Close()
	r.process = nil
}

// metrics returns the lines of the operators' address.
func (r *router) metrics() (string, error) {
	httpClient := http.Client{Timeout: time.Second}
	response, err := httpClient.Get("http://" + r.ops + "/status/metrics")
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return string(text), err
}

// metric returns the sum of the values of one metric, and 0 if it can't be read.
func (r *router) metric(name string) float64 {
	text, err := r.metrics()
	if err != nil {
		return 0
	}
	sum := 0.0
	for _, line := range strings.Split(text, "\n") {
		var value float64
		rest, ok := strings.CutPrefix(line, name)
		if !ok || rest == "" || rest[0] != ' ' && rest[0] != '{' {
			continue
		}
		if _, err := fmt.Sscanf(rest[strings.LastIndexByte(rest, ' ')+1:], "%g", &value); err == nil {
			sum += value
		}
	}
	return sum
}

// freeAddress returns an address of 127.0.0.1 with a port that is free now, for TCP and UDP.
func freeAddress() (string, error) { return freeAddressOf("127.0.0.1") }

// freeAddressOf is freeAddress for another address of the loopback range.
func freeAddressOf(ip string) (string, error) {
	for range 20 {
		ln, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return "", err
		}
		address := ln.Addr().String()
		packets, err := net.ListenPacket("udp", address)
		_ = ln.Close()
		if err != nil {
			continue
		}
		_ = packets.Close()
		return address, nil
	}
	return "", fmt.Errorf("no free port")
}
