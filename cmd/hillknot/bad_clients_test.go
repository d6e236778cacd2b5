package main

import (
	"io"
	"strings"
	"sync"
	"testing"
	"time"
)

// A message that is malformed, over-long or never ends costs its own connection, and nothing else; a flood of requests takes
// nothing from another client either, and is rejected in part.
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
			_, _ = io.WriteString(client.conn, input) // a reset in the middle is an end too
			begun := time.Now()
			if _, err := client.conn.Read(make([]byte, 1)); err == nil {
				t.Errorf("%s: answered", name)
			} else if took := time.Since(begun); took > 6*time.Second {
				t.Errorf("%s: still open after %v", name, took)
			}
		})
	}
	flood := r.dial()
	for id := 100; id < 2100; id++ {
		if _, err := flood.conn.Write(encodeRequest(id, "page", "", nil)); err != nil {
			break // cut off, as it reads nothing
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

// A request is answered before its connection ends, whatever comes behind it on the same connection. A client that breaks the
// protocol is answered at once, and costs no more work: an order that is in flight has failed.
func TestOpenRequestIsAnsweredBeforeTheClose(t *testing.T) {
	half := encodeRequest(2, "page", "", nil)
	for name, c := range map[string]struct {
		behind []byte
		want   string
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
			client.write(c.behind)
			if c.want == "x" {
				time.Sleep(2600 * time.Millisecond) // over the 2.5 s that a message may take
				attempt.serve("x")
			}
			if got := client.readAll(1); got != c.want {
				t.Errorf("%s: the request before it is answered %q, want %q", name, got, c.want)
			}
		})
	}
}

// readAll reads until the connection ends, and returns the answers to id.
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

// unusableRequests are more unusable requests than a connection may send.
func unusableRequests() (all []byte) {
	for id := 2; id < 100; id++ {
		all = append(all, encodeRequest(id, "no such class", "", nil)...)
	}
	return all
}

// A connection that ends once its open requests are answered takes nothing more.
func TestNothingIsReadAfterGarbage(t *testing.T) {
	r := newTestRouter(t, 2).start()
	client := r.dial()
	client.request(1, "page", nil)
	r.nextAttempt()
	client.write([]byte("\xc1\xc1\xc1"))
	client.write(encodeRequest(2, "page", "", nil))
	r.nextCancel()
	r.expectNoAttempt("behind garbage")
	client.expect(1, "Throttled")
	if _, err := client.conn.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("after the answer: %v, want the end", err)
	}
}
