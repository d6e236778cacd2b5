package netio

import (
	"errors"
	"fmt"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"hillknot/internal/logging"
)

// pausableListener is a listener for netpoll that can stop accepting without closing what it has accepted, and
// pauses after errors that last. What still arrives waits for others who have the same socket. Unlike netpoll's own
// listener it holds one descriptor, which is never made blocking (it would block for another process that has it
// too) and never used or closed once it is closed (by then the number may be another's).
//
// Netpoll is told of a pause as of an end: it takes the listener off its poller, for good. Server.Serve goes on with
// another event loop once the pause is over. Netpoll's own pause would register the number of a descriptor that may
// be closed by then, and can take a listener off the poller only once.
type pausableListener struct {
	net.Listener
	fd          int
	tcp         bool
	accept      acceptFunc
	state       acceptSwitch
	failures    atomic.Int32 // calls of accept(2) in a row that failed
	pausesInRow atomic.Int32

	mu     sync.Mutex // held while fd is used or closed
	closed bool       // fd is no longer this listener's

	// holdOff says whether new connections are to wait in the queue of the socket, for others that have been
	// evicted and have yet to close. exhausted is called where the process or the machine lacks what a connection
	// needs. Both may be nil.
	holdOff   func() bool
	exhausted func()
}

// maxFailures is how many calls in a row may fail for a reason of the connection or of the network, such as a peer
// that has left the queue, before the listener pauses.
const maxFailures = 16

// A pause lasts twice minPause at first and twice as long each time, up to maxPause, which it has reached after
// maxPauseDoublings.
const (
	minPause          = 5 * time.Millisecond
	maxPause          = 100 * time.Millisecond
	maxPauseDoublings = 5
)

// errPaused says that the listener accepts nothing for a while.
var errPaused = fmt.Errorf("accept paused: %w", net.ErrClosed)

// acceptFunc is accept4(2) with the flags that the connections need.
type acceptFunc func(listener int) (fd int, peer syscall.Sockaddr, err error)

func acceptSocket(listener int) (int, syscall.Sockaddr, error) {
	return syscall.Accept4(listener, syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
}

func newPausableListener(ln net.Listener) (*pausableListener, error) {
	l := &pausableListener{Listener: ln, accept: acceptSocket}
	sc, ok := ln.(syscall.Conn)
	if !ok {
		return nil, fmt.Errorf("listener of type %T: %w", ln, errors.ErrUnsupported)
	}
	raw, err := sc.SyscallConn()
	if err == nil {
		err = raw.Control(func(fd uintptr) { l.fd = int(fd) })
	}
	_, l.tcp = ln.(*net.TCPListener)
	return l, err
}

// Fd implements netpoll.Listener.
func (l *pausableListener) Fd() int { return l.fd }

// Accept implements net.Listener in the way that netpoll wants: it returns nil where no connection waits. Netpoll
// takes a listener off its poller at an error that says "closed".
func (l *pausableListener) Accept() (net.Conn, error) {
	if l.state.load() != accepting {
		return nil, net.ErrClosed
	}
	if l.holdOff != nil && l.holdOff() {
		runtime.Gosched() // to the goroutines in which connections close
		return nil, nil
	}
	fd, peer, err := l.acceptOpen()
	if err != nil {
		return nil, l.acceptFailed(err)
	}
	l.failures.Store(0)
	l.pausesInRow.Store(0)
	if l.tcp {
		_ = syscall.SetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_NODELAY, 1) // it works without, but slower
	}
	return acceptedConn{fd: fd, local: l.Addr(), remote: peerAddr(peer)}, nil
}

// acceptOpen calls accept(2), unless the listener is closed.
func (l *pausableListener) acceptOpen() (fd int, peer syscall.Sockaddr, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return -1, nil, net.ErrClosed
	}
	return l.accept(l.fd)
}

// Close implements net.Listener.
func (l *pausableListener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil
	}
	l.closed = true
	return l.Listener.Close()
}

// acceptFailed returns what netpoll is to do about an error of accept(2): nil to call again as soon as the socket
// is ready, or errPaused, or that the listener is of no more use, which ends Serve. The socket stays ready for as long as any connection waits in its queue: after an error
// that lasts it must not be looked at again at once.
func (l *pausableListener) acceptFailed(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return err
	}
	tooMany := l.failures.Add(1) >= maxFailures
	cause := causeOfAcceptError(err)
	if cause == listenerBroken {
		return fmt.Errorf("%w: %w", net.ErrClosed, err)
	}
	if cause == noResources && l.exhausted != nil {
		l.exhausted()
	}
	if !tooMany && (cause == emptyQueue || cause == connectionFailed) {
		return nil
	}
	l.pause(err)
	return errPaused
}

// pause has the listener accept nothing until resume is called.
func (l *pausableListener) pause(cause error) {
	if l.pausesInRow.Add(1) == 1 {
		log.Warn("accept paused", logging.KeyListen, l.Addr(), logging.KeyError, cause)
	}
	l.state.pause()
}

// pauseLength is how long the present pause lasts.
func (l *pausableListener) pauseLength() time.Duration {
	return min(minPause<<min(l.pausesInRow.Load(), maxPauseDoublings), maxPause)
}

// acceptErrorCause groups the errors of accept(2) by what they are due to.
type acceptErrorCause uint8

const (
	unknownCause     acceptErrorCause = iota
	emptyQueue                        // no connection waits, or another process was quicker
	connectionFailed                  // the connection has failed already, and is out of the queue
	noResources                       // the process or the machine lacks descriptors or memory
	listenerBroken                    // no later call will do better: the socket does not listen any more
)

func causeOfAcceptError(err error) acceptErrorCause {
	switch err {
	case syscall.EAGAIN:
		return emptyQueue
	case syscall.EINTR, syscall.ECONNABORTED, syscall.EPROTO, syscall.EPERM, syscall.ENETDOWN, syscall.ENOPROTOOPT,
		syscall.EHOSTDOWN, syscall.ENONET, syscall.EHOSTUNREACH, syscall.EOPNOTSUPP, syscall.ENETUNREACH, syscall.ETIMEDOUT:
		return connectionFailed
	case syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM:
		return noResources
	case syscall.EBADF, syscall.EFAULT, syscall.EINVAL, syscall.ENOTSOCK:
		return listenerBroken
	}
	return unknownCause
}

// acceptedConn is what netpoll makes a connection of: it asks for the descriptor and the addresses alone.
type acceptedConn struct {
	net.Conn
	fd            int
	local, remote net.Addr
}

// Fd implements netpoll.Conn.
func (a acceptedConn) Fd() int { return a.fd }

// LocalAddr implements net.Conn.
func (a acceptedConn) LocalAddr() net.Addr { return a.local }

// RemoteAddr implements net.Conn.
func (a acceptedConn) RemoteAddr() net.Addr { return a.remote }
