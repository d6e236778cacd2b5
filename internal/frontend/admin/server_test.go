package admin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hillknot/internal/config"
	"hillknot/internal/core"
	"hillknot/internal/netio"
	"hillknot/internal/testutil/parsertest"
)

// fakeCore is a core whose snapshot the test sets. Functions that are posted run only when the test calls runPosts.
type fakeCore struct {
	snapshot     atomic.Pointer[core.Snapshot]
	posts        chan func()
	shuttingDown atomic.Bool
}

func (fake *fakeCore) Post(f func())            { fake.posts <- f }
func (fake *fakeCore) Snapshot() *core.Snapshot { return fake.snapshot.Load() }
func (fake *fakeCore) EnterStandby()            { fake.snapshot.Store(&core.Snapshot{Phase: core.Standby}) }
func (fake *fakeCore) LeaveStandby() bool {
	fake.snapshot.Store(&core.Snapshot{Phase: core.Serving})
	return !fake.shuttingDown.Load()
}

// runPosts waits for n posted functions and runs them.
func (fake *fakeCore) runPosts(t *testing.T, n int) {
	t.Helper()
	for range n {
		(<-fake.posts)()
	}
}

func start(t *testing.T, maxConns int) (*fakeCore, string) {
	t.Helper()
	fake := &fakeCore{posts: make(chan func(), 10)}
	fake.snapshot.Store(&core.Snapshot{})
	limits := config.Limits{AdminConns: maxConns, AdminHeaderBytes: 1 << 10, AdminBodyBytes: 1 << 10,
		Admin: config.ConnLimits{MaxPendingBytes: 1 << 16, ReadTimeout: time.Minute, MessageTimeout: time.Minute, WriteTimeout: time.Minute, IdleTimeout: time.Minute, SilentTimeout: time.Minute}}
	server, err := Listen("127.0.0.1:0", fake, limits, netio.NewBudget(1<<20))
	if err != nil {
		t.Fatal(err)
	}
	go server.Serve()
	t.Cleanup(server.Close)
	return fake, server.Addr().String()
}

func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	nc, err := net.DialTimeout("tcp", addr, 10*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	nc.SetDeadline(time.Now().Add(20 * time.Second))
	return nc
}

// send sends the text of a request, and returns the status code and the body of the response. The response must announce
// the end of the connection, and its body must be complete.
func send(t *testing.T, addr, text string) (int, string) {
	t.Helper()
	nc := dial(t, addr)
	if _, err := io.WriteString(nc, text); err != nil {
		t.Fatal(err)
	}
	method, _, _ := strings.Cut(text, " ")
	res, err := http.ReadResponse(bufio.NewReader(nc), &http.Request{Method: method})
	if err != nil {
		t.Fatalf("%q: %v", text, err)
	}
	body, err := io.ReadAll(res.Body)
	if err != nil || !res.Close {
		t.Fatalf("%q: body %q, error %v, closes %t", text, body, err, res.Close)
	}
	return res.StatusCode, string(body)
}

func requestText(method, path string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: x\r\n\r\n"
}

func TestStatusCodes(t *testing.T) {
	fake, addr := start(t, 16)
	fake.LeaveStandby()
	for text, want := range map[string]int{
		requestText("GET", "/status"): 200, requestText("HEAD", "/status"): 200, requestText("GET", "/status?verbose=1"): 200, requestText("GET", "/status/metrics"): 200,
		requestText("POST", "/status"): 405, requestText("GET", "/standby"): 405, requestText("DELETE", "/active"): 405, requestText("GET", "/"): 404,
		"GET /status\r\n\r\n": 400, "GET http://x/status HTTP/1.1\r\n\r\n": 400, "GET /status HTTP/1.1\r\nno header\r\n\r\n": 400,
		"POST /standby HTTP/1.1\r\nContent-Length: -1\r\n\r\n": 400, "POST /standby HTTP/1.1\r\nContent-Length: 9999999\r\n\r\n": 400,
		"GET /" + strings.Repeat("a", 2000): 400,
	} {
		if got, body := send(t, addr, text); got != want {
			t.Errorf("%.40q: %d %q, want %d", text, got, body, want)
		}
	}
	for phase, want := range map[core.Phase]int{core.Starting: 503, core.Serving: 200, core.Standby: 503, core.ShuttingDown: 503} {
		fake.snapshot.Store(&core.Snapshot{Phase: phase})
		if got, body := send(t, addr, requestText("GET", "/status")); got != want || body != phase.String()+"\n" {
			t.Errorf("%v: %d %q", phase, got, body)
		}
	}
}

