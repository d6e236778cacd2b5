// Package dns is the front end for DNS resolvers: it answers A, AAAA and SRV queries for the configured names with page
// caches that the core chooses, over UDP and TCP.
//
// A configured name stands for the page caches of the router's own zone. Each page cache has a name of its own below
// it, to which SRV records point. Clients of the same subnet get the same answers, so that the objects that they request
// stay cached in one place. If a resolver does not send the subnet, all its clients get the same answers.
package dns

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync/atomic"
	"syscall"

	"hillknot/internal/config"
	"hillknot/internal/core"
	"hillknot/internal/logging"
	"hillknot/internal/netio"
)

var log = logging.For("dns")

// Core chooses page caches. Post may be called from any goroutine, Resolve only on the core's goroutine.
type Core interface {
	Post(f func())
	Resolve(q core.EndpointQuery)
}

// Server answers resolvers on one address, over UDP and TCP.
type Server struct {
	core   Core
	cfg    config.DNS
	limits config.Limits
	udp    *net.UDPConn // not a connection of package netio, as netpoll does not support UDP
	tcp    *netio.Server

	readUDP        readDatagram // reads from udp, unless a test replaces it
	openUDPQueries atomic.Int64 // queries over UDP without a reply
	openQueries    atomic.Int64 // queries that were passed on to the core and have no reply
}

// portAttempts is the largest number of ports that Listen tries if the system chooses the port.
const portAttempts = 8

// Listen opens the TCP and the UDP socket on the same port. If the system chooses the port, a port that is free for TCP
// may be in use for UDP; Listen then tries another one.
func Listen(c Core, cfg config.DNS, limits config.Limits, budget *netio.Budget) (*Server, error) {
	for attempt := 1; ; attempt++ {
		s, err := listenOnce(c, cfg, limits, budget)
		retry := errors.Is(err, syscall.EADDRINUSE) && strings.HasSuffix(cfg.Listen, ":0")
		if !retry || attempt == portAttempts {
			return s, err
		}
	}
}

// listenOnce opens both sockets. The system chooses a port at most once.
func listenOnce(c Core, cfg config.DNS, limits config.Limits, budget *netio.Budget) (*Server, error) {
	s := &Server{core: c, cfg: cfg, limits: limits}
	var err error
	s.tcp, err = netio.Listen(cfg.Listen, limits.DNSConns, limits.DNS, budget, func(transport *netio.Conn) netio.Handler {
		return &tcpConn{server: s, transport: transport}
	})
	if err != nil {
		return nil, err
	}
	addr, err := netip.ParseAddrPort(s.Addr())
	if err == nil {
		s.udp, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	}
	if err != nil {
		s.tcp.Close()
		return nil, fmt.Errorf("listen over UDP: %w", err)
	}
	s.readUDP = s.udp.ReadFromUDPAddrPort
	return s, nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.tcp.Addr().String() }

// Serve answers queries until Close is called or one of the sockets fails, and returns the error of that socket. The other
// socket is served until Close.
func (s *Server) Serve() error {
	failed := make(chan error, 2)
	go func() { failed <- s.tcp.Serve() }()
	go func() { failed <- s.serveUDP() }()
	return <-failed
}

// Close closes the sockets.
func (s *Server) Close() {
	s.tcp.Close()
	_ = s.udp.Close() // an error can't be handled here
}
