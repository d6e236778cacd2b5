package dns

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"syscall"
	"time"

	"hillknot/internal/logging"
	"hillknot/internal/netio"
)

// maxQueryUDP is the length of the longest query over UDP, in bytes.
const maxQueryUDP = 4096

// readDatagram reads a datagram into buf, like the method ReadFromUDPAddrPort of net.UDPConn.
type readDatagram func(buf []byte) (n int, from netip.AddrPort, err error)

// serveUDP answers queries over UDP until Close is called, or until the socket fails permanently, and returns that error.
// It drops queries over the limit of open queries, as resolvers retry.
func (s *Server) serveUDP() error {
	buf := make([]byte, maxQueryUDP)
	var pause readPause
	for {
		n, from, err := s.readUDP(buf)
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case isPermanentReadError(err):
			return fmt.Errorf("read over UDP: %w", err)
		case err != nil:
			pause.wait(err)
			continue
		}
		pause.reset()
		if s.openUDPQueries.Load() >= int64(s.limits.OpenQueries) {
			continue
		}
		s.openUDPQueries.Add(1)
		s.handle(buf[:n], from, true, func(reply []byte) {
			s.openUDPQueries.Add(-1)
			if reply == nil {
				return
			}
			if err := s.sendUDP(reply, from); err != nil {
				log.Debug("response not sent", logging.KeyClient, from, logging.KeyError, err)
			}
		})
	}
}

// isPermanentReadError reports whether an error of recvmsg(2) means that the descriptor is not a readable socket, so that
// later calls fail as well. All other errors are temporary, such as a lack of memory, or come from the network.
func isPermanentReadError(err error) bool {
	for _, errno := range []syscall.Errno{syscall.EBADF, syscall.EFAULT, syscall.EINVAL, syscall.ENOTSOCK} {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}

// The pause after a read error is minReadPause at first, and doubles with each further error up to maxReadPause.
const (
	minReadPause = time.Millisecond
	maxReadPause = 100 * time.Millisecond
)

// readPause is the pause after a read error. It prevents a busy loop on a socket whose reads fail.
type readPause struct{ length time.Duration }

// wait sleeps after a read error. It logs only the first error in a row.
func (p *readPause) wait(err error) {
	if p.length == 0 {
		p.length = minReadPause
		log.Warn("reading queries fails", logging.KeyError, err)
	}
	time.Sleep(p.length)
	p.length = min(2*p.length, maxReadPause)
}

// reset ends a row of errors. It is called after a read that succeeded.
func (p *readPause) reset() { p.length = 0 }

// sendUDP sends a datagram, or drops it if the socket's buffer is full, as the core's goroutine must not block. A write
// deadline does not work for this: on a busy machine it can expire before the write has begun.
func (s *Server) sendUDP(b []byte, to netip.AddrPort) error {
	raw, err := s.udp.SyscallConn()
	if err != nil {
		return err
	}
	var address syscall.Sockaddr = &syscall.SockaddrInet6{Port: int(to.Port()), Addr: to.Addr().As16()}
	if to.Addr().Is4() {
		address = &syscall.SockaddrInet4{Port: int(to.Port()), Addr: to.Addr().As4()}
	}
	var sendErr error
	err = raw.Write(func(fd uintptr) bool {
		sendErr = syscall.Sendto(int(fd), b, syscall.MSG_DONTWAIT, address)
		return true
	})
	return errors.Join(err, sendErr)
}

// tcpConn is a TCP connection of a resolver.
type tcpConn struct {
	server    *Server
	transport *netio.Conn
}

// lengthSize is the size in bytes of the length that precedes each message over TCP, RFC 1035, 4.2.2.
const lengthSize = 2

// Consume implements netio.Handler.
func (c *tcpConn) Consume(buf []byte) (used, needed int, err error) {
	from, _ := netip.ParseAddrPort(c.transport.RemoteAddr().String()) // if this fails, all clients share one key
	for {
		rest := buf[used:]
		if len(rest) < lengthSize {
			return used, lengthSize, nil
		}
		n := lengthSize + int(binary.BigEndian.Uint16(rest))
		if len(rest) < n {
			return used, n, nil
		}
		used += n
		c.server.handle(rest[lengthSize:n], from, false, c.send)
	}
}

// send sends a reply, or closes the connection if the reply is nil.
func (c *tcpConn) send(reply []byte) {
	if reply == nil {
		c.transport.Close()
		return
	}
	message := append(binary.BigEndian.AppendUint16(nil, uint16(len(reply))), reply...)
	if err := c.transport.Send(message); err != nil {
		log.Debug("response not sent", logging.KeyClient, c.transport.RemoteAddr(), logging.KeyError, err)
	}
}

// Closed implements netio.Handler. Open queries are not cancelled, as the core resolves them within a moment.
func (c *tcpConn) Closed() {}
