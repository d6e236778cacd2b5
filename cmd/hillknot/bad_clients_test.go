package main

import (
	"io"
	"strings"
	"sync"
	"testing"
	"time"
)

// A message that is malformed, too long or never ends closes only its own connection. A flood of requests is rejected in part,
// and does not affect another client either.
func TestBadClientsAreIsolated(t *testing.T) {
	r := newTestRouter(t, 1).start()
	good := r.dial()
	good.request(1, "page", nil)
	attempt := r.nextAttempt()
	var bad sync.WaitGroup
	defer bad.Wait()
	for name, input := range map[string]string{
		"malformed":    "\xc1\xff",
		"over-long":    "\x94\x00\x01\xa4page\x92\x80\xc6\x03\x93\x87\x00" + strings.Repeat("x", 100),
		"never ends":   "\x94\x00\x01\xa4page\x92\x81\xdb\x7f\xff\xff\xff" + strings.Repeat("x", 100_000),
		"half":         "\x94\x00\x01\xa4pa",
		"says nothing": "",
	} {
		client := r.dial()
		bad.Go(func() {
			_, _ = io.WriteString(client.conn, input) // fails if the router resets the connection, which closes it too
			begun := time.Now()
			if _, err := client.conn.Read(make([]byte, 1)); err == nil {
				t.Errorf("%s: got an answer, want a closed connection", name)
			} else if took := time.Since(begun); took > 6*time.Second {
				t.Errorf("%s: the connection was still open after %v", name, took)
			}
		})
	}
	flood := r.dial()
	for id := 100; id < 2100; id++ {
		if _, err := flood.conn.Write(encodeRequest(id, "page", "", nil)); err != nil {
			break // the router has closed the connection, because the client reads nothing
		}
	}
	other := r.dial()
	other.request(2, "page", nil)
	other.expectReady(3)
	attempt.serve("good")
	good.expect(1, "good")
	for reached := false; !reached; {
		attempt := r.nextAttempt()
		reached = attempt.requestID == "0000000000000002"
		attempt.serve("x")
	}
	other.expect(2, "x")
}

// A request is answered before its connection is closed, no matter what follows it on the same connection. If a client violates
// the protocol, its open requests are answered at once and cause no more work: an order that is in flight fails.
func TestOpenRequestIsAnsweredBeforeTheClose(t *testing.T) {
	half := encodeRequest(2, "page", "", nil)
	for name, c := range map[string]struct {
		following []byte
		want      string
	}{
		"half a message":  {half[:len(half)/2], "x"},
		"garbage":         {[]byte("\xc1\xc1\xc1"), "Failed"},
		"a huge message":  {[]byte("\x94\x00\x02\xa4page\x92\x80\xc6\xff\xff\xff\xff"), "Failed"},
		"its own id":      {encodeRequest(1, "page", "", map[string]string{"txn": "00000000000000ff"}), "Failed"},
		"too many faults": {unusableRequests(), "Failed"},
		"a flood":         {append([]byte{0xc1}, make([]byte, 1<<20)...), "Failed"},
	} {
		t.Run(strings.ReplaceAll(name, " ", "-"), func(t *testing.T) {
			r := newTestRouter(t, 2).start()
			client := r.dial()
			client.request(1, "order", map[string]string{"limit": "3000"})
			attempt := r.nextAttempt()
			client.write(c.following)
			if c.want == "x" {
				time.Sleep(2600 * time.Millisecond) // longer than the 2.5 s that a message may take
				attempt.serve("x")
			}
			if got := client.readAll(1); got != c.want {
				t.Errorf("%s: the request before it was answered with %q, want %q", name, got, c.want)
			}
		})
	}
}

// readAll reads until the connection is closed, and returns the concatenated contents of the answers to id.
func (c *testClient) readAll(id int) (answers string) {
	for {
		got, err := c.read()
		if err != nil {
			return answers
		}
		if got.id == id {
			answers += got.content()
		}
	}
}

// unusableRequests returns more unusable requests than a connection may send.
func unusableRequests() (all []byte) {
	for id := 2; id < 100; id++ {
		all = append(all, encodeRequest(id, "no such class", "", nil)...)
	}
	return all
}

// After a malformed message the router reads no more requests from the connection, which is closed once its open requests are
// answered.
func TestNothingIsReadAfterGarbage(t *testing.T) {
	r := newTestRouter(t, 2).start()
	client := r.dial()
	client.request(1, "page", nil)
	r.nextAttempt()
	client.write([]byte("\xc1\xc1\xc1"))
	client.write(encodeRequest(2, "page", "", nil))
	r.nextCancel()
	r.expectNoAttempt("after garbage")
	client.expect(1, "Throttled")
	if _, err := client.conn.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("read after the answer: error %v, want io.EOF", err)
	}
}
