package fakes

import (
	"net"
	"sync"
	"sync/atomic"
)

// Server accepts connections, serves each of them in a goroutine of its own, and closes them when it is closed.
type Server struct {
	listener net.Listener
	accepted atomic.Int64 // connections since Listen

	mu     sync.Mutex
	conns  map[net.Conn]bool // open connections
	closed bool

	goroutines sync.WaitGroup
}

// Listen starts a server at address. The server calls serve for each connection, and closes the connection when serve returns.
// Listen returns an error if it cannot listen at address.
func Listen(address string, serve func(net.Conn)) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{listener: listener, conns: map[net.Conn]bool{}}
	s.goroutines.Go(func() { s.acceptConns(serve) })
	return s, nil
}

// acceptConns accepts connections until the server is closed or Accept fails.
func (s *Server) acceptConns(serve func(net.Conn)) {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.accepted.Add(1)
		if !s.addConn(conn) {
			_ = conn.Close() // the server was closed after the connection was accepted
			return
		}
		s.goroutines.Go(func() {
			defer s.removeConn(conn)
			serve(conn)
		})
	}
}

// addConn registers an open connection. It reports whether it did: a closed server takes no connections.
func (s *Server) addConn(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[conn] = true
	return true
}

// removeConn closes a connection and unregisters it.
func (s *Server) removeConn(conn net.Conn) {
	_ = conn.Close() // the connection is usually closed already
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// Accepted returns the number of connections accepted so far.
func (s *Server) Accepted() int64 { return s.accepted.Load() }

// Addr returns the address that the server listens at.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// ResetConns closes all open connections with a TCP reset.
func (s *Server) ResetConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		resetConn(conn)
	}
}

// Close closes the listener and all open connections, and waits until all goroutines of the server have ended.
func (s *Server) Close() {
	_ = s.listener.Close() // this ends acceptConns; nothing else uses the listener
	s.mu.Lock()
	s.closed = true
	for conn := range s.conns {
		_ = conn.Close() // the connection may be closed already
	}
	s.mu.Unlock()
	s.goroutines.Wait()
}

// resetConn closes a connection; a TCP connection is closed with a reset.
func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
	_ = conn.Close() // the connection may be closed already
}
