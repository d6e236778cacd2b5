// Package handover lets one process of a router follow another: over a Unix socket, the new one learns that it has
// a predecessor and takes over what that knows, and the old one, that it has a successor.
//
// The new process says TAKE and is told where in the journal the old one is; it says READY once it is about to take
// clients, and is told the state. From then on the old one may leave. The connection stays open for as long as both
// live: its end tells each that the other has gone.
package handover

import (
	"errors"
	"fmt"
	"log/slog"
	"strconv"
	"sync"
	"time"

	"hillknot/internal/config"
	"hillknot/internal/netio"
)

// The words of the messages.
const (
	wordTake  = "TAKE"
	wordAt    = "AT"
	wordReady = "READY"
	wordState = "STATE"
)

// ErrPredecessorUnavailable says that the predecessor has ended, or does not answer.
var ErrPredecessorUnavailable = errors.New("predecessor has gone")

// Process is the process that may be followed. Its methods may be called anywhere.
type Process interface {
	DiscoveryPosition() int64  // in the journal
	State() State              // to go on from
	Beside(beside, after bool) // another process is beside this one; it has taken over
}

// SuccessorListener waits for a successor.
type SuccessorListener struct {
	path  string
	lim   config.Limits
	owner Process

	mu     sync.Mutex
	srv    *netio.Server
	beside int // processes that have called
	ready  int // of these, those that have taken over
}

// ListenForSuccessor listens for successors under a path, in place of who did so before.
func ListenForSuccessor(path string, owner Process, lim config.Limits) (*SuccessorListener, error) {
	g := &SuccessorListener{path: path, lim: lim, owner: owner}
	return g, g.listen()
}

func (g *SuccessorListener) listen() error {
	srv, err := netio.Listen(g.path, g.lim.HandoverConns, g.lim.Handover, netio.NewBudget(2*g.lim.HandoverState), func(nc *netio.Conn) netio.Handler {
		return &successor{g: g, nc: nc}
	})
	if err != nil {
		return fmt.Errorf("hand over: %w", err)
	}
	g.mu.Lock()
	g.srv, srv = srv, g.srv
	now := g.srv
	g.mu.Unlock()
	if srv != nil {
		srv.Close()
	}
	go func() {
		if err := now.Serve(); err != nil {
			slog.Error("no longer waiting for a successor", "err", err)
		}
	}()
	return nil
}

// Close stops waiting.
func (g *SuccessorListener) Close() {
	g.mu.Lock()
	srv := g.srv
	g.srv = nil
	g.mu.Unlock()
	if srv != nil {
		srv.Close()
	}
}

// count notes who is beside this process, and tells the owner.
func (g *SuccessorListener) count(beside, ready int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.beside, g.ready = g.beside+beside, g.ready+ready
	g.owner.Beside(g.beside > 0, g.ready > 0)
}

// successor is a connection from a process that starts. Its calls come one after the other.
type successor struct {
	g           *SuccessorListener
	nc          *netio.Conn
	took, ready bool
}

// Consume implements netio.Handler.
func (s *successor) Consume(buf []byte) (used, want int, err error) {
	for {
		m, n, want, err := parse(buf[used:], 0)
		if err != nil || n == 0 {
			return used, want, err
		}
		used += n
		switch {
		case m.version != version:
			return used, 0, fmt.Errorf("version %d: %w", m.version, errBad)
		case string(m.word) == wordTake && !s.took:
			s.took = true
			s.g.count(1, 0)
			err = s.nc.Send(appendMessage(nil, wordAt, strconv.AppendInt(nil, s.g.owner.DiscoveryPosition(), 10)))
		case string(m.word) == wordReady && s.took && !s.ready:
			s.ready = true
			state := encode(s.g.owner.State())
			if len(state) > s.g.lim.HandoverState {
				state = nil // it can't be read, and so is not taken
			}
			s.g.count(0, 1)
			err = s.nc.Send(appendMessage(nil, wordState, state))
		default:
			err = errBad
		}
		if err != nil {
			return used, 0, err
		}
	}
}

// Closed implements netio.Handler: the successor has gone. Where it had taken our place at the path, that is ours
// again.
func (s *successor) Closed() {
	if !s.took {
		return
	}
	ready := 0
	if s.ready {
		ready = -1
	}
	s.g.count(-1, ready)
	s.g.mu.Lock()
	waits := s.g.srv != nil
	s.g.mu.Unlock()
	if s.ready && waits {
		slog.Warn("successor has gone")
		go func() { // not from here: it closes connections, which calls back
			if err := s.g.listen(); err != nil {
				slog.Error("can't wait for another successor", "err", err)
			}
		}()
	}
}

// Predecessor is the process that this one follows.
type Predecessor struct {
	DiscoveryPosition int64         // where it was in the journal as we called
	Gone              chan struct{} // closed as it ends
	nc                *netio.Conn
	lim               config.Limits
	states            chan []byte
	at                chan []byte
}

// FindPredecessor calls who listens under a path. Nobody there is no error: the result is nil.
func FindPredecessor(path string, lim config.Limits) *Predecessor {
	p := &Predecessor{lim: lim, Gone: make(chan struct{}), states: make(chan []byte, 1), at: make(chan []byte, 1)}
	nc, err := netio.Dial(path, lim.HandoverWait, lim.Handover, netio.NewBudget(2*lim.HandoverState), func(*netio.Conn) netio.Handler { return p })
	if err != nil {
		slog.Debug("no predecessor", "err", err)
		return nil
	}
	p.nc = nc
	text, err := p.ask(wordTake, p.at)
	if err == nil {
		p.DiscoveryPosition, err = strconv.ParseInt(string(text), 10, 64)
	}
	if err != nil {
		slog.Warn("predecessor not understood", "err", err)
		nc.Close()
		return nil
	}
	return p
}

// ask sends a word and waits for what is owed to it.
func (p *Predecessor) ask(word string, answer <-chan []byte) ([]byte, error) {
	if err := p.nc.Send(appendMessage(nil, word, nil)); err != nil {
		return nil, err
	}
	t := time.NewTimer(p.lim.HandoverWait)
	defer t.Stop()
	select {
	case text := <-answer:
		return text, nil
	case <-p.Gone:
	case <-t.C:
	}
	return nil, fmt.Errorf("%s: %w", word, ErrPredecessorUnavailable)
}

// AnnounceReady tells the predecessor that clients are taken from now on, and returns what to go on from. After an error
// the predecessor may know it all the same.
func (p *Predecessor) AnnounceReady() (State, error) {
	text, err := p.ask(wordReady, p.states)
	if err != nil {
		return State{}, err
	}
	s, err := decode(text)
	if err != nil {
		return State{}, fmt.Errorf("state: %w", err)
	}
	return s, nil
}

// Close ends the connection, which tells the predecessor that nobody follows it.
func (p *Predecessor) Close() { p.nc.Close() }

// Consume implements netio.Handler.
func (p *Predecessor) Consume(buf []byte) (used, want int, err error) {
	for {
		m, n, want, err := parse(buf[used:], p.lim.HandoverState)
		if err != nil || n == 0 {
			return used, want, err
		}
		used += n
		to := map[string]chan []byte{wordAt: p.at, wordState: p.states}[string(m.word)]
		if m.version != version || to == nil {
			return used, 0, errBad
		}
		select {
		case to <- append([]byte(nil), m.body...):
		default: // told twice
			return used, 0, errBad
		}
	}
}

// Closed implements netio.Handler.
func (p *Predecessor) Closed() { close(p.Gone) }
