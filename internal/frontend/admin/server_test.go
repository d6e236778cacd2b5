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
	"hillknot/internal/testutil/parsertest"
)

// fakeCore is a core whose snapshot the test sets. Its loop runs nothing until the test has it run.
type fakeCore struct {
	snap  atomic.Pointer[core.Snapshot]
	posts chan func()
	ended atomic.Bool
}

func (d *fakeCore) Post(f func())            { d.posts <- f }
func (d *fakeCore) Snapshot() *core.Snapshot { return d.snap.Load() }
func (d *fakeCore) EnterStandby()            { d.snap.Store(&core.Snapshot{Phase: core.Standby}) }
func (d *fakeCore) LeaveStandby() bool {
	d.snap.Store(&core.Snapshot{Phase: core.Serving})
	return !d.ended.Load()
}
func (d *fakeCore) take(t *testing.T, n int) {
	t.Helper()
	for range n {
		(<-d.posts)()
	}
}

func open(t *testing.T, places int) (*fakeCore, string) {
	t.Helper()
	d := &fakeCore{posts: make(chan func(), 10)}
	d.snap.Store(&core.Snapshot{})
	lim := config.Limits{AdminConns: places, AdminHeaderBytes: 1 << 10, AdminBodyBytes: 1 << 10,
		Admin: config.ConnLimits{MaxPendingBytes: 1 << 16, ReadTimeout: time.Minute, MessageTimeout: time.Minute, WriteTimeout: time.Minute, IdleTimeout: time.Minute, SilentTimeout: time.Minute}}
	f, err := Listen("127.0.0.1:0", d, lim)
	if err != nil {
		t.Fatal(err)
	}
	go f.Serve()
	t.Cleanup(f.Close)
	return d, f.Addr().String()
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

// ask sends a call as it stands and returns the answer's status and body; the connection must end behind it.
func ask(t *testing.T, addr, text string) (int, string) {
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

func line(method, path string) string { return method + " " + path + " HTTP/1.1\r\nHost: x\r\n\r\n" }

func TestStatusCodes(t *testing.T) {
	d, addr := open(t, 16)
	d.LeaveStandby()
	for text, want := range map[string]int{
		line("GET", "/status"): 200, line("HEAD", "/status"): 200, line("GET", "/status?verbose=1"): 200, line("GET", "/status/metrics"): 200,
		line("POST", "/status"): 405, line("GET", "/standby"): 405, line("DELETE", "/active"): 405, line("GET", "/"): 404,
		"GET /status\r\n\r\n": 400, "GET http://x/status HTTP/1.1\r\n\r\n": 400, "GET /status HTTP/1.1\r\nno header\r\n\r\n": 400,
		"POST /standby HTTP/1.1\r\nContent-Length: -1\r\n\r\n": 400, "POST /standby HTTP/1.1\r\nContent-Length: 9999999\r\n\r\n": 400,
		"GET /" + strings.Repeat("a", 2000): 400,
	} {
		if got, body := ask(t, addr, text); got != want {
			t.Errorf("%.40q: %d %q, want %d", text, got, body, want)
		}
	}
	for p, want := range map[core.Phase]int{core.Starting: 503, core.Serving: 200, core.Standby: 503, core.ShuttingDown: 503} {
		d.snap.Store(&core.Snapshot{Phase: p})
		if got, body := ask(t, addr, line("GET", "/status")); got != want || body != p.String()+"\n" {
			t.Errorf("%v: %d %q", p, got, body)
		}
	}
}

// A call that changes the state says yes once the loop has carried it out; one that ends does not come back.
func TestStandbyAndActive(t *testing.T) {
	d, addr := open(t, 16)
	go d.take(t, 3)
	if got, _ := ask(t, addr, "POST /standby HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi"); got != 200 || d.Snapshot().Phase != core.Standby {
		t.Errorf("standby: %d, %v", got, d.Snapshot().Phase)
	}
	if got, _ := ask(t, addr, line("POST", "/active")); got != 200 || d.Snapshot().Phase != core.Serving {
		t.Errorf("active: %d, %v", got, d.Snapshot().Phase)
	}
	d.ended.Store(true)
	if got, _ := ask(t, addr, line("POST", "/active")); got != 409 {
		t.Errorf("active as it ends: %d", got)
	}
}

// Callers that say nothing, or half a call, are many and stay: others are answered all the same, also while the
// loop has no time for anybody.
func TestSilentCallers(t *testing.T) {
	d, addr := open(t, 4)
	d.LeaveStandby()
	for i := range 40 {
		nc := dial(t, addr)
		if i%2 == 0 {
			io.WriteString(nc, "GET /sta")
		}
	}
	if got, _ := ask(t, addr, line("GET", "/status")); got != 200 {
		t.Errorf("status: %d", got)
	}
}

func TestMetrics(t *testing.T) {
	d, addr := open(t, 16)
	d.snap.Store(&core.Snapshot{ByClass: []core.ClassCounts{{Class: "page", Success: 812, Overload: 3, Error: 4}, {Class: `a"b`, Error: 1}},
		AttemptsWritten: 900, OpenRequests: 14, PageCaches: 12, AvoidedPageCaches: 2})
	_, body := ask(t, addr, line("GET", "/status/metrics"))
	for _, want := range []string{`app_success{type="page"} 812`, `app_overload{type="page"} 3`, `app_error{type="page"} 4`, `app_error{type="a\"b"} 1`,
		"app_dispatches 900", "app_concurrent 14", "app_targets 12", "app_targets_disabled 2", "# TYPE app_success counter"} {
		if !strings.Contains(body, "\n"+want+"\n") {
			t.Errorf("no line %q in\n%s", want, body)
		}
	}
}

func TestRequestParser(t *testing.T) {
	gen := func(t *rapid.T) []byte {
		body := rapid.SliceOfN(rapid.Byte(), 0, 50).Draw(t, "body")
		return append(fmt.Appendf(nil, "%s /%s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", rapid.SampledFrom([]string{"GET", "POST"}).Draw(t, "method"),
			rapid.StringMatching("[a-z/]{0,20}").Draw(t, "path"), len(body)), body...)
	}
	parsertest.Run(t, gen, func(buf []byte) (int, int, error) {
		_, progress, err := parseRequest(buf, 1<<10, 100)
		return progress.consumed, progress.needed, err
	})
}
