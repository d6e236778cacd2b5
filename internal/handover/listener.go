package handover

import (
	"fmt"
	"sync"

	"hillknot/internal/config"
	"hillknot/internal/logging"
	"hillknot/internal/netio"
)

// SuccessorListener waits for successors of this process.
type SuccessorListener struct {
	path    string
	limits  config.Limits
	process Process

	goroutines sync.WaitGroup // those that serve, and those that reopen the socket

	mu       sync.Mutex
	server   *netio.Server
	closed   bool // Close was called: nothing is opened any more
	starting int  // successors that are connected
	ready    int  // of these, those that are ready
}

// ListenForSuccessor listens on a path, in place of whoever did so before. The caller closes the listener.
func ListenForSuccessor(path string, process Process, limits config.Limits) (*SuccessorListener, error) {
	l := &SuccessorListener{path: path, limits: limits, process: process}
	return l, l.open()
}

// open listens on the path, in place of whoever does so now.
func (l *SuccessorListener) open() error {
	budget := netio.NewBudget(2 * l.limits.HandoverStateBytes)
	handler := func(conn *netio.Conn) netio.Handler { return &successor{listener: l, conn: conn} }
	server, err := netio.Listen(l.path, l.limits.HandoverConns, l.limits.Handover, budget, handler)
	if err != nil {
		return fmt.Errorf("hand over: %w", err)
	}
	if unused := l.use(server); unused != nil {
		unused.Close()
	}
	l.goroutines.Go(func() {
		if err := server.Serve(); err != nil { // of a server that is closed, it frees the socket
			log.Error("successor listener failed", logging.KeyError, err)
		}
	})
	return nil
}

// use makes a server the one of the listener, and returns the server that is to be closed: the one before, if there
// is one, or the new one where the listener was closed meanwhile.
func (l *SuccessorListener) use(server *netio.Server) (unused *netio.Server) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return server
	}
	unused, l.server = l.server, server
	return unused
}

// reopen takes back the path of a successor that has ended, in a goroutine of its own: it closes connections, which
// calls back.
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

// Close stops waiting for successors, and ends the connections to those there are. It returns once all goroutines
// of the listener have ended.
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

// count notes that successors have connected or ended, or are ready or no longer, and notifies the process.
func (l *SuccessorListener) count(starting, ready int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.starting, l.ready = l.starting+starting, l.ready+ready
	l.process.SuccessorChanged(l.stage())
}

// stage returns how far successors have come. The caller holds l.mu.
func (l *SuccessorListener) stage() SuccessorStage {
	switch {
	case l.ready > 0:
		return SuccessorReady
	case l.starting > 0:
		return SuccessorStarting
	}
	return NoSuccessor
}
