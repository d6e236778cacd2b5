package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"hillknot/internal/testutil/fakes"
)

// The figures are what crossed the sockets: every answer that a client read, and every request that a page cache did.
func TestFiguresAgainstSockets(t *testing.T) {
	// It has every object but those whose id is odd: to these it says that it is full.
	var asked atomic.Int64
	cache, err := fakes.NewCache(nowhere, func(a fakes.Request) fakes.Reply {
		if asked.Add(1); strings.HasSuffix(a.Fields["obj"], "1") {
			return fakes.Reply{Status: "WAIT"}
		}
		return fakes.Reply{Status: "DONE", Fields: "res=cached", Body: []byte("hello")}
	})
	if err != nil {
		t.Fatal(err)
	}
	defer cache.Close()
	clients, ops := startRouter(t, conf, cache.Addr())
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
}
