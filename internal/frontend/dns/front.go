// Package dns is the front for resolvers: it answers A, AAAA and SRV queries for the configured names
// with page caches that the core chooses, over UDP and TCP.
//
// A name stands for the page caches of the router's own location. Below it, each page cache has a name of
// its own, to which SRV records point. Alike clients, by their subnet if the resolver tells it, get alike
// answers, so that the copies that they want stay in one place.
package dns

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"log/slog"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"hillknot/balancer"
	"hillknot/internal/config"
	"hillknot/internal/core"
	"hillknot/internal/netio"
)

// Core is what the front asks. Resolve is called on the core's goroutine.
type Core interface {
	Post(f func())
	Resolve(q core.EndpointQuery)
}

// Front answers resolvers on one address.
type Front struct {
	core Core
	cfg  config.DNS
	lim  config.Limits
	udp  *net.UDPConn // netpoll has no UDP
	tcp  *netio.Server
	open atomic.Int64 // queries over UDP
}

// Listen opens the sockets, with the same port for both. Where the port is left open, one that is free over TCP may
// be taken over UDP: then another is tried.
func Listen(c Core, cfg config.DNS, lim config.Limits, budget *netio.Budget) (f *Front, err error) {
	for range portTries {
		if f, err = listen(c, cfg, lim, budget); !errors.Is(err, syscall.EADDRINUSE) || !strings.HasSuffix(cfg.Listen, ":0") {
			break
		}
	}
	return f, err
}

const portTries = 8

func listen(c Core, cfg config.DNS, lim config.Limits, budget *netio.Budget) (*Front, error) {
	f := &Front{core: c, cfg: cfg, lim: lim}
	var err error
	f.tcp, err = netio.Listen(cfg.Listen, lim.DNSConns, lim.DNS, budget, func(nc *netio.Conn) netio.Handler {
		return &conn{f: f, nc: nc}
	})
	if err != nil {
		return nil, err
	}
	addr, err := netip.ParseAddrPort(f.Addr())
	if err == nil {
		f.udp, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	}
	if err != nil {
		f.tcp.Close()
		return nil, fmt.Errorf("listen: %w", err)
	}
	return f, nil
}

// Addr is the address listened on.
func (f *Front) Addr() string { return f.tcp.Addr().String() }

// Serve answers until Close.
func (f *Front) Serve() error {
	failed := make(chan error, 2)
	go func() { failed <- f.tcp.Serve() }()
	go func() { failed <- f.datagrams() }()
	return <-failed
}

// Close closes the sockets.
func (f *Front) Close() {
	f.tcp.Close()
	_ = f.udp.Close() // nothing is left to be done about it
}

// datagrams reads queries over UDP. Over the limit they are dropped: resolvers ask again.
func (f *Front) datagrams() error {
	buf := make([]byte, 4096)
	for {
		n, from, err := f.udp.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read: %w", err)
		}
		if f.open.Load() >= int64(f.lim.Resolves) {
			continue
		}
		f.open.Add(1)
		f.take(buf[:n], from, true, func(b []byte) {
			f.open.Add(-1)
			if b == nil {
				return
			}
			if err := f.send(b, from); err != nil {
				slog.Debug("DNS answer not sent", "to", from, "err", err)
			}
		})
	}
}

// send sends a datagram, or drops it where the socket has no room: the core may not wait. A deadline would not do,
// as it can be over before the write has begun, on a machine that is busy.
func (f *Front) send(b []byte, to netip.AddrPort) error {
	raw, err := f.udp.SyscallConn()
	if err != nil {
		return err
	}
	var peer syscall.Sockaddr = &syscall.SockaddrInet6{Port: int(to.Port()), Addr: to.Addr().As16()}
	if to.Addr().Is4() {
		peer = &syscall.SockaddrInet4{Port: int(to.Port()), Addr: to.Addr().As4()}
	}
	var sent error
	err = raw.Write(func(fd uintptr) bool {
		sent = syscall.Sendto(int(fd), b, syscall.MSG_DONTWAIT, peer)
		return true
	})
	return errors.Join(err, sent)
}

// conn is a resolver's connection over TCP.
type conn struct {
	f  *Front
	nc *netio.Conn
}

// Consume implements netio.Handler: two bytes of length stand before each message.
func (c *conn) Consume(buf []byte) (used, want int, err error) {
	from, _ := netip.ParseAddrPort(c.nc.RemoteAddr().String()) // without one, all share one key
	for {
		rest := buf[used:]
		if len(rest) < 2 {
			return used, 2, nil
		}
		n := 2 + int(binary.BigEndian.Uint16(rest))
		if len(rest) < n {
			return used, n, nil
		}
		used += n
		c.f.take(rest[2:n], from, false, func(b []byte) {
			if b == nil {
				c.nc.Close()
				return
			}
			if err := c.nc.Send(append(binary.BigEndian.AppendUint16(nil, uint16(len(b))), b...)); err != nil {
				slog.Debug("DNS answer not sent", "to", from, "err", err)
			}
		})
	}
}

// Closed implements netio.Handler. What is still open is decided all the same: it is at most a moment.
func (c *conn) Closed() {}

