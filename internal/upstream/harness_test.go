package upstream

import (
	"bufio"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"hillknot/balancer"
	"hillknot/internal/config"
	"hillknot/internal/core"
	"hillknot/internal/netio"
)

// harness is a client with a fake core, which only records results, and an endpoint that the test plays.
type harness struct {
	t        *testing.T
	client   *Client
	endpoint *core.Endpoint
	listener net.Listener // of the endpoint

	posts   chan func() // functions that the fake core's goroutine runs
	results chan core.AttemptResult
	permit  balancer.Status // returned by Permit; only the fake core's goroutine uses it
	now     atomic.Int64    // reading of the core's clock
	// outdatedPermits is how many permits are outdated when they are to be used; only the fake core's goroutine uses it.
	outdatedPermits int
	written         atomic.Int64 // attempts that were reported as written
}

func (h *harness) Post(f func())                            { h.posts <- f }
func (h *harness) AcquireSendPermission(*core.Attempt) bool { return true }
func (h *harness) AttemptWritten(*core.Attempt)             { h.written.Add(1) }

func (h *harness) BeginWrite(*core.Attempt) {}

// PermitIsCurrent implements Core. Each permit is outdated for the first outdatedPermits calls, as after stops of the process.
func (h *harness) PermitIsCurrent() bool {
	h.outdatedPermits--
	return h.outdatedPermits < 0
}

// Permit implements Core. Each permit sets another maximum age, as purges that came in before do.
func (h *harness) Permit(a *core.Attempt) (balancer.Status, balancer.Detail) {
	a.Decision.MaxAge += time.Second
	return h.permit, balancer.NoDetail
}

func (h *harness) CompleteAttempt(_ *core.Attempt, result core.AttemptResult) { h.results <- result }

func testLimits() config.Limits {
	return config.Limits{
		ConnsPerEndpoint:    2,
		UpstreamConns:       10,
		ResponseLineBytes:   100,
		ObjectBytes:         1 << 10,
		ConnectTimeout:      10 * time.Second,
		UpstreamIdleTimeout: time.Hour,
		UpstreamSilence:     time.Second,
		LongestDeadline:     time.Minute,
		Upstream:            config.ConnLimits{MaxPendingBytes: 1 << 16, ReadTimeout: 10 * time.Second, WriteTimeout: 10 * time.Second},
	}
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	h := &harness{
		t:        t,
		endpoint: &core.Endpoint{ID: "s-1", Addr: listener.Addr().String()},
		listener: listener,
		posts:    make(chan func(), 100),
		results:  make(chan core.AttemptResult, 100),
	}
	h.client = New(h, testLimits(), netio.NewBudget(1<<20), func() time.Duration { return time.Duration(h.now.Load()) })
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		h.runCore(stop)
	}()
	t.Cleanup(func() {
		close(stop)
		<-done
	})
	return h
}

func (h *harness) runCore(stop <-chan struct{}) {
	for {
		select {
		case f := <-h.posts:
			f()
		case <-stop:
			return
		}
	}
}

// do runs f on the fake core's goroutine, and returns after f has returned.
func (h *harness) do(f func()) {
	done := make(chan struct{})
	h.Post(func() { f(); close(done) })
	<-done
}

func (h *harness) attempt(txn string) *core.Attempt {
	request := &core.Request{Txn: txn, Class: "c", ObjectText: "0a", PartText: "0"}
	return &core.Attempt{Endpoint: h.endpoint, Request: request}
}

func (h *harness) send(txn string) *core.Attempt {
	a := h.attempt(txn)
	h.do(func() { h.client.Send(a) })
	return a
}

// accept accepts the client's next connection.
func (h *harness) accept() (net.Conn, *bufio.Reader) {
	h.t.Helper()
	_ = h.listener.(*net.TCPListener).SetDeadline(time.Now().Add(10 * time.Second))
	conn, err := h.listener.Accept()
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	return conn, bufio.NewReader(conn)
}

// expectLine reads the next line that is not empty, which must start with the prefix.
func (h *harness) expectLine(r *bufio.Reader, prefix string) {
	h.t.Helper()
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			h.t.Fatalf("waiting for %q: %v", prefix, err)
		}
		if line = strings.TrimSpace(line); line != "" {
			if !strings.HasPrefix(line, prefix) {
				h.t.Fatalf("got %q, want %q", line, prefix)
			}
			return
		}
	}
}

// expectResult waits until an attempt completes, and returns its result, which must have the status want.
func (h *harness) expectResult(want balancer.Status) core.AttemptResult {
	h.t.Helper()
	select {
	case result := <-h.results:
		if result.Status != want {
			h.t.Errorf("status %d, want %d", result.Status, want)
		}
		return result
	case <-time.After(10 * time.Second):
		h.t.Fatal("no result")
	}
	return core.AttemptResult{}
}
