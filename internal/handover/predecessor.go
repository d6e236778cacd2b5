package handover

import (
	"errors"
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"hillknot/internal/config"
	"hillknot/internal/logging"
	"hillknot/internal/netio"
)

// Predecessor is the successor's end of the connection to the process that it takes over from.
type Predecessor struct {
	// DiscoveryPosition is the position in the event log of discovery that the predecessor had reached when this
	// process connected; 0: it has not answered.
	DiscoveryPosition int64

	conn      *netio.Conn
	limits    config.Limits
	ended     chan struct{} // closed when the connection ends
	positions chan []byte   // receives the answer to TAKE, once
	states    chan []byte   // receives the answer to READY, once
	replaced  chan struct{} // closed when the answer to READY has come
	answered  sync.Once     // closes replaced

	requestSent atomic.Pointer[func(id string)] // is called with the id of each request that the predecessor sends; nil: Follow was not called
}

// FindPredecessor connects to the process that listens on a path. It returns nil if there is no such process, which is no error. One that
// does not answer in time may be stopped, and go on later: it is a predecessor all the same. The caller closes the connection.
func FindPredecessor(path string, limits config.Limits) *Predecessor {
	p := newPredecessor(limits)
	budget := netio.NewBudget(2 * limits.HandoverStateBytes)
	handler := func(*netio.Conn) netio.Handler { return p }
	conn, err := netio.Dial(path, limits.HandoverTimeout, limits.Handover, budget, handler)
	if err != nil {
		log.Debug("no predecessor", logging.KeyError, err)
		return nil
	}
	p.conn = conn
	position, err := p.request(kindTake, p.positions)
	if errors.Is(err, errNoAnswer) {
		log.Warn("predecessor does not answer", logging.KeyError, err)
		return p
	}
	if err == nil {
		p.DiscoveryPosition, err = strconv.ParseInt(string(position), 10, 64)
	}
	if err != nil {
		log.Warn("predecessor handshake failed", logging.KeyError, err)
		conn.Close()
		return nil
	}
	return p
}

func newPredecessor(limits config.Limits) *Predecessor {
	return &Predecessor{limits: limits, ended: make(chan struct{}),
		positions: make(chan []byte, 1), states: make(chan []byte, 1), replaced: make(chan struct{})}
}

// Ended returns a channel that is closed when the predecessor ends.
func (p *Predecessor) Ended() <-chan struct{} { return p.ended }

// Replaced returns a channel that is closed when the predecessor has answered AnnounceReady, also if that did not wait for the answer: from
// then on it leaves to this process what only one of them may do.
func (p *Predecessor) Replaced() <-chan struct{} { return p.replaced }

// AnnounceReady notifies the predecessor that this process accepts clients from now on, and returns the state to start
// from. The predecessor may have been notified even if AnnounceReady returns an error.
func (p *Predecessor) AnnounceReady() (State, error) {
	encoded, err := p.request(kindReady, p.states)
	if err != nil {
		return State{}, err
	}
	s, err := decode(encoded)
	if err != nil {
		return State{}, fmt.Errorf("decode state of predecessor: %w", err)
	}
	return s, nil
}

// Follow has requestSent called with the id of each request of the predecessor that may do harm if it runs twice, and that is sent
// after the state was exported. It may be called once, after AnnounceReady, if the state has RequestIDs.
func (p *Predecessor) Follow(requestSent func(id string)) error {
	p.requestSent.Store(&requestSent)
	return p.conn.Send(appendMessage(nil, kindFollow, nil))
}

// Close closes the connection, by which the predecessor notices that this process has ended or does not take over.
func (p *Predecessor) Close() { p.conn.Close() }

// request sends a message and waits for its answer.
func (p *Predecessor) request(kind string, answers <-chan []byte) ([]byte, error) {
	if err := p.conn.Send(appendMessage(nil, kind, nil)); err != nil {
		return nil, err
	}
	timer := time.NewTimer(p.limits.HandoverTimeout)
	defer timer.Stop()
	select {
	case body := <-answers:
		return body, nil
	case <-p.ended:
		return nil, fmt.Errorf("%s: %w", kind, ErrPredecessorUnavailable)
	case <-timer.C:
		return nil, fmt.Errorf("%s: %w", kind, errNoAnswer)
	}
}

// Consume implements netio.Handler.
func (p *Predecessor) Consume(buf []byte) (used, needed int, err error) {
	for {
		m, progress, err := parseMessage(buf[used:], p.limits.HandoverStateBytes)
		if err != nil || progress.consumed == 0 {
			return used, progress.needed, err
		}
		used += progress.consumed
		if err := p.handle(m); err != nil {
			return used, 0, err
		}
	}
}

// handle passes an answer on to the call of request that waits for it.
func (p *Predecessor) handle(m message) error {
	if m.version != version {
		return errMalformed
	}
	var answers chan<- []byte
	switch string(m.kind) {
	case kindAt:
		answers = p.positions
	case kindState:
		answers = p.states
		p.answered.Do(func() { close(p.replaced) })
	case kindSent:
		requestSent := p.requestSent.Load()
		if requestSent == nil {
			return errMalformed
		}
		(*requestSent)(string(m.body))
		return nil
	default:
		return errMalformed
	}
	select {
	case answers <- append([]byte(nil), m.body...):
		return nil
	default: // a second answer to the same request
		return errMalformed
	}
}

// Closed implements netio.Handler.
func (p *Predecessor) Closed() { close(p.ended) }
