package netio

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/netpoll"

	"hillknot/internal/clock"
	"hillknot/internal/config"
)

// Connections that this process accepts.

// Server accepts connections on one listener.
type Server struct {
	ln    *pausableListener
	loop  netpoll.EventLoop
	lim   config.Conn
	max   atomic.Int64
	open  atomic.Int64
	going atomic.Int64 // of these, those that have given way

	crowdedSince atomic.Int64 // reading of package clock since when who is new waits for a place; 0: nobody does

	bud   *Budget
	h     func(*Conn) Handler
	conns sync.Map
	done  chan struct{}

	// IdleTimeouts, if set before Serve, is asked how long connections that owe nothing may stay now: those on which
	// nothing moves, and those that are in the middle of a message.
	IdleTimeouts func() (idle, half time.Duration)
}

type connKey struct{}

// Listen opens the listener. At most max connections are open at a time: a new one takes the place of one that
// owes nothing, and is closed at once where there is none.
func Listen(addr string, max int, lim config.Conn, budget *Budget, h func(*Conn) Handler) (*Server, error) {
	ln, err := listen(addr)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return serve(ln, max, lim, budget, h)
}

// ListenInherited is Listen on a socket that this process was given and that listens already. Others may have it too: it
// is closed here, but never shut down.
func ListenInherited(fd int, max int, lim config.Conn, budget *Budget, h func(*Conn) Handler) (*Server, error) {
	ln, err := inherited(fd)
	if err != nil {
		return nil, fmt.Errorf("descriptor %d: %w", fd, err)
	}
	return serve(ln, max, lim, budget, h)
}

func serve(ln net.Listener, max int, lim config.Conn, budget *Budget, h func(*Conn) Handler) (*Server, error) {
	g, err := newGate(ln)
	if err != nil {
		_ = ln.Close() // the first error is the one to report
		return nil, fmt.Errorf("listen: %w", err)
	}
	s := &Server{ln: g, lim: lim, bud: budget, h: h, done: make(chan struct{})}
	g.hold = s.crowded
	g.exhausted = func() { s.evict(restIdle) }
	s.SetMaxConns(max)
	s.loop, err = netpoll.NewEventLoop(s.request, netpoll.WithOnPrepare(s.prepare), netpoll.WithOnConnect(s.opened))
	if err != nil {
		_ = ln.Close()
		return nil, fmt.Errorf("listen: %w", err)
	}
	return s, nil
}

// SetMaxConns changes how many connections may be open. Of those that are over it, the silent and the idle close.
func (s *Server) SetMaxConns(max int) {
	s.max.Store(int64(max))
	for s.open.Load()-s.going.Load() > int64(max) && s.evict(restIdle) == evictDone {
	}
}

// OpenConns is how many connections are open.
func (s *Server) OpenConns() int { return int(s.open.Load()) }

// StopAccepting leaves new connections to others who have the same socket; what is open goes on.
func (s *Server) StopAccepting() { s.ln.shut.Store(true) }

// Addr is the address that the server listens on.
func (s *Server) Addr() net.Addr { return s.ln.Addr() }

// Serve accepts until Close.
func (s *Server) Serve() error {
	select {
	case <-s.done: // closed before it began
		return s.ln.Close()
	default:
	}
	go s.sweep()
	if err := s.loop.Serve(s.ln); err != nil && !s.ln.shut.Load() {
		return err
	}
	return nil
}

// sweep closes connections that owe nothing and on which nothing has moved for the idle time, or for the
// shorter one in which a new peer must have said something: a peer that vanished says nothing, and others
// connect and stay for good.
func (s *Server) sweep() {
	t := time.NewTicker(min(s.lim.Idle, s.lim.Silent) / 8)
	defer t.Stop()
	for {
		select {
		case <-s.done:
			return
		case <-t.C:
			now := clock.Now()
			most, half := s.lim.Idle, s.lim.Idle
			if s.IdleTimeouts != nil {
				most, half = s.IdleTimeouts()
			}
			s.conns.Range(func(k, _ any) bool {
				c := k.(*Conn)
				idle, ok := c.idleFor(now)
				if began := time.Duration(c.half.Load()); began > 0 {
					if ok && now-began > half {
						c.retire(closeHalf, true)
					}
				} else if ok && (idle > most || idle > s.lim.Silent && !c.spoke.Load()) {
					c.retire(closeIdle, false)
				}
				return true
			})
		}
	}
}

// Shutdown stops accepting and ends what is open: what was read is answered, what was sent is written, and what comes is
// thrown away. It returns once the
// peers have ended their side too, or at a reading of package clock. Close is to follow.
func (s *Server) Shutdown(until time.Duration) {
	s.ln.shut.Store(true)
	for s.open.Load() > 0 && clock.Now() < until {
		s.conns.Range(func(c, _ any) bool { c.(*Conn).CloseAfterReplies(closeEnding); return true })
		time.Sleep(finishLook)
	}
}

// finishLook is how often Finish looks whether all have ended.
const finishLook = 2 * time.Millisecond

// Close stops accepting and closes what is open. It is called once.
func (s *Server) Close() {
	s.ln.shut.Store(true) // also where Serve begins in this moment
	close(s.done)
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	_ = s.loop.Shutdown(ctx) // what it leaves open is closed below
	s.conns.Range(func(c, _ any) bool { c.(*Conn).Close(); return true })
}

func (s *Server) prepare(nc netpoll.Connection) context.Context {
	most, n := s.max.Load(), s.open.Add(1)
	if n > s.bound() || n-s.going.Load() > most && s.evict(restMoving) != evictDone {
		s.open.Add(-1)
		return context.Background() // it is closed in opened: here netpoll has yet to set it up
	}
	c := newConn(nc, s.lim, s.bud)
	c.h = s.h(c)
	s.conns.Store(c, nil)
	_ = nc.AddCloseCallback(func(nc netpoll.Connection) error { // fails on nil only
		s.open.Add(-1)
		if c.evicted.Swap(true) {
			s.going.Add(-1)
		}
		s.conns.Delete(c)
		return c.closing(nc)
	})
	return context.WithValue(context.Background(), connKey{}, c)
}

func (s *Server) opened(ctx context.Context, nc netpoll.Connection) context.Context {
	c, ok := ctx.Value(connKey{}).(*Conn)
	if !ok {
		_ = nc.Close() // a peer that is turned away is told so by the close
		return ctx
	}
	if o, ok := c.h.(OpenHandler); ok {
		o.Opened()
	}
	return ctx
}

func (s *Server) request(ctx context.Context, nc netpoll.Connection) error {
	c, ok := ctx.Value(connKey{}).(*Conn)
	if !ok {
		return nc.Close()
	}
	return c.read(ctx, nc)
}
