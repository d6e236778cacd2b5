package main

import (
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"
)

// maxAttemptAfterClose is how long after a client's close an attempt for one of its requests may still be sent.
const maxAttemptAfterClose = 100 * time.Millisecond

// unreadClose is a client that sends many requests and closes its connection while the router has read few of them.
type unreadClose struct {
	requests  int
	bodyBytes int
	reset     bool          // the close is a reset
	stop      time.Duration // the router's process is stopped while the client sends and closes, for this long; 0: it is not
}

// A client that closes its connection with much still unread gets nothing done any more: no attempt for it is sent over 0.1 s after its
// close, however much of what it sent is read only then.
func TestNothingIsSentForRequestsThatWereUnreadAtTheClose(t *testing.T) {
	for name, c := range map[string]unreadClose{
		"many small":                       {requests: 2000},
		"many small, reset":                {requests: 2000, reset: true},
		"large":                            {requests: 60, bodyBytes: 40_000},
		"large, reset":                     {requests: 60, bodyBytes: 40_000, reset: true},
		"few, during a stop":               {requests: 20, stop: 400 * time.Millisecond},
		"few, reset, during a stop":        {requests: 20, reset: true, stop: 400 * time.Millisecond},
		"many small, during a stop":        {requests: 2000, stop: 400 * time.Millisecond},
		"many small, reset, during a stop": {requests: 2000, reset: true, stop: 400 * time.Millisecond},
		"large, during a stop":             {requests: 60, bodyBytes: 40_000, stop: 400 * time.Millisecond},
		"large, reset, during a stop":      {requests: 60, bodyBytes: 40_000, reset: true, stop: 400 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			inParallel(t)
			c.run(t)
		})
	}
}

// run sends and closes, and counts the attempts that endpoints get later than maxAttemptAfterClose.
func (c unreadClose) run(t *testing.T) {
	r := newTestRouter(t, 3)
	process := r.startProcess()
	r.serveOne(r.dial(), 1, "page")
	var closedAt atomic.Int64
	early, late := 0, 0
	stop, counted := make(chan bool), make(chan bool)
	go func() {
		defer close(counted)
		r.handleAttempts(stop, func(endpointMessage) { // never answered
			if at := closedAt.Load(); at > 0 && time.Since(time.Unix(0, at)) > maxAttemptAfterClose {
				late++
			} else {
				early++
			}
		})
	}()
	client := r.dial()
	if c.stop > 0 {
		process.stop()
	}
	sent := make(chan bool)
	go func() {
		defer close(sent)
		c.send(client.conn)
	}()
	if c.stop > 0 {
		time.Sleep(c.stop / 2) // what finds room in the sockets is sent
	} else {
		<-sent
	}
	if c.reset {
		_ = client.conn.(*net.TCPConn).SetLinger(0)
	}
	client.conn.Close()
	closedAt.Store(time.Now().UnixNano())
	if c.stop > 0 {
		time.Sleep(c.stop / 2)
		process.resume()
	}
	time.Sleep(time.Second)
	close(stop)
	<-counted
	t.Logf("%d attempts before, %d later than %v after the close", early, late, maxAttemptAfterClose)
	if late > 0 {
		t.Errorf("%d attempts were sent over %v after the client's close", late, maxAttemptAfterClose)
	}
}

// send sends the requests until the connection ends.
func (c unreadClose) send(conn net.Conn) {
	class, body := "page", ""
	if c.bodyBytes > 0 {
		class, body = "order", string(make([]byte, c.bodyBytes))
	}
	for id := 1; id <= c.requests; id++ {
		txn := fmt.Sprintf("%016x", id+1<<32)
		if _, err := conn.Write(encodeRequest(id, class, body, map[string]string{"txn": txn})); err != nil {
			return
		}
	}
}
