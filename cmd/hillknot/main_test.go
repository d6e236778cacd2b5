package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

const conf = `{"listen":"127.0.0.1:0","journal":%q,"known":{"pos":7},"settings":{"dcs":["e"],"locality":"e",
	"profiles":[{"name":"a","deadlineUs":3000000}]}}`

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
	write(fmt.Sprintf(conf, first.Addr()))
	signals, ended := make(chan os.Signal, 4), make(chan error, 1)
	go func() { ended <- run(path, "", signals) }()
	if pos := called(t, first); pos != "7" {
		t.Errorf("called from %q, want 7", pos)
	}
	write(`{"journal":`)
	signals <- syscall.SIGHUP
	first.Close()
	write(fmt.Sprintf(conf, second.Addr()))
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
