package fakes

import (
	"bytes"
	"net"
	"strconv"
	"sync"

	"hillknot/internal/rpc"
)

// Router plays an edge router: what it does with each message is scripted.
type Router struct {
	*listener
	handle func(*Peer, rpc.Message)
}

// Peer is a client's connection to a scripted router.
type Peer struct {
	net.Conn
	mu sync.Mutex
}

// NewRouter listens. Handle is called for each message of a connection in turn, with slices of its own.
func NewRouter(addr string, handle func(*Peer, rpc.Message)) (*Router, error) {
	r := &Router{handle: handle}
	var err error
	r.listener, err = listen(addr, r.serve)
	return r, err
}

// NewReadyRouter is NewRouter for one that says that it takes clients; handle gets all other messages.
func NewReadyRouter(addr string, handle func(*Peer, rpc.Message)) (*Router, error) {
	return NewRouter(addr, func(p *Peer, m rpc.Message) {
		if string(m.Method) == "health" {
			p.Health(m.ID, true)
			return
		}
		handle(p, m)
	})
}

func (r *Router) serve(nc net.Conn) {
	p, buf, in := &Peer{Conn: nc}, []byte(nil), make([]byte, 64<<10)
	for {
		n, err := nc.Read(in)
		if err != nil {
			return
		}
		buf = append(buf, in[:n]...)
		for {
			m, progress, err := rpc.ParseMessage(buf, 1<<20)
			if err != nil {
				return
			}
			if progress.Consumed == 0 {
				break
			}
			buf = bytes.Clone(buf[progress.Consumed:]) // what was handed on stays as it is
			r.handle(p, m)
		}
	}
}

// Raw sends bytes as they are.
func (p *Peer) Raw(b []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, _ = p.Write(b) // a client that has gone reads nothing
}

// Serve answers with bytes.
func (p *Peer) Serve(id uint64, body []byte) { p.Raw(rpc.AppendBodyResponse(nil, id, body)) }

// Fail answers with an error.
func (p *Peer) Fail(id uint64, word string) { p.Raw(rpc.AppendErrorResponse(nil, id, word)) }

// Refuse answers with a refusal, and how many milliseconds to stay away if that is over 0.
func (p *Peer) Refuse(id uint64, later int) {
	if later <= 0 {
		p.Fail(id, rpc.CodeThrottled)
		return
	}
	p.Raw(rpc.AppendErrorResponse(nil, id, rpc.CodeThrottled, rpc.Field{Name: rpc.FieldRetryAfter, Value: strconv.Itoa(later)}))
}

// Health answers whether the router takes clients.
func (p *Peer) Health(id uint64, ok bool) { p.Raw(rpc.AppendHealthResponse(nil, id, ok)) }

// End closes the connection, with a reset if that is asked for.
func (p *Peer) End(reset bool) { end(p.Conn, reset) }
