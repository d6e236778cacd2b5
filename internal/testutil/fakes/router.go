package fakes

import (
	"bytes"
	"net"
	"strconv"
	"sync"

	"hillknot/internal/rpc"
)

const (
	routerReadSize   = 64 << 10 // bytes
	routerMaxMessage = 1 << 20  // bytes
)

// Router plays an edge router: its handler decides what happens with each message.
type Router struct {
	*Server
	handle func(*Peer, rpc.Message)
}

// Peer is a client's connection to a fake router. Its methods may be called by several goroutines at once. What they send to
// a client that has gone is lost without an error.
type Peer struct {
	net.Conn
	mu sync.Mutex // serializes responses
}

// NewRouter starts a router at an address. It calls handle for the messages of a connection one after the other, each with
// slices of its own.
func NewRouter(address string, handle func(*Peer, rpc.Message)) (*Router, error) {
	r := &Router{handle: handle}
	var err error
	r.Server, err = Listen(address, r.serve)
	return r, err
}

// NewReadyRouter is NewRouter for one that reports itself as ready; handle gets all messages but the health checks.
func NewReadyRouter(address string, handle func(*Peer, rpc.Message)) (*Router, error) {
	return NewRouter(address, func(p *Peer, m rpc.Message) {
		if string(m.Method) == "health" {
			p.SendHealth(m.ID, true)
			return
		}
		handle(p, m)
	})
}

// serve handles the messages of one connection until it ends or a message cannot be parsed.
func (r *Router) serve(conn net.Conn) {
	peer := &Peer{Conn: conn}
	var pending []byte
	chunk := make([]byte, routerReadSize)
	for {
		n, err := conn.Read(chunk)
		if err != nil {
			return
		}
		pending, err = r.handleComplete(peer, append(pending, chunk[:n]...))
		if err != nil {
			return
		}
	}
}

// handleComplete handles the complete messages at the start of a buffer, and returns the rest of it.
func (r *Router) handleComplete(peer *Peer, buf []byte) (rest []byte, err error) {
	for {
		message, progress, err := rpc.ParseMessage(buf, routerMaxMessage)
		if err != nil {
			return nil, err
		}
		if progress.Consumed == 0 {
			return buf, nil
		}
		buf = bytes.Clone(buf[progress.Consumed:]) // the message refers to the old buffer, which later reads must not change
		r.handle(peer, message)
	}
}

// SendRaw sends bytes as they are.
func (p *Peer) SendRaw(b []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, _ = p.Write(b) // a client that has gone reads nothing
}

// SendBody responds with a body.
func (p *Peer) SendBody(id uint64, body []byte) { p.SendRaw(rpc.AppendBodyResponse(nil, id, body)) }

// SendError responds with the code of an error.
func (p *Peer) SendError(id uint64, code string) {
	p.SendRaw(rpc.AppendErrorResponse(nil, id, code))
}

// SendThrottled rejects a request. It sends retryAfter, in milliseconds, if that is positive.
func (p *Peer) SendThrottled(id uint64, retryAfter int) {
	if retryAfter <= 0 {
		p.SendError(id, rpc.CodeThrottled)
		return
	}
	field := rpc.Field{Name: rpc.FieldRetryAfter, Value: strconv.Itoa(retryAfter)}
	p.SendRaw(rpc.AppendErrorResponse(nil, id, rpc.CodeThrottled, field))
}

// SendHealth answers a health check.
func (p *Peer) SendHealth(id uint64, ready bool) {
	p.SendRaw(rpc.AppendHealthResponse(nil, id, ready))
}

// Reset closes the connection with a TCP reset.
func (p *Peer) Reset() { resetConn(p.Conn) }
