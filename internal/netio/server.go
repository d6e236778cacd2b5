package netio

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"

	"hillknot/internal/clock"
	"hillknot/internal/config"
)

// Server accepts connections on one listener. Listen or ListenInherited creates it and Serve runs it. Close ends it;
// Shutdown may be called before Close so that pending replies are sent first.
type Server struct {
	listener   *pausableListener
	limits     config.ConnLimits
	budget     *Budget
	newHandler func(*Conn) Handler

	conns sync.Map // open connections: keys are *Conn, values are nil
	slots connSlots

	mu      sync.Mutex // guards state and loop
	state   serverState
	loop    netpoll.EventLoop // current event loop; each pause of the listener replaces it
	closing chan struct{}     // closed by Close, to end the sweeper and the pause of Serve
	served  chan struct{}     // closed when Serve returns
	sweeper sync.WaitGroup

	// IdleTimeouts, if set before Serve, returns the current timeouts for connections without pending replies: idle for
	// those that neither receive nor write, and partialMessage for those whose incoming message is incomplete. Server
	// calls it at each sweep, several times a second with the default limits.
	IdleTimeouts func() (idle, partialMessage time.Duration)
}

// serverState is the stage in the life cycle of a server.
type serverState uint8

const (
	serverListening serverState = iota // connections wait in the queue of the socket
	serverServing                      // Serve was called
	serverClosed                       // Close was called
)

// Listen opens a listener on an address with a port, or on the path of a Unix socket. At most maxConns connections are
// open at a time: beyond that, a new connection replaces one without pending replies, and is closed immediately if there
// is none.
func Listen(
	addr string, maxConns int, limits config.ConnLimits, budget *Budget, newHandler func(*Conn) Handler,
) (*Server, error) {
	ln, err := listen(addr)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return newServer(ln, maxConns, limits, budget, newHandler)
}

// ListenInherited is like Listen, but uses a listening socket that this process inherited as descriptor fd. Other
// processes may share the socket, so it is closed in this process but never shut down.
func ListenInherited(
	fd, maxConns int, limits config.ConnLimits, budget *Budget, newHandler func(*Conn) Handler,
) (*Server, error) {
	ln, err := inheritedListener(fd)
	if err != nil {
		return nil, fmt.Errorf("descriptor %d: %w", fd, err)
	}
	return newServer(ln, maxConns, limits, budget, newHandler)
}

func newServer(
	ln net.Listener, maxConns int, limits config.ConnLimits, budget *Budget, newHandler func(*Conn) Handler,
) (*Server, error) {
	if limits.ReceiveBuffer > 0 {
		setReceiveBuffer(ln, limits.ReceiveBuffer) // connections inherit it
	}
	listener, err := newPausableListener(ln)
	if err != nil {
		_ = ln.Close() // the first error is the one to report
		return nil, fmt.Errorf("listen: %w", err)
	}
	s := &Server{listener: listener, limits: limits, budget: budget, newHandler: newHandler,
		closing: make(chan struct{}), served: make(chan struct{})}
	listener.adopt = s.adopt
	listener.holdOff = s.shouldHoldOff
	listener.isFull = s.slots.isFull
	listener.onResourcesExhausted = func() { s.evict(rankIdle) }
	s.SetMaxConns(maxConns)
	if s.loop, err = s.newLoop(); err != nil {
		_ = ln.Close()
		return nil, fmt.Errorf("listen: %w", err)
	}
	return s, nil
}

