package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// endpoint stands in for a page cache, a parent or the origin.
type endpoint struct {
	name    string
	address string
	onAsk   func(*ask) // is called for each request that has come whole, on a goroutine of its own
	onQuit  func(id string)
	ln      net.Listener

	mu    sync.Mutex
	conns map[*endpointConn]bool
}

// endpointConn is a connection of a router to an endpoint.
type endpointConn struct {
	net.Conn
	mu sync.Mutex // held while an answer is written
}

// ask is a request of a router.
type ask struct {
	endpoint *endpoint
	conn     *endpointConn
	id       string
	fields   map[string]string
	body     []byte
	at       time.Time
}

// newEndpoint starts an endpoint on a free port.
func newEndpoint(name string, onAsk func(*ask)) (*endpoint, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &endpoint{name: name, address: ln.Addr().String(), onAsk: onAsk, ln: ln, conns: map[*endpointConn]bool{}}
	go e.accept()
	return e, nil
}

func (e *endpoint) accept() {
	for {
		conn, err := e.ln.Accept()
		if err != nil {
			return
		}
		c := &endpointConn{Conn: conn}
		e.mu.Lock()
		e.conns[c] = true
		e.mu.Unlock()
		go e.serve(c)
	}
}

// resetAll resets all open connections, as a process that dies does.
func (e *endpoint) resetAll() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for c := range e.conns {
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// serve reads the commands of one connection.
func (e *endpoint) serve(c *endpointConn) {
	defer func() {
		_ = c.Close()
		e.mu.Lock()
		delete(e.conns, c)
		e.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		words := strings.Fields(line)
		switch {
		case len(words) == 4 && words[0] == "ASK":
			a, err := e.readAsk(c, reader, words)
			if err != nil {
				return
			}
			go e.onAsk(a)
		case len(words) == 2 && words[0] == "QUIT":
			if e.onQuit != nil {
				e.onQuit(words[1])
			}
		case len(words) == 2 && (words[0] == "NOOP" || words[0] == "INFO"):
			c.writeLine(words[1], "FIT", "-", nil)
		default:
			return
		}
	}
}

func (e *endpoint) readAsk(c *endpointConn, reader *bufio.Reader, words []string) (*ask, error) {
	size, err := strconv.Atoi(words[3])
	if err != nil {
		return nil, err
	}
	body := make([]byte, size+2)
	if _, err := io.ReadFull(reader, body); err != nil {
		return nil, err
	}
	fields := map[string]string{}
	for _, field := range strings.Split(words[2], ",") {
		name, value, _ := strings.Cut(field, "=")
		fields[name] = value
	}
	return &ask{endpoint: e, conn: c, id: words[1], fields: fields, body: body[:size], at: time.Now()}, nil
}

func (c *endpointConn) writeLine(id, word, fields string, body []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s %s %d\r\n", id, word, fields, len(body))
	b.Write(body)
	b.WriteString("\r\n")
	_, _ = c.Write(b.Bytes()) // the router may have closed the connection
}

// answer answers a request.
func (a *ask) answer(word, fields string, body []byte) { a.conn.writeLine(a.id, word, fields, body) }

// done answers a request as served, from a copy that the origin gave out at a time.
func (a *ask) done(note string, stamp time.Time, body []byte) {
	fields := fmt.Sprintf("version=%016x,stamp=%d,res=%s", stamp.UnixMilli(), stamp.UnixMilli(), note)
	a.answer("DONE", fields, body)
}
