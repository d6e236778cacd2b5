package main

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// gossipLink stands for the network between the other routers and one router: it passes on what they send to that router, over
// UDP and TCP. What one of them, the far router, sends can be delayed or dropped.
type gossipLink struct {
	address string // at which the others reach the router
	target  string // at which the router listens
	far     netip.Addr

	packets net.PacketConn
	ln      net.Listener

	mu      sync.Mutex
	delay   time.Duration
	cut     bool
	dropped int // packets of the far router
	conns   map[net.Conn]bool
}

func newGossipLink(address, target, far string) (*gossipLink, error) {
	l := &gossipLink{address: address, target: target, far: netip.MustParseAddr(far), conns: map[net.Conn]bool{}}
	var err error
	if l.packets, err = net.ListenPacket("udp", address); err != nil {
		return nil, err
	}
	if l.ln, err = net.Listen("tcp", address); err != nil {
		return nil, err
	}
	go l.passPackets()
	go l.passConnections()
	return l, nil
}

// setDelay sets how late the far router's packets arrive.
func (l *gossipLink) setDelay(delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = delay
}

// setCut drops all that the far router sends, also what is under way, or ends that. It returns how many packets were dropped.
func (l *gossipLink) setCut(cut bool) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	if cut {
		for c := range l.conns {
			_ = c.Close()
		}
	}
	return l.dropped
}

func (l *gossipLink) isFar(from net.Addr) bool {
	address, err := netip.ParseAddrPort(from.String())
	return err == nil && address.Addr().Unmap() == l.far
}

// allows reports whether what the far router has sent may arrive now.
func (l *gossipLink) allows() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut {
		l.dropped++
	}
	return !l.cut
}

func (l *gossipLink) passPackets() {
	target, err := net.ResolveUDPAddr("udp", l.target)
	if err != nil {
		return
	}
	buffer := make([]byte, 1<<16)
	for {
		n, from, err := l.packets.ReadFrom(buffer)
		if err != nil {
			return
		}
		packet := append([]byte(nil), buffer[:n]...)
		if !l.isFar(from) {
			_, _ = l.packets.WriteTo(packet, target) // a packet may be lost
			continue
		}
		l.mu.Lock()
		delay := l.delay
		l.mu.Unlock()
		time.AfterFunc(delay, func() {
			if l.allows() {
				_, _ = l.packets.WriteTo(packet, target)
			}
		})
	}
}

func (l *gossipLink) passConnections() {
	for {
		from, err := l.ln.Accept()
		if err != nil {
			return
		}
		far := l.isFar(from.RemoteAddr())
		if far && !l.allows() {
			_ = from.Close()
			continue
		}
		go l.passConnection(from, far)
	}
}

func (l *gossipLink) passConnection(from net.Conn, far bool) {
	defer func() { _ = from.Close() }()
	to, err := net.DialTimeout("tcp", l.target, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = to.Close() }()
	if far {
		l.mu.Lock()
		l.conns[from] = true
		l.mu.Unlock()
		defer func() {
			l.mu.Lock()
			delete(l.conns, from)
			l.mu.Unlock()
		}()
	}
	go func() {
		_, _ = io.Copy(from, to)
		_ = from.Close()
	}()
	_, _ = io.Copy(to, from)
}
