package main

import (
	"io"
	"strings"
	"syscall"
	"testing"
	"time"
)

// A router gets SIGTERM twice, and SIGHUP between, while a request hangs, an order is in flight and a connection is coming up:
// it answers all in time, and ends.
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
	attempt := r.nextAttempt() // of the connection that came up after the first signal
	attempt.serve("late")
	late.expect(1, "late")
	hanging.expect(2, "Throttled")
	order.expect(3, "Failed") // it may have run
	r.waitForExit()
	if took := time.Since(started); took > 3700*time.Millisecond {
		t.Errorf("ended after %v; it may be killed 3.7 s after the signal", took)
	}
}

// A client sends a request as the router has closed its idle connection: nobody reads it, and nothing is forwarded.
func TestRequestOnClosingConnectionIsNotForwarded(t *testing.T) {
	r := newTestRouter(t, 1).start()
	client := r.dial()
	r.serveOne(client, 1, "page")
	r.signals <- syscall.SIGTERM
	if _, err := client.conn.Read(make([]byte, 1)); err != io.EOF {
		t.Fatalf("the end of the connection: %v", err)
	}
	client.request(2, "page", nil)
	r.waitForExit()
	r.expectNoAttempt("into the end")
}

// Answers to a client that reads late are not lost as the router ends.
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
	time.Sleep(time.Second) // nothing is open any more by the router's own count
	for range answers {
		if got, err := client.read(); err != nil || got.errorCode != "" || got.body != body {
			t.Fatalf("answer %q of %d bytes, %v", got.errorCode, len(got.body), err)
		}
	}
	client.conn.Close()
	r.waitForExit()
}
