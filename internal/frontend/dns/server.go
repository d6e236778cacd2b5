// Package dns is the front end for DNS resolvers: it answers A, AAAA and SRV queries for the configured names with page
// caches that the core chooses, over UDP and TCP.
//
// A name stands for the page caches of the router's own location. Below it, each page cache has a name of its own, to
// which SRV records point. Clients of the same subnet (of the same resolver, where the subnet is not told) get the same
// answers, so that the objects that they ask for stay cached in one place.
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

// Core chooses page caches. Post may be called anywhere, Resolve on the core's goroutine.
type Core interface {
	Post(f func())
	Resolve(q core.EndpointQuery)
}

// Server answers resolvers on one address, over UDP and TCP.
type Server struct {
	core   Core
	cfg    config.DNS
	limits config.Limits
	udp    *net.UDPConn // netpoll has no UDP
	tcp    *netio.Server

	readUDP readDatagram
	openUDP atomic.Int64 // queries over UDP without an answer
}

// portAttempts bounds how often Listen tries another port where the system chooses it.
const portAttempts = 8

// Listen opens the sockets, with the same port for both. Where the system chooses the port, one that is free over TCP
// may be taken over UDP: then it tries another.
func Listen(c Core, cfg config.DNS, limits config.Limits, budget *netio.Budget) (*Server, error) {
	for attempt := 1; ; attempt++ {
		s, err := listenOnce(c, cfg, limits, budget)
		retry := errors.Is(err, syscall.EADDRINUSE) && strings.HasSuffix(cfg.Listen, ":0")
		if !retry || attempt == portAttempts {
			return s, err
		}
	}
}

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
		return nil, fmt.Errorf("listen: %w", err)
	}
	s.readUDP = s.udp.ReadFromUDPAddrPort
	return s, nil
}

// Addr is the address listened on.
func (s *Server) Addr() string { return s.tcp.Addr().String() }

// Serve answers queries until Close, or until one of the sockets fails. The goroutine of the other socket ends with Close.
func (s *Server) Serve() error {
	failed := make(chan error, 2)
	go func() { failed <- s.tcp.Serve() }()
	go func() { failed <- s.serveUDP() }()
	return <-failed
}

// Close closes the sockets.
func (s *Server) Close() {
	s.tcp.Close()
	_ = s.udp.Close() // nothing is left to be done about an error
}
