package handover

import (
	"fmt"
	"sync"

	"hillknot/internal/config"
	"hillknot/internal/logging"
	"hillknot/internal/netio"
)

// SuccessorListener accepts connections of the successors of this process.
type SuccessorListener struct {
	path    string
	limits  config.Limits
	process Process

	goroutines sync.WaitGroup // goroutines that serve or reopen the socket

	mu        sync.Mutex
	server    *netio.Server
	closed    bool // Close was called; no socket is opened any more
	connected int  // number of connected successors
	ready     int  // number of connected successors that are ready

	readySuccessors map[*successor]bool // those that have sent READY
}

// ListenForSuccessor listens on a path, and replaces the process that listened there before. The caller closes the
// listener.
func ListenForSuccessor(path string, process Process, limits config.Limits) (*SuccessorListener, error) {
	l := &SuccessorListener{path: path, limits: limits, process: process, readySuccessors: map[*successor]bool{}}
	return l, l.open()
}

// open listens on the path, and replaces the process that listens there now.
func (l *SuccessorListener) open() error {
	budget := netio.NewBudget(2 * l.limits.HandoverStateBytes)
	handler := func(conn *netio.Conn) netio.Handler { return &successor{listener: l, conn: conn} }
	server, err := netio.Listen(l.path, l.limits.HandoverConns, l.limits.Handover, budget, handler)
	if err != nil {
		return fmt.Errorf("listen for successors: %w", err)
	}
	if unused := l.replaceServer(server); unused != nil {
		unused.Close()
	}
	l.goroutines.Go(func() {
		if err := server.Serve(); err != nil { // if the server is closed already, Serve only frees the socket
			log.Error("successor listener failed", logging.KeyError, err)
		}
	})
	return nil
}

// replaceServer makes server the current server. It returns the server that the caller must close: the previous one, if
// any, or the new one if the listener has been closed meanwhile.
func (l *SuccessorListener) replaceServer(server *netio.Server) (unused *netio.Server) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return server
	}
	unused, l.server = l.server, server
	return unused
}

// reopen listens again on the path, which a successor that has ended had taken. It does so in a goroutine of its own, as
// it closes connections, which calls the methods of the listener again.
func (l *SuccessorListener) reopen() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	log.Warn("successor disconnected")
	l.goroutines.Go(func() {
		if err := l.open(); err != nil {
			log.Error("successor listener failed", logging.KeyError, err)
		}
	})
}

// RequestSent passes the id of a request that this process sends to all successors that have taken over. It never blocks.
func (l *SuccessorListener) RequestSent(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for s := range l.readySuccessors {
		s.sent.add(s.conn, id)
	}
}

func (l *SuccessorListener) addReady(s *successor) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.readySuccessors[s] = true
}

func (l *SuccessorListener) removeReady(s *successor) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.readySuccessors, s)
}

// Close stops accepting successors, and closes the connections to the present ones. It returns when all goroutines of the
// listener have ended.
func (l *SuccessorListener) Close() {
	l.mu.Lock()
	server := l.server
	l.server, l.closed = nil, true
	l.mu.Unlock()
	if server != nil {
		server.Close()
	}
	l.goroutines.Wait()
}

// adjustCounts adds to the numbers of connected and of ready successors, and notifies the process of the new stage.
func (l *SuccessorListener) adjustCounts(connected, ready int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.connected, l.ready = l.connected+connected, l.ready+ready
	l.process.SuccessorChanged(l.stage())
}

// stage returns the latest stage of any successor. The caller holds l.mu.
func (l *SuccessorListener) stage() SuccessorStage {
	switch {
	case l.ready > 0:
		return SuccessorReady
	case l.connected > 0:
		return SuccessorStarting
	}
	return NoSuccessor
}
