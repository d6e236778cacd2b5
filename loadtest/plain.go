package loadtest

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"hillknot/client"
	"hillknot/internal/rpc"
)

// asker is a client of whichever kind.
type asker interface {
	// ask sends a request and returns how often it went out, and why it was not served.
	ask(ctx context.Context, req client.Request) (tries int, err error)
	close()
}

// library is the product's client.
type library struct{ c *client.Client }

func (l library) ask(ctx context.Context, req client.Request) (int, error) {
	r, err := l.c.Do(ctx, req)
	return r.Tries, err
}

func (l library) close() {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	_ = l.c.Close(ctx) // what it withdraws is counted already
}

// plain is the client that a tool would have without a library: connections that are kept, each for one request at a
// time, routers in turn, and up to two more tries at once after whatever went wrong.
type plain struct {
	routers []string
	conns   func(addr string) // told of each connection

	mu   sync.Mutex
	turn int
	free map[string][]net.Conn
}

func (p *plain) ask(ctx context.Context, req client.Request) (tries int, err error) {
	end := time.Now().Add(req.Limit)
	for tries < 3 && time.Now().Before(end) {
		p.mu.Lock()
		p.turn++
		addr := p.routers[p.turn%len(p.routers)]
		p.mu.Unlock()
		tries++
		if err = p.try(addr, req, end, tries > 1); err == nil {
			return tries, nil
		}
	}
	return tries, err
}

var errRefused = errors.New("refused")

func (p *plain) try(addr string, req client.Request, end time.Time, second bool) error {
	nc, err := p.conn(addr, end)
	if err != nil {
		return err
	}
	_ = nc.SetDeadline(end) // fails on a closed connection, as the write then does
	b := rpc.AppendRequest(nil, 1, &rpc.Request{Method: req.Class, Txn: rand.Uint64(), TimeoutMillis: max(time.Until(end).Milliseconds(), 1), Retry: second,
		Item: req.Item, Body: req.Body})
	if _, err := nc.Write(b); err != nil {
		_ = nc.Close()
		return err
	}
	buf := make([]byte, 0, 64<<10)
	for {
		n, err := nc.Read(buf[len(buf):cap(buf)])
		if err != nil {
			_ = nc.Close()
			return err
		}
		buf = buf[:len(buf)+n]
		h, progress, err := rpc.ParseResponseHeader(buf, 4<<10, 64<<10)
		if err != nil {
			_ = nc.Close()
			return err
		}
		used := progress.Consumed
		if used == 0 || h.Kind == rpc.ResponseBody && len(buf) < used+h.BodySize+1 {
			continue
		}
		p.mu.Lock()
		p.free[addr] = append(p.free[addr], nc)
		p.mu.Unlock()
		switch {
		case h.Kind == rpc.ResponseBody:
			return nil
		case string(h.Code) == rpc.CodeThrottled:
			return errRefused
		}
		return fmt.Errorf("failed: %s", h.Code)
	}
}

func (p *plain) conn(addr string, end time.Time) (net.Conn, error) {
	p.mu.Lock()
	if free := p.free[addr]; len(free) > 0 {
		nc := free[len(free)-1]
		p.free[addr] = free[:len(free)-1]
		p.mu.Unlock()
		return nc, nil
	}
	p.mu.Unlock()
	nc, err := net.DialTimeout("tcp", addr, time.Until(end))
	if err == nil && p.conns != nil {
		p.conns(addr)
	}
	return nc, err
}

func (p *plain) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, free := range p.free {
		for _, nc := range free {
			_ = nc.Close()
		}
	}
	p.free = map[string][]net.Conn{}
}
