package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// pageCache plays a page cache that has every object but those whose id is odd: to these it says that it is full.
// It counts the requests that come whole.
func pageCache(t *testing.T, asked *atomic.Int64) net.Listener {
	ln := feed(t)
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer nc.Close()
				for in := bufio.NewReader(nc); ; {
					line, err := in.ReadString('\n')
					if err != nil {
						return
					}
					words := strings.Fields(line)
					if len(words) < 4 || words[0] != "ASK" {
						continue
					}
					n, err := strconv.Atoi(words[3])
					if err != nil {
						return
					}
					if _, err := in.Discard(n + 2); err != nil {
						return
					}
					asked.Add(1)
					if strings.Contains(words[2], "1,seg=") {
						fmt.Fprintf(nc, "%s WAIT - 0\r\n\r\n", words[1])
					} else {
						fmt.Fprintf(nc, "%s DONE res=cached 5\r\nhello\r\n", words[1])
					}
				}
			}()
		}
	}()
	return ln
}

// The figures are what crossed the sockets: every answer that a client read, and every request that a page cache did.
func TestFiguresAgainstSockets(t *testing.T) {
	var asked atomic.Int64
	cache, news, clients := pageCache(t, &asked), feed(t), feed(t)
	inherit(t, clients)
	t.Setenv("TMPDIR", t.TempDir())
	t.Setenv("RELAY_OPS", "127.0.0.1:0")
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, fmt.Appendf(nil, conf, clients.Addr(), news.Addr(), cache.Addr()), 0o600); err != nil {
		t.Fatal(err)
	}
	signals, ended, up := make(chan os.Signal, 1), make(chan error, 1), make(chan net.Addr, 1)
	go func() { ended <- run(path, "", signals, func(ops net.Addr) { up <- ops }) }()
	var ops net.Addr
	select {
	case ops = <-up:
	case err := <-ended:
		t.Fatal(err)
	}
	nc, err := net.Dial("tcp", clients.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(60 * time.Second))
	out, in := msgpack.NewEncoder(nc), msgpack.NewDecoder(nc)
	told := map[string]int{}
	for id := range 60 {
		class, limit := "a", "400"
		switch id % 10 {
		case 7:
			class = "what"
		case 8:
			limit = "4000"
		}
		item := fmt.Sprintf("%016x", id%4*16+id%2)
		if err := out.Encode([]any{0, id, class, []any{map[string]string{"txn": fmt.Sprintf("%016x", id), "limit": limit, "item": item}, []byte{}}}); err != nil {
			t.Fatal(err)
		}
		v, err := in.DecodeSlice()
		if err != nil {
			t.Fatal(err)
		}
		switch e, failed := v[2].([]any); {
		case !failed:
			told["app_success{type=\"a\"}"]++
		case e[0] == "Throttled":
			told["app_overload{type=\"a\"}"]++
		case e[0] == "NoSuchMethod":
			told["app_error{type=\"unknown\"}"]++
		default:
			told["app_error{type=\"a\"}"]++
		}
	}
	if len(told) != 4 {
		t.Errorf("answers of %d kinds: %v", len(told), told)
	}
	told["app_dispatches"], told["app_concurrent"], told["app_targets"] = int(asked.Load()), 0, 1
	res, err := http.Get("http://" + ops.String() + "/status/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	for name, want := range told {
		if line := fmt.Sprintf("\n%s %d\n", name, want); !strings.Contains(string(body), line) {
			t.Errorf("no line %q in\n%s", line, body)
		}
	}
	signals <- syscall.SIGTERM
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
