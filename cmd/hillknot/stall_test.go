package main

import (
	"fmt"
	"strconv"
	"syscall"
	"testing"
	"time"

	"hillknot/loadtest"
)

// maxTimeoutExcess is how much longer the timeout in an attempt may be than the time for which the client still waits.
const maxTimeoutExcess = 150 * time.Millisecond

// timeout returns the timeout that an attempt carries, which is how long the router waits for its answer.
func (m endpointMessage) timeout(t *testing.T) time.Duration {
	t.Helper()
	n, err := strconv.Atoi(m.fields["ms"])
	if err != nil || n < 1 {
		t.Fatalf("%s got an attempt with the timeout %q, want at least 1 ms", m.endpoint.id, m.fields["ms"])
	}
	return time.Duration(n) * time.Millisecond
}

// The timeout in an attempt exceeds the time for which the client waits by at most maxTimeoutExcess. It was once 0.2 s longer.
func TestAttemptTimeoutFollowsTheClients(t *testing.T) {
	r := newTestRouter(t, 2).start()
	client := r.dial()
	for i := range 100 {
		id, limit := i+1, []int{300, 600, 1000, 1500, 2500}[i%5]
		class := []string{"page", "order", "filed"}[i%3]
		client.request(id, class, map[string]string{"limit": strconv.Itoa(limit), "unique": fmt.Sprintf("%032x", id)})
		attempt := r.nextAttempt()
		if wait, maxWait := attempt.timeout(t), time.Duration(limit)*time.Millisecond+maxTimeoutExcess; wait > maxWait {
			t.Errorf("a client waits %d ms, but the page cache got the timeout %v", limit, wait)
		}
		attempt.serve("x")
		client.expect(id, "x")
	}
}

// The time of a request that arrived while the process was paused counts from its arrival, not from when the process resumed.
// The timeout of its attempt is the time for which the client still waits.
func TestAttemptTimeoutExcludesTimeOfAStall(t *testing.T) {
	r := newTestRouter(t, 2)
	process := r.startProcess()
	client := r.dial()
	id := 0
	for _, stall := range []time.Duration{
		300 * time.Millisecond, 500 * time.Millisecond, 700 * time.Millisecond, 1200 * time.Millisecond,
	} {
		for _, class := range []string{"page", "order", "filed"} {
			id++
			r.serveOne(client, id, class) // so that the router is running normally
			process.stop()
			id++
			sent := time.Now()
			client.request(id, class, map[string]string{"limit": "2500", "unique": fmt.Sprintf("%032x", id)})
			time.Sleep(stall)
			remaining := 2500*time.Millisecond - time.Since(sent)
			process.resume()
			attempt := r.nextAttempt()
			if wait := attempt.timeout(t); wait > remaining+maxTimeoutExcess {
				t.Errorf("%s: the client still waits %v after a stop of %v, but the page cache got the timeout %v",
					class, remaining, stall, wait)
			}
			attempt.serve("x")
			client.expect(id, "x")
		}
	}
}

// No retry begins once the client has closed its connection or cancelled, also if the process was paused meanwhile and reads the
// end of the first attempt and the client's action together. For a client that stays, a retry begins.
func TestNoAttemptForAClientThatLeftDuringAStall(t *testing.T) {
	r := newTestRouter(t, 3)
	process := r.startProcess()
	for id, leave := range []func(*testClient, int){
		func(client *testClient, id int) { client.cancel(id) },
		func(client *testClient, _ int) { client.conn.Close() },
		func(client *testClient, id int) { client.cancel(id) },
		func(client *testClient, _ int) { client.conn.Close() },
		nil,
	} {
		client := r.dial()
		client.request(id, "page", nil)
		attempt := r.nextAttempt()
		process.stop()
		attempt.fail()
		if leave != nil {
			leave(client, id)
		}
		time.Sleep(200 * time.Millisecond)
		process.resume()
		if leave != nil {
			r.expectNoAttempt("the client has left")
			continue
		}
		r.nextAttempt().serve("x")
		client.expect(id, "x")
	}
}

// The shutdown timeout of a SIGTERM that arrived while the process was paused counts from its arrival: open requests are
// answered, and the process ends, before the platform may kill it.
func TestShutdownTimeoutIncludesTimeOfAStall(t *testing.T) {
	const (
		stall     = 1200 * time.Millisecond
		maxAnswer = 3500 * time.Millisecond // after SIGTERM
		maxExit   = 3700 * time.Millisecond
	)
	r := newTestRouter(t, 1)
	r.configure([]jsonMap{
		{"name": "page", "repeat": "safe", "deadlineUs": 5000 * millisecond, "promiseUs": 2500 * millisecond, "worth": 1},
		{"name": "order", "repeat": "unsafe", "deadlineUs": 5000 * millisecond, "promiseUs": 2500 * millisecond, "worth": 1},
	}, "settings", "profiles")
	process := r.startProcess()
	client := r.dial()
	r.serveOne(client, 1, "page")                                  // so that the router is running normally
	client.request(2, "order", map[string]string{"limit": "5000"}) // the endpoint never answers
	r.nextAttempt()
	process.stop()
	signalled := time.Now()
	process.signal(syscall.SIGTERM)
	time.Sleep(stall)
	process.resume()
	if got, err := client.read(); err != nil || got.errorCode == "" || time.Since(signalled) > maxAnswer {
		t.Errorf("got the code %q, error %v, %v after SIGTERM", got.errorCode, err, time.Since(signalled))
	}
	if err := process.cmd.Wait(); err != nil || time.Since(signalled) > maxExit {
		t.Errorf("the router ended %v after SIGTERM, error %v", time.Since(signalled), err)
	}
	process.ended = true
}

// An answer that arrived while the process was paused is read before the attempt times out, so the client of a served order does
// not get the answer that the order failed.
func TestAnswerDuringAStallBeatsTheTimeout(t *testing.T) {
	r := newTestRouter(t, 1)
	process := r.startProcess()
	for id := 1; id <= 5; id++ {
		client := r.dial()
		client.request(id, "order", map[string]string{"limit": "500"})
		attempt := r.nextAttempt()
		process.stop()
		attempt.serve("x")
		time.Sleep(600 * time.Millisecond) // the deadline of the order has passed
		process.resume()
		client.expect(id, "x")
	}
}

// A process that was paused finds a purge and requests waiting together. No attempt that it then sends may be answered from a
// copy from before the purge, not even an attempt that it had decided on before.
func TestPurgeDuringAStallIsAppliedBeforeRequests(t *testing.T) {
	p, err := loadtest.PurgeDuringStop(program(t), 8)
	if err != nil {
		t.Fatal(err)
	}
	if p.Requests < p.Rounds || p.Stale > 0 {
		t.Errorf("%+v", p)
	}
}
