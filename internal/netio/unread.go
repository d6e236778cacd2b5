package netio

import "golang.org/x/sys/unix"

// HasUnreadInput says whether a connection has input, or its peer's end, that has not been handed on, or one waits
// to be accepted. It may be called from any goroutine. Where the system does not say, there is none.
func (s *Server) HasUnreadInput() bool {
	var sockets []unix.PollFd
	if s.listener.state.load() == accepting {
		sockets = append(sockets, unix.PollFd{Fd: int32(s.listener.fd), Events: unix.POLLIN})
	}
	buffered := false
	s.forEachConn(func(c *Conn) bool {
		if c.isEnding() {
			return true
		}
		if buffered = c.hasBufferedInput(); buffered {
			return false
		}
		if fd, ok := c.socket(); ok {
			sockets = append(sockets, unix.PollFd{Fd: int32(fd), Events: unix.POLLIN | unix.POLLRDHUP})
		}
		return true
	})
	if buffered || len(sockets) == 0 {
		return buffered
	}
	ready, err := unix.Poll(sockets, 0) // a time-out of 0: it does not wait
	return err == nil && ready > 0
}

// hasBufferedInput says whether bytes were read from the socket that the handler has not seen yet.
func (c *Conn) hasBufferedInput() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.delivering || c.transport.Reader().Len() > c.input.unconsumed
}
