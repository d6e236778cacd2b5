// Package agentcheck tells load balancers how the router is: as the line that HAProxy's agent check reads,
// and as an HTTP answer for those that poll a page.
package agentcheck

import (
	"bytes"
	"errors"
	"strconv"

	"hillknot/internal/config"
	"hillknot/internal/netio"
)

// Core is what is asked. Its methods but Post are called on the core's goroutine.
type Core interface {
	Post(f func())
	Ready() bool
	Stopping() bool
}

// Front answers checks on one address.
type Front struct{ *netio.Server }

// The words of HAProxy's agent check.
const (
	ready = "ready"
	drain = "drain"
	down  = "down"
)

func word(c Core) string {
	switch {
	case c.Stopping():
		return drain
	case c.Ready():
		return ready
	}
	return down
}

// ListenAgent answers every connection with one line, as HAProxy's agent-check wants it.
func ListenAgent(addr string, c Core, lim config.Limits) (*Front, error) {
	return listen(addr, lim, func(nc *netio.Conn) netio.Handler { return &agent{core: c, nc: nc} })
}

// ListenHTTP answers GET and HEAD with status 200 while the router is ready, else 503.
func ListenHTTP(addr string, c Core, lim config.Limits) (*Front, error) {
	return listen(addr, lim, func(nc *netio.Conn) netio.Handler { return &page{core: c, nc: nc} })
}

func listen(addr string, lim config.Limits, h func(*netio.Conn) netio.Handler) (*Front, error) {
	s, err := netio.Listen(addr, lim.CheckConns, lim.Check, &netio.Budget{Max: int64(lim.CheckConns * lim.Check.Pending)}, h)
	if err != nil {
		return nil, err
	}
	return &Front{s}, nil
}

type agent struct {
	core Core
	nc   *netio.Conn
}

// Opened implements netio.Opener.
func (a *agent) Opened() {
	a.core.Post(func() { a.nc.Finish([]byte(word(a.core) + "\n")) })
}

// Take implements netio.Handler: what an agent check may send first is of no matter.
func (a *agent) Take(buf []byte) (used, want int, err error) { return len(buf), 0, nil }

// Closed implements netio.Handler.
func (a *agent) Closed() {}

type page struct {
	core Core
	nc   *netio.Conn
}

const maxHead = 8 << 10

var errTooLong = errors.New("request over the limit")

// Take implements netio.Handler. A connection is answered once.
func (p *page) Take(buf []byte) (used, want int, err error) {
	if !bytes.Contains(buf, []byte("\r\n\r\n")) {
		if len(buf) > maxHead {
			return 0, 0, errTooLong
		}
		return 0, 0, nil
	}
	method, _, _ := bytes.Cut(buf, []byte(" "))
	get, head := string(method) == "GET", string(method) == "HEAD"
	p.core.Post(func() {
		w, status := word(p.core), "200 OK"
		switch {
		case !get && !head:
			w, status = "GET or HEAD", "405 Method Not Allowed"
		case w != ready:
			status = "503 Service Unavailable"
		}
		text := "HTTP/1.1 " + status + "\r\nContent-Type: text/plain\r\nCache-Control: no-store\r\nConnection: close\r\n" +
			"Content-Length: " + strconv.Itoa(len(w)+1) + "\r\n\r\n"
		if !head {
			text += w + "\n"
		}
		p.nc.Finish([]byte(text))
	})
	return len(buf), 0, nil
}

// Closed implements netio.Handler.
func (p *page) Closed() {}