func (s *Server) newLoop() (netpoll.EventLoop, error) {
	return netpoll.NewEventLoop(ignoreInput)
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// OpenConns returns the number of open connections, including evicted ones that have not closed yet.
func (s *Server) OpenConns() int { return int(s.slots.open.Load()) }

// StopAccepting leaves new connections to other processes that share the socket. Open connections stay open, even though
// Serve may return.
func (s *Server) StopAccepting() { s.listener.state.stop() }

// Serve accepts connections until Close or StopAccepting is called. It must be called only once.
func (s *Server) Serve() error {
	if !s.startServing() {
		return s.listener.Close() // Serve owns the listener once it is called; Server.Close leaves the listener to it
	}
	defer close(s.served)
	for {
		err := s.currentLoop().Serve(s.listener)
		if err == nil || s.listener.state.load() == acceptStopped {
			return nil
		}
		if isLackOfResources(err) { // the poller could not register the listener
			s.listener.pause(err)
		}
		if s.listener.state.load() != acceptPaused {
			return err
		}
		if again, err := s.resumeAfterPause(); !again {
			return err
		}
	}
}

// isLackOfResources reports whether an error of epoll_ctl(2) means that the machine temporarily lacks resources.
func isLackOfResources(err error) bool {
	return errors.Is(err, syscall.ENOMEM) || errors.Is(err, syscall.ENOSPC)
}

// resumeAfterPause waits until the pause of the listener is over, and creates the event loop that serves it from then on.
// It returns false if the server is closing or has stopped accepting, or if the event loop can't be created.
func (s *Server) resumeAfterPause() (bool, error) {
	pause := time.NewTimer(s.listener.pauseDuration())
	defer pause.Stop()
	select {
	case <-s.closing:
		return false, nil
	case <-pause.C:
	}
	loop, err := s.newLoop()
	if err != nil {
		return false, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == serverClosed || s.listener.state.resume() == acceptStopped {
		return false, nil
	}
	s.loop = loop
	return true, nil
}

func (s *Server) currentLoop() netpoll.EventLoop {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loop
}

// startServing starts the sweeper and returns true, or returns false if Close was already called.
func (s *Server) startServing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == serverClosed {
		return false
	}
	s.state = serverServing
	s.sweeper.Go(s.sweep)
	return true
}

// Shutdown stops accepting and closes the open connections gracefully: requests that have arrived are answered, and queued
// messages are written. A connection is closed once nothing has arrived on it that was not answered; after shutdownPartialTime,
// an incomplete message does not put that off. A peer that sends without pause keeps its connection until shutdownFlushTime before
// the deadline, and what it has sent by then and was not read is discarded. Shutdown returns once the peers have closed their
// sides too, or at the deadline, which is a reading of package clock. The caller must call Close afterwards.
func (s *Server) Shutdown(deadline time.Duration) {
	s.listener.state.stop()
	now := clock.Now()
	partialUntil := now + shutdownPartialTime
	readUntil := deadline - min(shutdownFlushTime, (deadline-now)/2)
	for ; s.slots.open.Load() > 0 && now < deadline; now = clock.Now() {
		s.forEachConn(func(c *Conn) bool {
			switch {
			case now >= readUntil:
				c.CloseAfterReplies(closeShutdown)
			case now >= partialUntil:
				c.closeIfIdle(closeShutdown, dropUnfinished)
			default:
				c.closeIfIdle(closeShutdown, keepPartial)
			}
			return true
		})
		time.Sleep(shutdownPollInterval)
	}
}

const (
	shutdownPartialTime = 50 * time.Millisecond // for which Shutdown waits for the rest of incomplete messages
	shutdownFlushTime   = 50 * time.Millisecond // before its deadline, in which Shutdown only writes
)

// shutdownPollInterval is how often Shutdown checks whether all connections have closed.
const shutdownPollInterval = 2 * time.Millisecond

// Close stops accepting and closes all open connections immediately. If Serve was called, Close waits until Serve has
// returned. It must be called only once.
func (s *Server) Close() {
	s.listener.state.stop() // also takes effect if Serve is just starting
	s.mu.Lock()
	wasServing := s.state == serverServing
	s.state = serverClosed
	s.mu.Unlock()
	close(s.closing)
	s.stopLoop()
	s.forEachConn(func(c *Conn) bool { c.Close(); return true })
	s.sweeper.Wait()
	if wasServing {
		s.awaitServe()
	}
}

// loopStopTimeout is how long netpoll may take to close connections that are in use. Close closes the remaining ones.
const loopStopTimeout = time.Millisecond

func (s *Server) stopLoop() {
	ctx, cancel := context.WithTimeout(context.Background(), loopStopTimeout)
	defer cancel()
	_ = s.currentLoop().Shutdown(ctx)
}

// awaitServe waits until Serve has returned. In the meantime it stops the event loop repeatedly, because a stop has no
// effect on a loop that is just about to start.
func (s *Server) awaitServe() {
	ticker := time.NewTicker(loopStopTimeout)
	defer ticker.Stop()
	for {
		select {
		case <-s.served:
			return
		case <-ticker.C:
			s.stopLoop()
		}
	}
}

// forEachConn calls f for each open connection until f returns false.
func (s *Server) forEachConn(f func(*Conn) bool) {
	s.conns.Range(func(key, _ any) bool { return f(key.(*Conn)) })
}

// adopt sets up an accepted connection. The poller calls it, so nothing is read from the connection before adopt returns.
func (s *Server) adopt(accepted acceptedConn) {
	if !s.acquireSlot() {
		_ = unix.Close(accepted.fd) // the peer sees its rejection as a close
		return
	}
	transport, err := netpoll.NewFDConnection(accepted.fd)
	if err != nil { // the poller could not register the connection, and netpoll has closed it
		s.slots.open.Add(-1)
		return
	}
	c := newConn(transport, s.limits, s.budget)
	c.origin.remote = accepted.remote
	defer c.recoverAndClose()
	c.handler = s.newHandler(c)
	s.conns.Store(c, nil)
	_ = transport.AddCloseCallback(func(transport netpoll.Connection) error { // fails only for a nil callback
		s.releaseSlot(c)
		s.conns.Delete(c)
		return c.transportClosed(transport)
	})
	c.open()
	if h, ok := c.handler.(OpenHandler); ok {
		h.Opened()
	}
	_ = transport.SetOnRequest(c.read) // fails never
}

// ignoreInput is the callback of an event loop for input. Its connections have callbacks of their own, see adopt.
func ignoreInput(context.Context, netpoll.Connection) error { return nil }
