// Package journal follows the operators' journal service, which tells of members and purges, as
// server-sent events over HTTP. It calls again at once when the connection ends or falls silent: what the
// journal holds counts as told whether or not we are connected.
package journal

import (
	"fmt"
	"log/slog"
	"strconv"
	"sync/atomic"
	"time"

	"hillknot/internal/config"
	"hillknot/internal/core"
	"hillknot/internal/fields"
	"hillknot/internal/netio"
)

// Core is what the events are handed to. Members and Purge are called on the core's goroutine.
type Core interface {
	Post(f func())
	Members(full bool, hosts []core.Host)
	Purge(byGroup bool, object, group uint64, at time.Duration)
}

// Client follows one journal.
type Client struct {
	core Core
	addr string
	lim  config.Limits
	last atomic.Int64 // position of the latest event that was handed on
}

// New returns a client that has handed on the events of the start.
func New(c Core, addr string, lim config.Limits, start fields.Object) (*Client, error) {
	evs, last, err := known(start)
	if err != nil {
		return nil, err
	}
	cl := &Client{core: c, addr: addr, lim: lim}
	for _, e := range evs {
		cl.hand(e)
	}
	cl.last.Store(max(last, cl.last.Load()))
	return cl, nil
}

// hand hands an event on, once. The first event holds the whole list.
func (cl *Client) hand(e Event) {
	if e.Pos <= cl.last.Load() {
		return
	}
	e.Full = e.Full || e.List && cl.last.Load() == 0
	cl.last.Store(e.Pos)
	cl.core.Post(func() { e.apply(cl.core) })
}

// Run follows the journal until stop is closed.
func (cl *Client) Run(stop <-chan struct{}) {
	for {
		if err := cl.call(stop); err != nil {
			slog.Warn("journal lost", "addr", cl.addr, "pos", cl.last.Load(), "err", err)
		}
		select {
		case <-stop:
			return
		case <-time.After(cl.lim.JournalRetry):
		}
	}
}

// call reads the journal over one connection until that ends or falls silent.
func (cl *Client) call(stop <-chan struct{}) error {
	s := &session{cl: cl, closed: make(chan struct{}), heard: make(chan struct{}, 1)}
	s.stream = stream{max: cl.lim.JournalLine, event: s.event}
	nc, err := netio.Dial(cl.addr, cl.lim.Connect, cl.lim.Journal, &netio.Budget{Max: int64(2 * cl.lim.JournalLine)}, func(*netio.Conn) netio.Handler { return s })
	if err != nil {
		return err
	}
	defer nc.Close()
	req := "GET /journal HTTP/1.1\r\nHost: " + cl.addr + "\r\nAccept: text/event-stream\r\nConnection: close\r\nLast-Event-ID: " +
		strconv.FormatInt(cl.last.Load(), 10) + "\r\n\r\n"
	if err := nc.WriteNow([]byte(req)); err != nil {
		return err
	}
	quiet := time.NewTimer(cl.lim.JournalQuiet)
	defer quiet.Stop()
	for {
		select {
		case <-s.heard:
			quiet.Reset(cl.lim.JournalQuiet)
		case <-s.closed:
			return fmt.Errorf("connection ended: %w", netio.ErrClosed)
		case <-quiet.C:
			return fmt.Errorf("nothing for %v", cl.lim.JournalQuiet)
		case <-stop:
			return nil
		}
	}
}

// session is one connection to the journal.
type session struct {
	cl     *Client
	stream stream
	heard  chan struct{}
	closed chan struct{}
}

// Take implements netio.Handler.
func (s *session) Take(buf []byte) (used, want int, err error) {
	select {
	case s.heard <- struct{}{}:
	default: // the sign of life before is still to be seen
	}
	used, err = s.stream.take(buf)
	if err != nil {
		slog.Warn("journal not understood", "addr", s.cl.addr, "err", err)
	}
	return used, 0, err
}

// Closed implements netio.Handler.
func (s *session) Closed() { close(s.closed) }

// event hands an event on. One that can't be read is passed over: a new call would bring it again.
func (s *session) event(id, data []byte) error {
	e, err := parse(data)
	if err != nil {
		slog.Error("journal event not understood", "id", string(id), "err", err)
		return nil
	}
	if n, err := strconv.ParseInt(string(id), 10, 64); err == nil {
		e.Pos = n
	}
	s.cl.hand(e)
	return nil
}
