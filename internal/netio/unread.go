package netio

import "golang.org/x/sys/unix"

// HasUnreadInput reports whether any connection has input or a close of its peer that the handler has not seen yet, or
// whether a connection is waiting to be accepted. It may be called from any goroutine. If the system cannot report unread
// input, none is assumed.
func (s *Server) HasUnreadInput() bool {
	var sockets []unix.PollFd
	if s.listener.isAccepting() {
		return true
	}
	if s.listener.state.load() == accepting {
		sockets = append(sockets, unix.PollFd{Fd: int32(s.listener.fd), Events: unix.POLLIN})
	}
	buffered := false
	s.forEachConn(func(c *Conn) bool {
		if c.isEnding() {
			return true
		}
		if buffered = c.HasPendingInput(); buffered {
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
	ready, err := unix.Poll(sockets, 0) // a timeout of 0 does not wait
	return err == nil && ready > 0
}

// HasPendingInput reports whether bytes have arrived that the handler has not got yet or is consuming now. It looks at the two in the
// order in which bytes pass through them, so that it does not miss bytes that the handler gets meanwhile.
func (c *Conn) HasPendingInput() bool { return c.HasUnreadInput() || c.isDelivering() }

// isDelivering reports whether the handler is consuming input now.
func (c *Conn) isDelivering() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.delivering
}
