package handover

import (
	"fmt"
	"strconv"
	"sync"

	"hillknot/internal/netio"
)

// successor is the predecessor's end of the connection to a successor. Calls of its methods by package netio do not overlap.
type successor struct {
	listener *SuccessorListener
	conn     *netio.Conn
	stage    SuccessorStage
	sent     sentRequests
}

// sentRequests passes the ids of requests on to a successor. Its methods may be called from any goroutine.
type sentRequests struct {
	mu      sync.Mutex
	follows bool     // the successor has sent FOLLOW
	pending []string // ids that wait for that, the latest maxPendingIDs
}

// maxPendingIDs is how many ids wait for a successor that has got the state and not sent FOLLOW yet, which takes it a moment.
const maxPendingIDs = 1 << 10

// add passes an id on to the successor at conn, or keeps it until the successor follows.
func (s *sentRequests) add(conn *netio.Conn, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.follows {
		s.pending = append(s.pending, id)
		s.pending = s.pending[max(len(s.pending)-maxPendingIDs, 0):]
		return
	}
	_ = conn.Send(appendMessage(nil, kindSent, []byte(id))) // fails only if the successor has ended
}

// follow passes the ids that wait on to the successor, and later ones at once.
func (s *sentRequests) follow(conn *netio.Conn) {
	s.mu.Lock()
	pending := s.pending
	s.follows, s.pending = true, nil
	s.mu.Unlock()
	for _, id := range pending {
		s.add(conn, id)
	}
}

// Consume implements netio.Handler.
func (s *successor) Consume(buf []byte) (used, needed int, err error) {
	for {
		m, progress, err := parseMessage(buf[used:], 0)
		if err != nil || progress.consumed == 0 {
			return used, progress.needed, err
		}
		used += progress.consumed
		if err := s.handle(m); err != nil {
			return used, 0, err
		}
	}
}

// handle processes a message and answers it. A successor sends TAKE, then READY, each once, and FOLLOW if it knows that.
func (s *successor) handle(m message) error {
	switch {
	case m.version != version:
		return fmt.Errorf("version %d: %w", m.version, errMalformed)
	case string(m.kind) == kindTake && s.stage == NoSuccessor:
		s.stage = SuccessorStarting
		s.listener.adjustCounts(1, 0)
		position := s.listener.process.DiscoveryPosition()
		return s.conn.Send(appendMessage(nil, kindAt, strconv.AppendInt(nil, position, 10)))
	case string(m.kind) == kindReady && s.stage == SuccessorStarting:
		s.stage = SuccessorReady
		s.listener.addReady(s)
		s.listener.goroutines.Go(s.handOver) // State may wait for the core
		return nil
	case string(m.kind) == kindFollow && s.stage == SuccessorReady:
		s.sent.follow(s.conn)
		return nil
	}
	return errMalformed
}

// handOver sends the state of the process to a successor that is ready. It closes the connection if that fails.
func (s *successor) handOver() {
	state := encode(s.listener.process.State())
	if len(state) > s.listener.limits.HandoverStateBytes {
		state = nil // the successor can't read a state over the limit, and starts without one
	}
	s.listener.adjustCounts(0, 1)
	if err := s.conn.Send(appendMessage(nil, kindState, state)); err != nil {
		s.conn.Close()
	}
}

// Closed implements netio.Handler. It is called when the successor has ended. A ready successor listened on the path in
// place of this process, which then listens there again.
func (s *successor) Closed() {
	switch s.stage {
	case SuccessorStarting:
		s.listener.adjustCounts(-1, 0)
	case SuccessorReady:
		s.listener.removeReady(s)
		s.listener.adjustCounts(-1, -1)
		s.listener.reopen()
	}
}
