package faultnet

import (
	"io"
	"net"
	"net/netip"
	"time"
)

const (
	dialTimeout = time.Second
	// blockedHold is for how long a connection that is opened while its direction is blocked stays open, unanswered.
	blockedHold = 3 * time.Second
)

// relay is a TCP connection that is forwarded.
type relay struct {
	direction direction // from the process that opened it
	client    net.Conn  // to that process
	server    net.Conn  // to the other one
}

// close closes both connections. Either may be closed already.
func (r *relay) close() {
	_ = r.client.Close()
	_ = r.server.Close()
}

// acceptConnections forwards TCP connections to a process until its proxy is closed.
func (n *Network) acceptConnections(to int, p *proxy) {
	for {
		client, err := p.tcp.Accept()
		if err != nil {
			return
		}
		n.goroutines.Go(func() { n.forwardConnection(client, to, p.target) })
	}
}

// forwardConnection forwards one connection until either end closes it.
func (n *Network) forwardConnection(client net.Conn, to int, target netip.AddrPort) {
	defer client.Close()
	source, _ := netip.ParseAddrPort(client.RemoteAddr().String()) // the address of a TCP connection always parses
	d := direction{n.sender(source.Addr()), to}
	if _, forwarded := n.draw(d); !forwarded {
		holdUnanswered(client)
		return
	}
	server, err := net.DialTimeout("tcp", target.String(), dialTimeout)
	if err != nil {
		return
	}
	r := &relay{direction: d, client: client, server: server}
	defer n.removeRelay(r)
	if !n.addRelay(r) {
		return
	}
	n.goroutines.Go(func() {
		n.copyBytes(r.client, r.server, d.reverse())
		r.close()
	})
	n.copyBytes(r.server, r.client, d)
}

// holdUnanswered discards what comes on a connection for a while.
func holdUnanswered(conn net.Conn) {
	_ = conn.SetReadDeadline(time.Now().Add(blockedHold)) // fails on a closed connection only, as the read then does
	_, _ = io.Copy(io.Discard, conn)
}

// addRelay registers an open relay; it reports false where the network is closed.
func (n *Network) addRelay(r *relay) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return false
	}
	n.relays[r] = true
	return true
}

// removeRelay closes a relay and forgets it.
func (n *Network) removeRelay(r *relay) {
	n.mu.Lock()
	defer n.mu.Unlock()
	r.close()
	delete(n.relays, r)
}

// copyBytes copies one direction of a connection until either end is closed. It drops what comes while the direction is
// blocked.
func (n *Network) copyBytes(to, from net.Conn, d direction) {
	buf := make([]byte, packetBufferSize)
	for {
		size, err := from.Read(buf)
		if err != nil {
			return
		}
		n.mu.Lock()
		blocked, maxDelay := n.blocked[d], n.maxDelay
		n.mu.Unlock()
		if blocked {
			continue
		}
		time.Sleep(maxDelay / 2)
		if _, err := to.Write(buf[:size]); err != nil {
			return
		}
	}
}
