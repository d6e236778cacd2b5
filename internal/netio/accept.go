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

// pausableListener is a listener for netpoll. It can stop accepting without closing the connections that it has
// accepted, and it pauses after persistent errors. Connections that arrive in the meantime wait in the queue of the
// socket, where another process that shares the socket can accept them.
//
// Unlike netpoll's own listener it holds a single descriptor. That descriptor is never made blocking, because it would
// then block for other processes that share it too. It is never used or closed again after Close, because the number
// may by then belong to another file.
//
// A pause is reported to netpoll as a closed listener, so netpoll removes the listener from its poller for good.
// Server.Serve continues with a new event loop after the pause. Netpoll's own pause is not used: it would register the
// number of a descriptor that may have been closed, and it can remove a listener from the poller only once.
type pausableListener struct {
	net.Listener
	fd          int
	tcp         bool
	accept      acceptFunc
	state       atomicAcceptState
	setup       atomic.Int32 // connections that are being accepted and that their server does not know yet
	failures    atomic.Int32 // consecutive failed calls of accept(2)
	pausesInRow atomic.Int32

	mu     sync.Mutex // held while fd is used or closed
	closed bool       // fd no longer belongs to this listener

	// adopt takes over an accepted connection.
	adopt func(acceptedConn)

	// holdOff reports whether new connections should wait in the queue of the socket until evicted connections have
	// closed. isFull reports whether a further connection would need the place of another one. onResourcesExhausted is called
	// when the process or the machine lacks the resources for a connection. All may be nil.
	holdOff              func() bool
	isFull               func() bool
	onResourcesExhausted func()
}

// maxAcceptsPerRound is how many connections Accept takes from the queue of the socket. Netpoll calls it once in a round over all
// connections that are ready: while many of them send without pause, a new client would wait for a round for each one before it.
const maxAcceptsPerRound = 32

// maxAcceptFailures is the number of consecutive failed calls of accept(2) at which the listener pauses even though the
// cause is the connection or the network, such as a peer that has left the queue.
const maxAcceptFailures = 16

// The first pause lasts twice minPause. Each consecutive pause lasts twice as long as the one before it, up to maxPause,
// which is reached after maxPauseDoublings doublings.
const (
	minPause          = 5 * time.Millisecond
	maxPause          = 100 * time.Millisecond
	maxPauseDoublings = 5
)

// errPaused is returned by Accept when the listener pauses. It wraps net.ErrClosed, at which netpoll removes the
// listener from its poller.
var errPaused = fmt.Errorf("accept paused: %w", net.ErrClosed)

// acceptFunc accepts a connection from a listening descriptor, as accept4(2) does with the flags that connections need.
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

// Accept implements net.Listener as netpoll requires. It passes the connections that wait to adopt, so that netpoll gets none: it
// returns nil and no error. Netpoll removes a listener from its poller if the text of the error contains "closed".
func (l *pausableListener) Accept() (net.Conn, error) {
	for accepted := range maxAcceptsPerRound {
		if l.state.load() != accepting {
			return nil, net.ErrClosed
		}
		if accepted > 0 && l.isFull != nil && l.isFull() { // holdOff evicts, so it may only be asked for a connection that waits
			return nil, nil
		}
		if accepted == 0 && l.holdOff != nil && l.holdOff() {
			runtime.Gosched() // lets the goroutines run that close connections
			return nil, nil
		}
		err := l.acceptOne()
		if accepted > 0 && classifyAcceptError(err) == emptyQueue {
			return nil, nil
		}
		if err != nil {
			return nil, l.handleAcceptError(err)
		}
		l.failures.Store(0)
		l.pausesInRow.Store(0)
	}
	return nil, nil
}

// acceptOne accepts a connection and passes it to adopt.
func (l *pausableListener) acceptOne() error {
	l.setup.Add(1) // until the server knows the connection
	defer l.setup.Add(-1)
	fd, peer, err := l.acceptUnlessClosed()
	if err != nil {
		return err
	}
	if l.tcp {
		_ = syscall.SetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_NODELAY, 1) // the connection works without it, but slower
	}
	l.adopt(acceptedConn{fd: fd, remote: peerAddr(peer)})
	return nil
}

// isAccepting reports whether a connection has left the queue of the socket and is not known to its server yet.
func (l *pausableListener) isAccepting() bool { return l.setup.Load() > 0 }

// acceptUnlessClosed calls accept(2), or returns net.ErrClosed if the listener is closed.
func (l *pausableListener) acceptUnlessClosed() (fd int, peer syscall.Sockaddr, err error) {
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

// handleAcceptError turns an error of accept(2) into the error that Accept returns to netpoll: nil if netpoll should call
// Accept again as soon as the socket is ready, errPaused if the listener pauses, or an error that ends Serve if the
// listener can no longer be used. The socket stays ready as long as any connection waits in its queue, so after a
// persistent error netpoll must not poll it again immediately.
func (l *pausableListener) handleAcceptError(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return err
	}
	tooMany := l.failures.Add(1) >= maxAcceptFailures
	cause := classifyAcceptError(err)
	if cause == listenerBroken {
		return fmt.Errorf("%w: %w", net.ErrClosed, err)
	}
	if cause == noResources && l.onResourcesExhausted != nil {
		l.onResourcesExhausted()
	}
	if !tooMany && (cause == emptyQueue || cause == connectionFailed) {
		return nil
	}
	l.pause(err)
	return errPaused
}

// pause makes the listener accept nothing until its state is resumed. It logs the first of several consecutive pauses.
func (l *pausableListener) pause(cause error) {
	if l.pausesInRow.Add(1) == 1 {
		log.Warn("accept paused", logging.KeyListen, l.Addr(), logging.KeyError, cause)
	}
	l.state.pause()
}

// pauseDuration returns how long the current pause lasts.
func (l *pausableListener) pauseDuration() time.Duration {
	return min(minPause<<min(l.pausesInRow.Load(), maxPauseDoublings), maxPause)
}

// acceptErrorCause is the cause of an error of accept(2).
type acceptErrorCause uint8

const (
	unknownCause     acceptErrorCause = iota
	emptyQueue                        // no connection is waiting, or another process accepted it first
	connectionFailed                  // the connection has already failed and has left the queue
	noResources                       // the process or the machine lacks descriptors or memory
	listenerBroken                    // all later calls will fail too: the socket no longer listens
)

func classifyAcceptError(err error) acceptErrorCause {
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

// acceptedConn is an accepted connection.
type acceptedConn struct {
	fd     int
	remote net.Addr
}
