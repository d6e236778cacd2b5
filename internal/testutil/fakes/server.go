package fakes

import (
	"net"
	"sync"
	"sync/atomic"
)

// Server accepts connections, serves each in a goroutine of its own and owns them until Close.
type Server struct {
	socket   net.Listener
	accepted atomic.Int64

	mu     sync.Mutex
	conns  map[net.Conn]bool // open ones
	closed bool

	goroutines sync.WaitGroup
}

// Listen starts a server at an address. It calls serve for each connection, and closes the connection when that returns.
func Listen(address string, serve func(net.Conn)) (*Server, error) {
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{socket: socket, conns: map[net.Conn]bool{}}
	s.goroutines.Go(func() { s.acceptAll(serve) })
	return s, nil
}

// acceptAll accepts connections until the server is closed.
func (s *Server) acceptAll(serve func(net.Conn)) {
	for {
		conn, err := s.socket.Accept()
		if err != nil {
			return
		}
		s.accepted.Add(1)
		if !s.add(conn) {
			_ = conn.Close() // accepted while the server was being closed
			return
		}
		s.goroutines.Go(func() {
			defer s.remove(conn)
			serve(conn)
		})
	}
}

// add registers a connection; it reports false where the server is closed.
func (s *Server) add(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[conn] = true
	return true
}

// remove closes a connection and forgets it.
func (s *Server) remove(conn net.Conn) {
	_ = conn.Close() // mostly it is closed already
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// Accepted returns how many connections were accepted so far.
func (s *Server) Accepted() int64 { return s.accepted.Load() }

// Addr returns the address that it listens at.
func (s *Server) Addr() string { return s.socket.Addr().String() }

// ResetConns closes all open connections with a TCP reset.
func (s *Server) ResetConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		resetConn(conn)
	}
}

// Close closes the socket and all open connections, and waits until they have been served.
func (s *Server) Close() {
	_ = s.socket.Close() // this ends acceptAll, and nothing else depends on it
	s.mu.Lock()
	s.closed = true
	for conn := range s.conns {
		_ = conn.Close() // it may be closed already
	}
	s.mu.Unlock()
	s.goroutines.Wait()
}

// resetConn closes a connection with a TCP reset where it is one of TCP.
func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails on a closed connection only
	}
	_ = conn.Close() // it may be closed already
}
