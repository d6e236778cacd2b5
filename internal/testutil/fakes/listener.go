package fakes

import (
	"net"
	"sync"
	"sync/atomic"
)

// listener accepts connections, serves each in a goroutine of its own and owns them until Close.
type listener struct {
	socket   net.Listener
	accepted atomic.Int64

	mu     sync.Mutex
	conns  map[net.Conn]bool // open ones
	closed bool

	goroutines sync.WaitGroup
}

// listen starts a listener at an address. It calls serve for each connection, and closes the connection when that returns.
func listen(address string, serve func(net.Conn)) (*listener, error) {
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	l := &listener{socket: socket, conns: map[net.Conn]bool{}}
	l.goroutines.Go(func() { l.acceptAll(serve) })
	return l, nil
}

// acceptAll accepts connections until the listener is closed.
func (l *listener) acceptAll(serve func(net.Conn)) {
	for {
		conn, err := l.socket.Accept()
		if err != nil {
			return
		}
		l.accepted.Add(1)
		if !l.add(conn) {
			_ = conn.Close() // accepted while the listener was being closed
			return
		}
		l.goroutines.Go(func() {
			defer l.remove(conn)
			serve(conn)
		})
	}
}

// add registers a connection; it reports false where the listener is closed.
func (l *listener) add(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	l.conns[conn] = true
	return true
}

// remove closes a connection and forgets it.
func (l *listener) remove(conn net.Conn) {
	_ = conn.Close() // mostly it is closed already
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, conn)
}

// Accepted returns how many connections were accepted so far.
func (l *listener) Accepted() int64 { return l.accepted.Load() }

// Addr returns the address that it listens at.
func (l *listener) Addr() string { return l.socket.Addr().String() }

// Close closes the listener and all open connections, and waits until they have been served.
func (l *listener) Close() {
	_ = l.socket.Close() // this ends acceptAll, and nothing else depends on it
	l.mu.Lock()
	l.closed = true
	for conn := range l.conns {
		_ = conn.Close() // it may be closed already
	}
	l.mu.Unlock()
	l.goroutines.Wait()
}

// resetConn closes a connection with a TCP reset where it is one of TCP.
func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails on a closed connection only
	}
	_ = conn.Close() // it may be closed already
}
