package fakes

import (
	"bytes"
	"net"
	"strconv"
	"sync"

	"hillknot/internal/rpc"
)

const (
	routerReadBufferSize = 64 << 10 // bytes
	routerMaxMessageSize = 1 << 20  // bytes
)

// Router is a fake edge router whose handler decides what to do with each message.
type Router struct {
	*Server
	handle func(*ClientConn, rpc.Message)
}

// ClientConn is a client's connection to a fake router. Its methods may be called by several goroutines at once. They don't
// report errors: what they send on a closed connection is lost.
type ClientConn struct {
	net.Conn
	mu sync.Mutex // serializes responses
}

// NewRouter starts a fake router that listens at address. The router calls handle for the messages of a connection one after
// the other; handle may keep a message, because messages don't share memory. NewRouter returns an error if it cannot listen
// at address.
func NewRouter(address string, handle func(*ClientConn, rpc.Message)) (*Router, error) {
	r := &Router{handle: handle}
	var err error
	r.Server, err = Listen(address, r.serve)
	return r, err
}

// NewReadyRouter starts a fake router like NewRouter does, but one that answers health checks as ready. It calls handle for all
// other messages.
func NewReadyRouter(address string, handle func(*ClientConn, rpc.Message)) (*Router, error) {
	return NewRouter(address, func(c *ClientConn, m rpc.Message) {
		if string(m.Method) == "health" {
			c.SendHealth(m.ID, true)
			return
		}
		handle(c, m)
	})
}

// serve handles the messages of one connection until a read fails or a message cannot be parsed.
func (r *Router) serve(conn net.Conn) {
	client := &ClientConn{Conn: conn}
	var pending []byte
	chunk := make([]byte, routerReadBufferSize)
	for {
		n, err := conn.Read(chunk)
		if err != nil {
			return
		}
		pending, err = r.handleMessages(client, append(pending, chunk[:n]...))
		if err != nil {
			return
		}
	}
}

// handleMessages handles the complete messages at the start of a buffer, and returns the bytes after them. It returns an
// error if a message cannot be parsed.
func (r *Router) handleMessages(client *ClientConn, buf []byte) (rest []byte, err error) {
	for {
		message, progress, err := rpc.ParseMessage(buf, routerMaxMessageSize)
		if err != nil {
			return nil, err
		}
		if progress.Consumed == 0 {
			return buf, nil
		}
		buf = bytes.Clone(buf[progress.Consumed:]) // the message refers to the old buffer, which later reads must not change
		r.handle(client, message)
	}
}

// SendRaw sends the bytes unchanged.
func (c *ClientConn) SendRaw(b []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = c.Write(b) // the client may have closed the connection
}

// SendBody answers a request with a body.
func (c *ClientConn) SendBody(id uint64, body []byte) {
	c.SendRaw(rpc.AppendBodyResponse(nil, id, body))
}

// SendError answers a request with an error code.
func (c *ClientConn) SendError(id uint64, code string) {
	c.SendRaw(rpc.AppendErrorResponse(nil, id, code))
}

// SendThrottled rejects a request. The answer carries retryAfter, in milliseconds, if it is positive.
func (c *ClientConn) SendThrottled(id uint64, retryAfter int) {
	if retryAfter <= 0 {
		c.SendError(id, rpc.CodeThrottled)
		return
	}
	field := rpc.Field{Name: rpc.FieldRetryAfter, Value: strconv.Itoa(retryAfter)}
	c.SendRaw(rpc.AppendErrorResponse(nil, id, rpc.CodeThrottled, field))
}

// SendHealth answers a health check; ready says whether the router is ready.
func (c *ClientConn) SendHealth(id uint64, ready bool) {
	c.SendRaw(rpc.AppendHealthResponse(nil, id, ready))
}

// Reset closes the connection with a TCP reset.
func (c *ClientConn) Reset() { resetConn(c.Conn) }
