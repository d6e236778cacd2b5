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

	"hillknot/internal/clock"
	"hillknot/internal/config"
)

// Server accepts connections on one listener. Its life: Listen or ListenInherited, Serve, then, where replies are
// to be sent first, Shutdown, and at last Close.
type Server struct {
	listener   *pausableListener
	limits     config.ConnLimits
	budget     *Budget
	newHandler func(*Conn) Handler

	conns  sync.Map // the connections that are open, by *Conn
	places places

	mu      sync.Mutex // guards state and loop
	state   serverState
	loop    netpoll.EventLoop // the latest; each pause of the listener ends one
	closing chan struct{}     // closed by Close: the sweeper is to end
	served  chan struct{}     // closed as Serve returns
	sweeper sync.WaitGroup

	// IdleTimeouts, if set before Serve, returns how long connections without pending replies may stay at present:
	// those on which nothing moves, and those that are in the middle of a message. Server calls it several times a
	// second.
	IdleTimeouts func() (idle, partialMessage time.Duration)
}

// serverState is the life of a server.
type serverState uint8

const (
	serverListening serverState = iota // connections wait in the queue of the socket
	serverServing                      // Serve was called
	serverClosed                       // Close was called
)

// connKey is the key of a connection in its netpoll context. It is absent from the context of one that is rejected.
type connKey struct{}

// Listen opens a listener on an address with a port, or on a path. At most maxConns connections are open at a time:
// a new one takes the place of one that has no pending replies, and is closed at once where there is none.
func Listen(
	addr string, maxConns int, limits config.ConnLimits, budget *Budget, newHandler func(*Conn) Handler,
) (*Server, error) {
	ln, err := listen(addr)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return newServer(ln, maxConns, limits, budget, newHandler)
}

// ListenInherited is Listen on a socket that this process was started with and that listens already. Other
// processes may have it too: it is closed here, but never shut down.
func ListenInherited(
	fd, maxConns int, limits config.ConnLimits, budget *Budget, newHandler func(*Conn) Handler,
) (*Server, error) {
	ln, err := inherited(fd)
	if err != nil {
		return nil, fmt.Errorf("descriptor %d: %w", fd, err)
	}
	return newServer(ln, maxConns, limits, budget, newHandler)
}

func newServer(
	ln net.Listener, maxConns int, limits config.ConnLimits, budget *Budget, newHandler func(*Conn) Handler,
) (*Server, error) {
	listener, err := newPausableListener(ln)
	if err != nil {
		_ = ln.Close() // the first error is the one to report
		return nil, fmt.Errorf("listen: %w", err)
	}
	s := &Server{listener: listener, limits: limits, budget: budget, newHandler: newHandler,
		closing: make(chan struct{}), served: make(chan struct{})}
	listener.holdOff = s.holdOffNew
	listener.exhausted = func() { s.evict(rankIdle) }
	s.SetMaxConns(maxConns)
	if s.loop, err = s.newLoop(); err != nil {
		_ = ln.Close()
		return nil, fmt.Errorf("listen: %w", err)
	}
	return s, nil
}

func (s *Server) newLoop() (netpoll.EventLoop, error) {
	return netpoll.NewEventLoop(s.onRequest, netpoll.WithOnPrepare(s.onPrepare), netpoll.WithOnConnect(s.onConnect))
}

// Addr is the address that the server listens on.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// OpenConns is how many connections are open.
func (s *Server) OpenConns() int { return int(s.places.open.Load()) }

// StopAccepting leaves new connections to others who have the same socket. Those that are open stay, though Serve
// may return.
func (s *Server) StopAccepting() { s.listener.state.stop() }

// Serve accepts connections until Close or StopAccepting. It is called once.
func (s *Server) Serve() error {
	if !s.startServing() {
		return s.listener.Close() // Close leaves this to Serve, which owns the listener once it is called
	}
	defer close(s.served)
	for {
		err := s.currentLoop().Serve(s.listener)
		if err == nil || s.listener.state.load() == acceptStopped {
			return nil
		}
		if isLackOfResources(err) { // the poller has not taken the listener
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

// isLackOfResources says, of an error of epoll_ctl(2), that the machine lacks something for the time being.
func isLackOfResources(err error) bool {
	return errors.Is(err, syscall.ENOMEM) || errors.Is(err, syscall.ENOSPC)
}

// resumeAfterPause waits until the pause of the listener is over, and makes the loop that is to serve it then. It
// returns false where the server closes or no longer accepts.
func (s *Server) resumeAfterPause() (bool, error) {
	pause := time.NewTimer(s.listener.pauseLength())
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

// startServing starts the sweeper, unless Close was called before.
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

// Shutdown stops accepting and closes what is open: what was read is answered, what was sent is written, and input
// that comes now is discarded. It returns once the peers have closed their side too, or at the deadline, a reading
// of package clock. Close is to follow.
func (s *Server) Shutdown(deadline time.Duration) {
	s.listener.state.stop()
	for s.places.open.Load() > 0 && clock.Now() < deadline {
		s.forEachConn(func(c *Conn) bool { c.CloseAfterReplies(closeShutdown); return true })
		time.Sleep(shutdownPollInterval)
	}
}

// shutdownPollInterval is how often Shutdown looks whether all connections have closed.
const shutdownPollInterval = 2 * time.Millisecond

// Close stops accepting and closes what is open at once. It returns after Serve has, and is called once.
func (s *Server) Close() {
	s.listener.state.stop() // also where Serve begins in this moment
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

// loopStopTimeout is how long netpoll may take to close connections that are in use. Those that it leaves open,
// Close closes.
const loopStopTimeout = time.Millisecond

func (s *Server) stopLoop() {
	ctx, cancel := context.WithTimeout(context.Background(), loopStopTimeout)
	defer cancel()
	_ = s.currentLoop().Shutdown(ctx)
}

// awaitServe waits until Serve has returned. The loop is stopped again meanwhile: a stop is lost on a loop that is
// just about to begin.
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

// forEachConn calls f for the connections that are open until f returns false.
func (s *Server) forEachConn(f func(*Conn) bool) {
	s.conns.Range(func(key, _ any) bool { return f(key.(*Conn)) })
}

// onPrepare is netpoll's call for a new connection that is not registered yet. It finds a place for it.
func (s *Server) onPrepare(transport netpoll.Connection) context.Context {
	if !s.takePlace() {
		return context.Background() // onConnect closes it: here netpoll has yet to set it up
	}
	c := newConn(transport, s.limits, s.budget)
	c.handler = s.newHandler(c)
	s.conns.Store(c, nil)
	_ = transport.AddCloseCallback(func(transport netpoll.Connection) error { // fails on nil only
		s.freePlace(c)
		s.conns.Delete(c)
		return c.transportClosed(transport)
	})
	return context.WithValue(context.Background(), connKey{}, c)
}

// onConnect is netpoll's call for a new connection that can be used.
func (s *Server) onConnect(ctx context.Context, transport netpoll.Connection) context.Context {
	c, ok := ctx.Value(connKey{}).(*Conn)
	if !ok {
		_ = transport.Close() // the close tells the peer that it is rejected
		return ctx
	}
	c.open()
	if h, ok := c.handler.(OpenHandler); ok {
		h.Opened()
	}
	return ctx
}

// onRequest is netpoll's call for input.
func (s *Server) onRequest(ctx context.Context, transport netpoll.Connection) error {
	c, ok := ctx.Value(connKey{}).(*Conn)
	if !ok {
		return transport.Close()
	}
	return c.read(ctx, transport)
}