// A request that changes the state is answered after the event loop has changed it. A router that is shutting down can't be
// made active again.
func TestStandbyAndActive(t *testing.T) {
	fake, addr := start(t, 16)
	go fake.runPosts(t, 3)
	if got, _ := send(t, addr, "POST /standby HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi"); got != 200 || fake.Snapshot().Phase != core.Standby {
		t.Errorf("standby: %d, %v", got, fake.Snapshot().Phase)
	}
	if got, _ := send(t, addr, requestText("POST", "/active")); got != 200 || fake.Snapshot().Phase != core.Serving {
		t.Errorf("active: %d, %v", got, fake.Snapshot().Phase)
	}
	fake.shuttingDown.Store(true)
	if got, _ := send(t, addr, requestText("POST", "/active")); got != 409 {
		t.Errorf("active while shutting down: %d", got)
	}
}

// Many open connections that have sent nothing, or an incomplete request, must not keep another connection from being
// answered, not even while the event loop is blocked.
func TestSilentConnectionsDoNotBlockOthers(t *testing.T) {
	fake, addr := start(t, 4)
	fake.LeaveStandby()
	for i := range 40 {
		nc := dial(t, addr)
		if i%2 == 0 {
			io.WriteString(nc, "GET /sta")
		}
	}
	if got, _ := send(t, addr, requestText("GET", "/status")); got != 200 {
		t.Errorf("status: %d", got)
	}
}

func TestMetrics(t *testing.T) {
	fake, addr := start(t, 16)
	fake.snapshot.Store(&core.Snapshot{ByClass: []core.ClassCounts{{Class: "page", Success: 812, Overload: 3, Error: 4}, {Class: `a"b`, Error: 1}},
		AttemptsWritten: 900, OpenRequests: 14, PageCaches: 12, AvoidedPageCaches: 2})
	_, body := send(t, addr, requestText("GET", "/status/metrics"))
	for _, want := range []string{`app_success{type="page"} 812`, `app_overload{type="page"} 3`, `app_error{type="page"} 4`, `app_error{type="a\"b"} 1`,
		"app_dispatches 900", "app_concurrent 14", "app_targets 12", "app_targets_disabled 2", "# TYPE app_success counter"} {
		if !strings.Contains(body, "\n"+want+"\n") {
			t.Errorf("line %q is missing in\n%s", want, body)
		}
	}
}

func TestRequestParser(t *testing.T) {
	drawRequest := func(t *rapid.T) []byte {
		body := rapid.SliceOfN(rapid.Byte(), 0, 50).Draw(t, "body")
		return append(fmt.Appendf(nil, "%s /%s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", rapid.SampledFrom([]string{"GET", "POST"}).Draw(t, "method"),
			rapid.StringMatching("[a-z/]{0,20}").Draw(t, "path"), len(body)), body...)
	}
	parsertest.Run(t, drawRequest, func(buf []byte) (int, int, error) {
		_, progress, err := parseRequest(buf, 1<<10, 100)
		return progress.consumed, progress.needed, err
	})
}

// The metrics report what the process uses, and why requests were refused and connections closed.
func TestMetricsReportResourcesAndReasons(t *testing.T) {
	fake, addr := start(t, 16)
	fake.snapshot.Store(&core.Snapshot{
		Queue:         core.QueueUsage{Length: 3, Peak: 70},
		Stalls:        core.StallStatistics{Count: 2, Longest: 600 * time.Millisecond},
		Refusals:      []core.LabelledCount{{Label: "no time left", Count: 5}},
		AttemptsEnded: []core.LabelledCount{{Label: "reset", Count: 6}},
		RetriesSent:   4,
	})
	_, body := send(t, addr, requestText("GET", "/status/metrics"))
	for _, line := range []string{"app_queue_length 3", "app_queue_peak 70", "app_stalls 2", "app_stall_longest_ms 600",
		"app_retries 4", `app_refusals{reason="no time left"} 5`, `app_attempts_ended{status="reset"} 6`,
		`app_closes{reason="duplicate message id"} 0`, "app_buffered_bytes 0"} {
		if !strings.Contains(body, "\n"+line+"\n") {
			t.Errorf("no line %q in\n%s", line, body)
		}
	}
	for _, name := range []string{"resident_bytes", "peak_bytes", "heap_bytes", "goroutines", "descriptors"} {
		if !strings.Contains(body, "\napp_process_"+name+" ") || strings.Contains(body, "\napp_process_"+name+" 0\n") {
			t.Errorf("app_process_%s is missing or 0 in\n%s", name, body)
		}
	}
}
