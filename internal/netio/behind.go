package netio

import "golang.org/x/sys/unix"

// HasUnreadInput tells whether connections hold something that has not been handed on yet, bytes or the end of the peer, or wait to
// be accepted. It may be called anywhere. Where the system does not tell, nothing is behind.
func (s *Server) HasUnreadInput() bool {
	var sockets []unix.PollFd
	if !s.ln.shut.Load() && !s.ln.paused.Load() {
		sockets = append(sockets, unix.PollFd{Fd: int32(s.ln.fd), Events: unix.POLLIN})
	}
	behind := false
	s.conns.Range(func(k, _ any) bool {
		c := k.(*Conn)
		if c.ending() {
			return true
		}
		if behind = c.unhanded(); behind {
			return false
		}
		if fd, ok := c.nc.(interface{ Fd() int }); ok && c.nc.IsActive() {
			sockets = append(sockets, unix.PollFd{Fd: int32(fd.Fd()), Events: unix.POLLIN | unix.POLLRDHUP})
		}
		return true
	})
	if behind || len(sockets) == 0 {
		return behind
	}
	n, err := unix.Poll(sockets, 0) // a time-out of 0: it does not wait
	return err == nil && n > 0
}

// unhanded tells whether bytes were read from the socket that the handler has not seen yet.
func (c *Conn) unhanded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.taking || c.nc.Reader().Len() > c.kept
}
