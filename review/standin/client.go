package main

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"strconv"
	"sync"
	"time"
)

// verdict is how a request ended, as its client sees it.
type verdict string

const (
	served  verdict = "served"
	refused verdict = "refused" // Throttled: trying again is harmless
	failed  verdict = "failed"
	lost    verdict = "lost" // the connection ended without an answer
)

// answer is what a client got for one request.
type answer struct {
	verdict verdict
	body    []byte
	code    string
	fields  map[string]any
	at      time.Time
}

func (a answer) String() string {
	if a.verdict == served {
		return fmt.Sprintf("%s %q", a.verdict, a.body)
	}
	text := string(a.verdict)
	if a.code != "" {
		text += " " + a.code
	}
	for _, name := range []string{"reason", "later"} {
		if value, ok := a.fields[name].([]byte); ok {
			text += fmt.Sprintf(" %s=%s", name, value)
		}
	}
	return text
}

// client is one connection to a router.
type client struct {
	conn net.Conn

	mu      sync.Mutex
	lastID  uint32
	waiting map[uint32]chan answer
	ended   bool
}

// connect opens a connection to a router.
func connect(address string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{conn: conn, waiting: map[uint32]chan answer{}}
	go c.read()
	return c, nil
}

func (c *client) close() { _ = c.conn.Close() }

// send sends a request. The answer comes on the channel, once.
func (c *client) send(class string, fields map[string]string, body []byte) <-chan answer {
	return c.write(func(id uint32) []byte { return appendCall(nil, id, class, fields, body) })
}

// cancel tells the router that the answer to a request is not awaited any more.
func (c *client) cancel(id uint32) { _, _ = c.conn.Write(appendCancel(nil, id)) }

// health sends a health check. The answer is served if the router is ready.
func (c *client) health() <-chan answer {
	return c.write(func(id uint32) []byte { return appendHealth(nil, id) })
}

func (c *client) write(encode func(id uint32) []byte) <-chan answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	result := make(chan answer, 1)
	if c.ended {
		result <- answer{verdict: lost, at: time.Now()}
		return result
	}
	c.lastID++
	c.waiting[c.lastID] = result
	_, _ = c.conn.Write(encode(c.lastID)) // an error also ends read
	return result
}

// read passes answers on until the connection ends.
func (c *client) read() {
	reader := bufio.NewReader(c.conn)
	for {
		value, err := readValue(reader)
		if err != nil {
			c.end()
			return
		}
		message, ok := value.([]any)
		if !ok || len(message) != 4 {
			c.end()
			return
		}
		id, _ := message[1].(uint64)
		c.mu.Lock()
		result := c.waiting[uint32(id)]
		delete(c.waiting, uint32(id))
		c.mu.Unlock()
		if result != nil {
			result <- decodeAnswer(message[2], message[3])
		}
	}
}

func (c *client) end() {
	_ = c.conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	for id, result := range c.waiting {
		result <- answer{verdict: lost, at: time.Now()}
		delete(c.waiting, id)
	}
}

// decodeAnswer converts the error and the result of a response.
func decodeAnswer(failure, result any) answer {
	a := answer{verdict: failed, at: time.Now()}
	switch f := failure.(type) {
	case nil:
		parts, _ := result.([]any)
		if len(parts) != 2 {
			return a
		}
		a.fields, _ = parts[1].(map[string]any)
		switch body := parts[0].(type) {
		case []byte:
			a.verdict, a.body = served, body
		case bool:
			if body {
				a.verdict = served
			}
		}
		return a
	case []byte:
		a.code = string(f)
	case []any:
		if len(f) > 0 {
			code, _ := f[0].([]byte)
			a.code = string(code)
		}
		if len(f) > 1 {
			a.fields, _ = f[1].(map[string]any)
		}
	}
	if a.code == "Throttled" {
		a.verdict = refused
	}
	return a
}

// await returns the answer, or lost if there is none within a time.
func await(result <-chan answer, timeout time.Duration) answer {
	select {
	case a := <-result:
		return a
	case <-time.After(timeout):
		return answer{verdict: lost, at: time.Now()}
	}
}

// stayAway returns for how long a refusal asks the client to stay away, in the field later.
func (a answer) stayAway() time.Duration {
	text, _ := a.fields["later"].([]byte)
	millis, err := strconv.Atoi(string(text))
	if err != nil {
		return 0
	}
	return time.Duration(millis) * time.Millisecond
}

// awaitReady waits until a router answers a health check with true, or has ended.
func awaitReady(address string, timeout time.Duration, ended <-chan struct{}) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		select {
		case <-ended:
			return fmt.Errorf("router at %s has ended", address)
		default:
		}
		c, err := connect(address)
		if err != nil {
			continue
		}
		a := await(c.health(), time.Second)
		c.close()
		if a.verdict == served {
			return nil
		}
	}
	return fmt.Errorf("router at %s is not ready after %v", address, timeout)
}

// newTxn returns a new id of a request, 16 hex digits.
func newTxn() string {
	var b [8]byte
	_, _ = io.ReadFull(rand.Reader, b[:])
	return hex.EncodeToString(b[:])
}
