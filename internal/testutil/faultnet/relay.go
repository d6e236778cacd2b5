package faultnet

import (
	"io"
	"net"
	"net/netip"
	"time"
)

const (
	// dialTimeout bounds the time that a proxy takes to connect to its process.
	dialTimeout = time.Second
	// blockedHoldTime is how long a new connection that is blocked or lost stays open without an answer.
	blockedHoldTime = 3 * time.Second
)

// relay forwards a TCP connection: it joins the connection from the sender to one to the receiver.
type relay struct {
	direction direction // from the process that opened the connection
	client    net.Conn  // connection with the process that opened it
	server    net.Conn  // connection with the process that it was opened to
}

// close closes both connections, either of which may be closed already.
func (r *relay) close() {
	_ = r.client.Close()
	_ = r.server.Close()
}

// acceptConnections accepts and forwards the TCP connections to the process receiver, until its proxy is closed.
func (n *Network) acceptConnections(receiver int, p *proxy) {
	for {
		client, err := p.tcp.Accept()
		if err != nil {
			return
		}
		n.goroutines.Go(func() { n.forwardConnection(client, receiver, p.target) })
	}
}

// forwardConnection forwards one connection to the process receiver, which listens at target, until either end closes it.
func (n *Network) forwardConnection(client net.Conn, receiver int, target netip.AddrPort) {
	defer client.Close()
	source, _ := netip.ParseAddrPort(client.RemoteAddr().String()) // the address of a TCP connection always parses
	d := direction{n.senderNumber(source.Addr()), receiver}
	if _, forwarded := n.drawDelivery(d); !forwarded {
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

// holdUnanswered discards the bytes that a connection receives, for at most blockedHoldTime.
func holdUnanswered(conn net.Conn) {
	_ = conn.SetReadDeadline(time.Now().Add(blockedHoldTime)) // fails only on a closed connection, as the read then does
	_, _ = io.Copy(io.Discard, conn)
}

// addRelay registers an open relay. It reports whether it did: a closed network takes no relays.
func (n *Network) addRelay(r *relay) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return false
	}
	n.relays[r] = true
	return true
}

// removeRelay closes a relay and unregisters it.
func (n *Network) removeRelay(r *relay) {
	n.mu.Lock()
	defer n.mu.Unlock()
	r.close()
	delete(n.relays, r)
}

// copyBytes copies the bytes of one direction of a connection until either end is closed. It drops the bytes that it reads
// while the direction is blocked, and delays each chunk of the others by half of the largest delay.
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
