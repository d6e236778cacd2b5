// Package discovery follows the operators' journal service, which tells of members and purges, as
// server-sent events over HTTP. It calls again at once when the connection ends or falls silent: what the
// journal holds counts as told whether or not we are connected.
package discovery

import (
	"errors"
	"fmt"
	"log/slog"
	"strconv"
	"sync"
	"time"

	"hillknot/internal/clock"
	"hillknot/internal/config"
	"hillknot/internal/core"
	"hillknot/internal/jsonfields"
	"hillknot/internal/netio"
)

// EventHandler is what the events are handed to. Members and Purge are called on the core's goroutine, by way of Tell.
type EventHandler interface {
	PostWatchEvent(f func())
	ReplaceEndpoints(all []core.EndpointUpdate)
	UpdateEndpoints(changed []core.EndpointUpdate)
	PurgeObject(object uint64, at time.Duration)
	PurgeGroup(group uint64, at time.Duration)
}

// Watcher follows one journal at a time.
type Watcher struct {
	core EventHandler
	lim  config.Limits

	mu    sync.Mutex
	addr  string
	moved chan struct{} // closed when the address has changed
	now   *netio.Conn   // the open connection; nil: there is none
	last  int64         // position of the latest event that was handed on
	again int64         // and when the journal was called again for what should have come behind it; 0: it was not
	grown chan struct{} // closed when that has changed

	// contact is the latest moment at which all that the journal had sent was read: what comes later was told after it.
	contact time.Duration
	current bool // so much was read on the open connection
}

// New returns a client that has handed on the events of the start.
func New(c EventHandler, addr string, lim config.Limits, start jsonfields.Object) (*Watcher, error) {
	evs, last, err := known(start)
	if err != nil {
		return nil, err
	}
	cl := &Watcher{core: c, addr: addr, moved: make(chan struct{}), grown: make(chan struct{}), lim: lim}
	for _, e := range evs {
		cl.hand(e)
	}
	cl.last = max(last, cl.last)
	cl.contact = clock.Now() // the events of the start may be of any age, all others are told from now on
	return cl, nil
}

// Position is the position of the latest event.
func (cl *Watcher) Position() int64 {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.last
}

// WaitForPosition waits until the event at a position has come, for a bounded time. It tells whether it has.
func (cl *Watcher) WaitForPosition(pos int64, most time.Duration) bool {
	t := time.NewTimer(most)
	defer t.Stop()
	for {
		cl.mu.Lock()
		last, grown := cl.last, cl.grown
		cl.mu.Unlock()
		if last >= pos {
			return true
		}
		select {
		case <-grown:
		case <-t.C:
			return false
		}
	}
}

// errMissed says that an event can't be read, or that one before it is missing: the journal is to be called again.
var errMissed = errors.New("an event is missing")

// take hands on what has come at a position. What can't be read, and what comes behind a gap, is asked for once more: it may
// have been spoilt on its way, and a drain or a purge must not be passed over. Where it is the same then, that is what
// the journal holds.
func (cl *Watcher) take(e Event, unread error) error {
	cl.mu.Lock()
	whole := unread == nil && (e.Pos == cl.last+1 || cl.last == 0)
	old, first := e.Pos > 0 && e.Pos <= cl.last, cl.again != cl.last+1
	if !whole && !old {
		cl.again = cl.last + 1
	}
	cl.mu.Unlock()
	switch {
	case old:
		return nil
	case !whole && first:
		return fmt.Errorf("%w: position %d comes behind %d, %v", errMissed, e.Pos, cl.last, unread)
	case unread != nil:
		slog.Error("journal event not understood, passed over", "pos", e.Pos, "err", unread)
		e = Event{Pos: e.Pos}
	}
	cl.hand(e)
	return nil
}

// hand hands an event on, once: an old connection may still bring what a new one has brought. The first
// event holds the whole list.
func (cl *Watcher) hand(e Event) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if e.Pos <= cl.last {
		return
	}
	e.Full = e.Full || e.List && cl.last == 0
	e.date(clock.Now(), clock.Wall(), cl.contact)
	cl.last = e.Pos
	close(cl.grown)
	cl.grown = make(chan struct{})
	cl.core.PostWatchEvent(func() { e.apply(cl.core) })
}

// SetAddress goes on with the journal at another address, at once and from the latest event on.
func (cl *Watcher) SetAddress(addr string) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if addr != cl.addr {
		cl.addr = addr
		close(cl.moved)
		cl.moved = make(chan struct{})
	}
}

// where tells the journal's address, the latest event and what is closed when the address changes.
func (cl *Watcher) where() (addr string, last int64, moved <-chan struct{}) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.addr, cl.last, cl.moved
}

