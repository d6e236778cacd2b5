package fakes

import (
	"io"
	"net"
	"sync"
	"syscall"
)

// ConnFault describes when and how a connection fails.
type ConnFault struct {
	ReadLimit  int  // bytes that can be read before the connection fails; negative: no limit
	WriteLimit int  // bytes that can be written before the connection fails; negative: no limit
	Stall      bool // true: the failed connection stays open and transfers nothing; false: it is reset
}

// NewFaultyConn returns a connection that behaves like conn until it reaches one of the limits of fault.
func NewFaultyConn(conn net.Conn, fault ConnFault) net.Conn {
	return &faultyConn{Conn: conn, fault: fault, closed: make(chan struct{})}
}

// faultyConn is a connection that fails at the limits of its fault.
type faultyConn struct {
	net.Conn
	mu     sync.Mutex
	fault  ConnFault // the limits hold the bytes that remain
	failed bool

	closeOnce sync.Once
	closed    chan struct{}
}

// Read implements net.Conn.
func (c *faultyConn) Read(b []byte) (int, error) {
	c.mu.Lock()
	limit, failed := c.fault.ReadLimit, c.failed
	c.mu.Unlock()
	if limit == 0 || failed {
		return 0, c.failRead()
	}
	if limit > 0 && len(b) > limit {
		b = b[:limit]
	}
	n, err := c.Conn.Read(b)
	if c.countRead(n) {
		n, err = 0, io.EOF
	}
	if n == 0 && err != nil {
		err = c.failRead()
	}
	return n, err
}

// countRead subtracts n bytes from the read limit. It reports whether the connection has failed in the meantime.
func (c *faultyConn) countRead(n int) (failed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fault.ReadLimit > 0 {
		c.fault.ReadLimit -= n
	}
	return c.failed
}

// Write implements net.Conn.
func (c *faultyConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fault.WriteLimit < 0 {
		return c.Conn.Write(b)
	}
	if len(b) <= c.fault.WriteLimit && !c.failed {
		n, err := c.Conn.Write(b)
		c.fault.WriteLimit -= n
		return n, err
	}
	n := 0
	if !c.failed {
		n, _ = c.Conn.Write(b[:c.fault.WriteLimit]) // Write returns the scripted error instead
	}
	c.fault.WriteLimit, c.failed = 0, true
	if c.fault.Stall {
		return len(b), nil // the writer must not notice that nothing is sent
	}
	resetConn(c.Conn)
	return n, syscall.ECONNRESET
}

// failRead marks the connection as failed and returns the error of the read. A connection that stalls blocks until Close; any
// other one is reset.
func (c *faultyConn) failRead() error {
	c.mu.Lock()
	stall := c.fault.Stall
	c.failed = true
	c.mu.Unlock()
	if stall {
		<-c.closed
		return net.ErrClosed
	}
	resetConn(c.Conn)
	return syscall.ECONNRESET
}

// Close implements net.Conn.
func (c *faultyConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
