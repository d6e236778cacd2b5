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

// The metrics match the traffic on the sockets: they count every answer that a client read, and every attempt that an endpoint
// got.
func TestMetricsMatchTheTraffic(t *testing.T) {
	var attempts atomic.Int64
	endpoint, err := fakes.NewCache(anyPort, func(req fakes.Request) fakes.Reply {
		attempts.Add(1)
		if strings.HasSuffix(req.Fields["obj"], "1") { // the endpoint has no capacity for objects with an odd id
			return fakes.Reply{Status: "WAIT"}
		}
		return fakes.Reply{Status: "DONE", Fields: "res=cached", Body: []byte("hello")}
	})
	if err != nil {
		t.Fatal(err)
	}
	defer endpoint.Close()
	clients, admin := startRouter(t, minimalConfig, endpoint.Addr())
	conn, err := net.Dial("tcp", clients.String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(60 * time.Second)); err != nil {
		t.Fatal(err)
	}
	want := countAnswersByMetric(t, conn, 60)
	if len(want) != 4 {
		t.Errorf("answers of %d kinds, want 4: %v", len(want), want)
	}
	want["app_dispatches"], want["app_concurrent"], want["app_targets"] = int(attempts.Load()), 0, 1
	got := fetchMetrics(t, admin)
	for name, value := range want {
		if line := fmt.Sprintf("\n%s %d\n", name, value); !strings.Contains(got, line) {
			t.Errorf("no line %q in\n%s", line, got)
		}
	}
}

// countAnswersByMetric sends requests one after the other, and returns the number of answers for each metric that must count
// them.
func countAnswersByMetric(t *testing.T, conn net.Conn, requests int) map[string]int {
	t.Helper()
	out, in := msgpack.NewEncoder(conn), msgpack.NewDecoder(conn)
	counts := map[string]int{}
	for id := range requests {
		class, limit := "a", "400"
		switch id % 10 {
		case 7:
			class = "what"
		case 8:
			limit = "4000"
		}
		fields := map[string]string{
			"txn":   fmt.Sprintf("%016x", id),
			"limit": limit,
			"item":  fmt.Sprintf("%016x", id%4*16+id%2),
		}
		if err := out.Encode([]any{0, id, class, []any{fields, []byte{}}}); err != nil {
			t.Fatal(err)
		}
		answer, err := in.DecodeSlice()
		if err != nil {
			t.Fatal(err)
		}
		counts[metricOf(answer)]++
	}
	return counts
}

// metricOf returns the name and labels of the metric that counts an answer.
func metricOf(answer []any) string {
	failure, failed := answer[2].([]any)
	switch {
	case !failed:
		return `app_success{type="a"}`
	case failure[0] == "Throttled":
		return `app_overload{type="a"}`
	case failure[0] == "NoSuchMethod":
		return `app_error{type="unknown"}`
	}
	return `app_error{type="a"}`
}

// fetchMetrics returns the text of the metrics page.
func fetchMetrics(t *testing.T, admin net.Addr) string {
	t.Helper()
	res, err := http.Get("http://" + admin.String() + "/status/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		t.Fatalf("metrics: %s", res.Status)
	}
	body, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(body)
}