// Run follows the journal until stop is closed. A journal that brings nothing is called less and less often,
// up to a bound; one that fell silent, or has moved, is called at once.
func (cl *Watcher) Run(stop <-chan struct{}) {
	wait := cl.lim.JournalRetry
	for {
		addr, pos, moved := cl.where()
		heard, err := cl.call(addr, pos, moved, stop)
		if err != nil {
			slog.Warn("journal lost", "addr", addr, "pos", pos, "err", err)
		}
		if wait = min(2*wait, cl.lim.JournalRetryMost); heard {
			wait = cl.lim.JournalRetry
		}
		select {
		case <-stop:
			return
		case <-moved:
			wait = cl.lim.JournalRetry
		case <-time.After(wait):
		}
	}
}

// inContact notes that all that the journal had sent by then has been read.
func (cl *Watcher) inContact(at time.Duration) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.contact, cl.current = max(cl.contact, at), true
}

func (cl *Watcher) open(nc *netio.Conn) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.now, cl.current = nc, false
}

// HasBacklog tells whether the journal has told what is not handed on yet, or may have: while there is no connection to it, and
// until the first word on one is read. It may be called anywhere.
func (cl *Watcher) HasBacklog() bool {
	cl.mu.Lock()
	nc, current := cl.now, cl.current
	cl.mu.Unlock()
	return nc == nil || !current || nc.HasUnreadInput()
}

// call reads the journal over one connection until that ends or falls silent, or the journal moves. It tells
// whether anything came.
func (cl *Watcher) call(addr string, pos int64, moved, stop <-chan struct{}) (heard bool, err error) {
	s := &session{cl: cl, closed: make(chan struct{}), heard: make(chan struct{}, 1)}
	s.stream = stream{max: cl.lim.JournalLine, event: s.event}
	nc, err := netio.Dial(addr, cl.lim.Connect, cl.lim.Journal, netio.NewBudget(2*cl.lim.JournalLine), func(nc *netio.Conn) netio.Handler { s.nc = nc; return s })
	if err != nil {
		return false, err
	}
	cl.open(nc)
	defer func() { cl.open(nil); nc.Close() }()
	req := "GET /journal HTTP/1.1\r\nHost: " + addr + "\r\nAccept: text/event-stream\r\nConnection: close\r\nLast-Event-ID: " +
		strconv.FormatInt(pos, 10) + "\r\n\r\n"
	if err := nc.WriteSync([]byte(req)); err != nil {
		return false, err
	}
	quiet := time.NewTimer(cl.lim.JournalQuiet)
	defer quiet.Stop()
	for {
		select {
		case <-s.heard:
			heard = true
			quiet.Reset(cl.lim.JournalQuiet)
		case <-s.closed:
			return heard, fmt.Errorf("connection ended: %w", netio.ErrClosed)
		case <-quiet.C:
			return heard, fmt.Errorf("nothing for %v", cl.lim.JournalQuiet)
		case <-moved:
			return heard, nil
		case <-stop:
			return heard, nil
		}
	}
}

// session is one connection to the journal.
type session struct {
	cl     *Watcher
	nc     *netio.Conn
	taken  time.Duration // when something was taken last
	quick  int           // reads in quick succession
	stream stream
	parser parser
	heard  chan struct{}
	closed chan struct{}
}

// Consume implements netio.Handler.
func (s *session) Consume(buf []byte) (used, want int, err error) {
	select {
	case s.heard <- struct{}{}:
	default: // the sign of life before is still to be seen
	}
	s.pace()
	read := clock.Now()
	all := !s.nc.HasUnreadInputBeyond(len(buf))
	used, err = s.stream.take(buf)
	if err != nil {
		slog.Warn("journal not understood", "err", err)
	}
	if all && used == len(buf) && s.stream.between() {
		s.cl.inContact(read)
	}
	return used, 0, err
}

// pace has what comes quickly be taken together: a release tells thousands of changes, and each by itself would wake the
// whole router. What comes after a pause is taken at once.
func (s *session) pace() {
	since := clock.Now() - s.taken
	switch {
	case since >= s.cl.lim.JournalPace:
		s.quick = 0
	case s.quick < paceAfter:
		s.quick++
	default:
		time.Sleep(s.cl.lim.JournalPace - since)
	}
	s.taken = clock.Now()
}

// paceAfter is how many reads in quick succession are taken at once.
const paceAfter = 16

// Closed implements netio.Handler.
func (s *session) Closed() { close(s.closed) }

// event takes what has come under an id.
func (s *session) event(id, data []byte) error {
	e, unread := s.parser.parse(data)
	if n, err := strconv.ParseInt(string(id), 10, 64); err == nil {
		e.Pos = n
	}
	return s.cl.take(e, unread)
}
