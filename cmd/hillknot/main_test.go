package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

const conf = `{"listen":%q,"journal":%q,"known":{"pos":7,"entries":[{"pos":7,"hosts":{"reset":true,"instances":[
	{"instanceId":"s-1","hostPort":%q,"zone":"e","lifecycle":"ready"}]}}]},"settings":{"dcs":["e"],"locality":"e",
	"profiles":[{"name":"a","deadlineUs":3000000}],"specifics":{"instancesByZone":[1]}}}`

const nobody = "127.0.0.1:9"

const nowhere = "127.0.0.1:0"

// feed is a journal service of which the test sees the calls.
func feed(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

// called takes a call and returns the event that it goes on from.
func called(t *testing.T, ln net.Listener) (pos string) {
	t.Helper()
	_ = ln.(*net.TCPListener).SetDeadline(time.Now().Add(20 * time.Second))
	nc, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	for in := bufio.NewScanner(nc); in.Scan() && in.Text() != ""; {
		if v, ok := strings.CutPrefix(in.Text(), "Last-Event-ID: "); ok {
			pos = v
		}
	}
	return pos
}

// SIGHUP must not end the router. It moves on to the journal that the configuration names then; a faulty
// configuration is passed over.
func TestReload(t *testing.T) {
	first, second := feed(t), feed(t)
	path := filepath.Join(t.TempDir(), "config.json")
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(fmt.Sprintf(conf, nowhere, first.Addr(), nobody))
	signals, ended := make(chan os.Signal, 4), make(chan error, 1)
	go func() {
		ended <- runRouter(routerOptions{configPath: path, getenv: os.Getenv, signals: signals, onServing: func(net.Addr) {}})
	}()
	if pos := called(t, first); pos != "7" {
		t.Errorf("called from %q, want 7", pos)
	}
	write(`{"journal":`)
	signals <- syscall.SIGHUP
	first.Close()
	write(fmt.Sprintf(conf, nowhere, second.Addr(), nobody))
	signals <- syscall.SIGHUP
	if pos := called(t, second); pos != "7" {
		t.Errorf("called from %q after the move, want 7", pos)
	}
	select {
	case err := <-ended:
		t.Errorf("ended on SIGHUP: %v", err)
	default:
	}
	signals <- syscall.SIGTERM
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// ready asks over a connection whether the router is ready. Another error than the end of the connection is the
// test's.
func ready(t *testing.T, nc net.Conn) (yes, ended bool) {
	t.Helper()
	nc.SetDeadline(time.Now().Add(20 * time.Second))
	buf := make([]byte, 16)
	if _, err := nc.Write([]byte("\x94\x00\x01\xa6health\x91\x80")); err != nil {
		return false, true
	}
	n, err := nc.Read(buf)
	if e, ok := err.(net.Error); ok && e.Timeout() {
		t.Fatal("no answer")
	}
	return bytes.Contains(buf[:n], []byte{0x92, 0xc3}), n == 0
}

// inherit has the next router inherit a listener, of which it gets a descriptor of its own.
func inherit(t *testing.T, ln net.Listener) {
	t.Helper()
	raw, err := ln.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if err := raw.Control(func(p uintptr) {
		fd, err := syscall.Dup(int(p))
		if err != nil {
			t.Error(err)
		}
		t.Setenv("RELAY_SOCKET_FD", strconv.Itoa(fd))
	}); err != nil {
		t.Fatal(err)
	}
}

// A new process takes the place of an old one on the same socket: the old one ends by itself, its connections are
// closed, and nobody is turned away.
func TestReplace(t *testing.T) {
	news := feed(t)
	ln := feed(t)
	t.Setenv("TMPDIR", t.TempDir())
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, fmt.Appendf(nil, conf, ln.Addr(), news.Addr(), nobody), 0o600); err != nil {
		t.Fatal(err)
	}
	start := func() (chan<- os.Signal, <-chan error) {
		inherit(t, ln)
		signals, ended, up := make(chan os.Signal, 4), make(chan error, 1), make(chan struct{})
		go func() {
			ended <- runRouter(routerOptions{configPath: path, getenv: os.Getenv, signals: signals, onServing: func(net.Addr) { close(up) }})
		}()
		select {
		case <-up:
		case err := <-ended:
			t.Fatalf("ended: %v", err)
		}
		return signals, ended
	}
	dial := func() net.Conn {
		nc, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { nc.Close() })
		return nc
	}
	oldSignals, oldEnded := start()
	kept := dial()
	if yes, _ := ready(t, kept); !yes {
		t.Fatal("the old process is not ready")
	}
	newSignals, newEnded := start()
	oldSignals <- syscall.SIGTERM
	if err := <-oldEnded; err != nil {
		t.Errorf("the old process: %v", err)
	}
	if _, ended := ready(t, kept); !ended {
		t.Error("a connection to the old process is still open")
	}
	if yes, ended := ready(t, dial()); !yes || ended {
		t.Error("the new process is not ready")
	}
	newSignals <- syscall.SIGTERM
	if err := <-newEnded; err != nil {
		t.Errorf("the new process: %v", err)
	}
}
