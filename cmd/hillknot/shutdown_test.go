package main

import (
	"io"
	"strings"
	"syscall"
	"testing"
	"time"
)

// A router gets SIGTERM, SIGHUP and SIGTERM again while a request hangs, an order is in flight and a connection is coming up. It
// answers all requests in time and ends.
func TestShutdownAnswersOpenRequests(t *testing.T) {
	r := newTestRouter(t, 1).start()
	hanging, order, late := r.dial(), r.dial(), r.dial()
	hanging.request(2, "page", map[string]string{"limit": "3000"})
	r.nextAttempt()
	order.request(3, "order", map[string]string{"limit": "3000"})
	r.nextAttempt()
	release := r.endpoints[0].holdConnections()
	defer release()
	late.request(1, "page", nil)
	late.expectReady(9)
	started := time.Now()
	r.signals <- syscall.SIGTERM
	r.signals <- syscall.SIGHUP
	r.signals <- syscall.SIGTERM
	release()
	attempt := r.nextAttempt() // on the connection that came up after the signals
	attempt.serve("late")
	late.expect(1, "late")
	hanging.expect(2, "Throttled")
	order.expect(3, "Failed") // it may have run
	r.waitForExit()
	if took := time.Since(started); took > 3700*time.Millisecond {
		t.Errorf("the router ended after %v; the platform may kill it 3.7 s after the signal", took)
	}
}

// A client sends a request after the router has closed its idle connection. The request is not read, and no attempt is sent.
func TestRequestOnClosingConnectionIsNotForwarded(t *testing.T) {
	r := newTestRouter(t, 1).start()
	client := r.dial()
	r.serveOne(client, 1, "page")
	r.signals <- syscall.SIGTERM
	if _, err := client.conn.Read(make([]byte, 1)); err != io.EOF {
		t.Fatalf("read from the idle connection: error %v, want io.EOF", err)
	}
	client.request(2, "page", nil)
	r.waitForExit()
	r.expectNoAttempt("on a closing connection")
}

// Answers to a client that reads late are not lost when the router ends.
func TestShutdownFlushesAnswersToSlowReader(t *testing.T) {
	r := newTestRouter(t, 1).start()
	client := r.dial()
	body := strings.Repeat("x", 240_000)
	const answers = 32 // more than the sockets hold
	for id := 1; id <= answers; id++ {
		client.request(id, "page", nil)
		r.nextAttempt().serve(body)
	}
	r.signals <- syscall.SIGTERM
	time.Sleep(time.Second) // by its own count the router has no open request any more
	for range answers {
		if got, err := client.read(); err != nil || got.errorCode != "" || got.body != body {
			t.Fatalf("answer with code %q and a body of %d bytes, error %v", got.errorCode, len(got.body), err)
		}
	}
	client.conn.Close()
	r.waitForExit()
}
