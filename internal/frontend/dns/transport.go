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

// maxQueryUDP bounds a query over UDP, in bytes.
const maxQueryUDP = 4096

// readDatagram reads a datagram into a buffer, as net.UDPConn does.
type readDatagram func(buf []byte) (n int, from netip.AddrPort, err error)

// serveUDP reads queries over UDP until Close, or until the socket is of no more use. Above the limit of open queries they are
// dropped: resolvers retry.
func (s *Server) serveUDP() error {
	buf := make([]byte, maxQueryUDP)
	var pause readPause
	for {
		n, from, err := s.readUDP(buf)
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case isPermanentReadError(err):
			return fmt.Errorf("read: %w", err)
		case err != nil:
			pause.wait(err)
			continue
		}
		pause.reset()
		if s.openUDP.Load() >= int64(s.limits.OpenQueries) {
			continue
		}
		s.openUDP.Add(1)
		s.handle(buf[:n], from, true, func(reply []byte) {
			s.openUDP.Add(-1)
			if reply == nil {
				return
			}
			if err := s.sendUDP(reply, from); err != nil {
				log.Debug("response not sent", logging.KeyClient, from, logging.KeyError, err)
			}
		})
	}
}

// isPermanentReadError tells, of an error of recvmsg(2), that the descriptor is no socket that can be read: no later call
// will do better. All others pass, such as a lack of memory, or come from the network.
func isPermanentReadError(err error) bool {
	for _, errno := range []syscall.Errno{syscall.EBADF, syscall.EFAULT, syscall.EINVAL, syscall.ENOTSOCK} {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}

// A pause after an error of reading lasts minReadPause at first, and twice as long each time, up to maxReadPause.
const (
	minReadPause = time.Millisecond
	maxReadPause = 100 * time.Millisecond
)

// readPause keeps a socket whose reads fail from being read without end.
type readPause struct{ length time.Duration }

// wait waits after an error, the first of which in a row is logged.
func (p *readPause) wait(err error) {
	if p.length == 0 {
		p.length = minReadPause
		log.Warn("reading queries fails", logging.KeyError, err)
	}
	time.Sleep(p.length)
	p.length = min(2*p.length, maxReadPause)
}

// reset notes that a read succeeded.
func (p *readPause) reset() { p.length = 0 }

// sendUDP sends a datagram, or drops it where the socket's buffer is full: the core may not wait. A write deadline would
// not do, as it can be over before the write has begun on a busy machine.
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

// tcpConn is a resolver's connection over TCP.
type tcpConn struct {
	server    *Server
	transport *netio.Conn
}

// lengthSize is the size of the length before each message over TCP, RFC 1035, 4.2.2.
const lengthSize = 2

// Consume implements netio.Handler.
func (c *tcpConn) Consume(buf []byte) (used, want int, err error) {
	from, _ := netip.ParseAddrPort(c.transport.RemoteAddr().String()) // without an address, all clients share one key
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

// send sends a reply, or closes the connection where there is none.
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

// Closed implements netio.Handler. Open queries are decided all the same: that takes a moment at most.
func (c *tcpConn) Closed() {}