// take answers one message by calling send once, with nil where it deserves no answer.
func (f *Front) take(b []byte, from netip.AddrPort, udp bool, send func([]byte)) {
	q, ok, err := parse(b)
	if !ok {
		send(nil)
		return
	}
	size := 1<<16 - 1
	if udp {
		size = q.size
	}
	bare := func(code int) { send(newReply(q, code).finish(q, code, size)) }
	name, below, ours := f.name(q.name)
	var only balancer.EndpointID
	known := true
	if below != "" {
		only, known = labelled(below)
	}
	switch {
	case err != nil:
		q.question, q.edns = nil, false
		bare(codeFormErr)
	case q.flags&opcodeMask != 0:
		bare(codeNotImp)
	case q.edns && q.version != 0:
		bare(codeBadVers)
	case !ours || q.qclass != classIN && q.qclass != classANY:
		bare(codeRefused)
	case !known:
		f.none(q, name, codeNXDomain, size, send)
	case q.qtype != typeA && q.qtype != typeAAAA && (q.qtype != typeSRV || below != ""):
		f.none(q, name, codeOK, size, send)
	default:
		q.question = append([]byte(nil), q.question...) // outlives the buffer
		f.core.Post(func() {
			f.core.Resolve(core.EndpointQuery{Key: f.key(q, from), MaxEndpoints: f.cfg.Answers, OnlyEndpoint: only, Load: f.cfg.Load,
				TTL:     time.Duration(float64(f.cfg.TTL) * f.cfg.Overstay),
				Timeout: f.cfg.Deadline, Reply: func(r core.QueryResult) { f.answer(q, name, size, r, send) }})
		})
	}
}

// name finds the configured name that a name is, or lies below.
func (f *Front) name(s string) (name, below string, ok bool) {
	for _, n := range f.cfg.Names {
		if s == n {
			return n, "", true
		}
		if below, found := strings.CutSuffix(s, "."+n); found {
			return n, below, true
		}
	}
	return "", "", false
}

// key makes alike clients alike.
func (f *Front) key(q query, from netip.AddrPort) uint64 {
	h := fnv.New64a()
	if q.hasSubnet && q.subnet.Bits() > 0 {
		_, _ = h.Write(q.subnet.Addr().AsSlice()) // a hash takes all
	} else {
		_, _ = h.Write(from.Addr().Unmap().AsSlice())
	}
	return h.Sum64()
}

// answer turns what the core found into the reply.
func (f *Front) answer(q query, name string, size int, res core.QueryResult, send func([]byte)) {
	if len(res.Endpoints) == 0 {
		send(newReply(q, codeServFail).finish(q, codeServFail, size))
		return
	}
	r, ttl := newReply(q, codeOK), uint32(f.cfg.TTL/time.Second)
	for i, m := range res.Endpoints {
		addr, err := netip.ParseAddrPort(m.Addr)
		if err != nil {
			continue // a member whose address is no address can't be named
		}
		if q.qtype == typeSRV {
			var data []byte
			for _, v := range []uint16{uint16(i), 0, addr.Port()} { // priority, weight, port
				data = binary.BigEndian.AppendUint16(data, v)
			}
			r.record(answerPart, q.name, typeSRV, classIN, ttl, appendName(data, label(m)+"."+name))
		} else if rtype, data := address(addr.Addr()); rtype == q.qtype {
			r.record(answerPart, q.name, rtype, classIN, ttl, data)
		}
	}
	if r.count[answerPart] == 0 {
		f.none(q, name, codeOK, size, send)
		return
	}
	for _, m := range res.Endpoints {
		if addr, err := netip.ParseAddrPort(m.Addr); err == nil && q.qtype == typeSRV {
			rtype, data := address(addr.Addr())
			r.record(additionalPart, label(m)+"."+name, rtype, classIN, ttl, data)
		}
	}
	send(r.finish(q, codeOK, size))
}

func address(a netip.Addr) (rtype uint16, data []byte) {
	if a = a.Unmap(); a.Is4() {
		return typeA, a.AsSlice()
	}
	return typeAAAA, a.AsSlice()
}

// label is the name of a member below the configured one. Ids may hold what a label may not.
func label(m *core.Endpoint) string {
	return fmt.Sprintf("%s%016x", labelStart, uint64(core.EndpointIDOf(m.ID)))
}

const labelStart = "m-"

// labelled is the member that a label names.
func labelled(s string) (balancer.EndpointID, bool) {
	s, ok := strings.CutPrefix(s, labelStart)
	n, err := strconv.ParseUint(s, 16, 64)
	return balancer.EndpointID(n), ok && err == nil && len(s) == 16
}

// none says that there is no such record, with the SOA record that tells how long that holds.
func (f *Front) none(q query, name string, code, size int, send func([]byte)) {
	r, ttl := newReply(q, code), uint32(f.cfg.TTL/time.Second)
	data := appendName(appendName(nil, "ns."+name), "hostmaster."+name)
	for _, v := range []uint32{1, 3600, 600, 86400, ttl} { // serial, refresh, retry, expire, least TTL
		data = binary.BigEndian.AppendUint32(data, v)
	}
	r.record(authorityPart, name, typeSOA, classIN, ttl, data)
	send(r.finish(q, code, size))
}
