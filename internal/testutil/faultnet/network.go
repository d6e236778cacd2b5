// Package faultnet connects processes on loopback through a network whose faults a test controls. The network loses, delays
// and blocks what the processes send each other over UDP and TCP. Each process listens at one address and advertises another
// one, the address of its proxy in this package, which forwards to the process. The network identifies the sender of a packet
// or of a connection by its source address.
package faultnet

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// packetBufferSize is the size of the buffers that packets and chunks of connections are read into, in bytes. It holds the
// largest UDP packet.
const packetBufferSize = 64 << 10

// Network forwards packets and connections between processes. Its methods may be called by several goroutines at once.
type Network struct {
	mu        sync.Mutex
	random    *rand.Rand
	processes map[netip.Addr]int // process numbers, by the IP address that the process listens at and sends from
	proxies   []*proxy           // by process number
	blocked   map[direction]bool
	loss      float64 // fraction of the packets and new connections that are lost, from 0 to 1
	maxDelay  time.Duration
	relays    map[*relay]bool // open relays
	closed    bool

	goroutines sync.WaitGroup

	// PacketsForwarded and PacketsDropped count UDP packets since New.
	PacketsForwarded, PacketsDropped atomic.Uint64
}

// direction identifies the traffic from one process to another by their numbers. The sender is unknownProcess if no process
// has the source address.
type direction struct{ sender, receiver int }

// unknownProcess is the number of a sender that is not a process of the network.
const unknownProcess = -1

// reverse returns the opposite direction.
func (d direction) reverse() direction { return direction{sender: d.receiver, receiver: d.sender} }

// proxy receives the packets and connections for one process.
type proxy struct {
	target netip.AddrPort // address that the process listens at
	udp    *net.UDPConn
	tcp    net.Listener
}

// New returns a network without processes. The seed determines all of its random draws.
func New(seed uint64) *Network {
	return &Network{random: rand.New(rand.NewPCG(seed, 1)), processes: map[netip.Addr]int{}, blocked: map[direction]bool{},
		relays: map[*relay]bool{}}
}

// AddProcess starts a proxy that listens at address, over UDP and TCP, for the process that listens at target. No two
// processes may share an IP address. Processes are numbered from 0 in the order in which they are added. AddProcess returns
// an error if the proxy cannot listen.
func (n *Network) AddProcess(address, target netip.AddrPort) error {
	udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return fmt.Errorf("faultnet: start UDP proxy: %w", err)
	}
	tcp, err := net.Listen("tcp", address.String())
	if err != nil {
		_ = udp.Close() // the error of the TCP listener is the one to return
		return fmt.Errorf("faultnet: start TCP proxy: %w", err)
	}
	p := &proxy{target: target, udp: udp, tcp: tcp}
	n.mu.Lock()
	number := len(n.proxies)
	n.proxies = append(n.proxies, p)
	n.processes[target.Addr()] = number
	n.mu.Unlock()
	n.goroutines.Go(func() { n.forwardPackets(number, p) })
	n.goroutines.Go(func() { n.acceptConnections(number, p) })
	return nil
}

// Close closes all proxies and connections, and waits until all goroutines that forward have ended. Packets that are still
// delayed are lost.
func (n *Network) Close() {
	n.mu.Lock()
	n.closed = true
	for _, p := range n.proxies {
		_ = p.udp.Close() // this ends the goroutine that reads; nothing else uses the socket
		_ = p.tcp.Close()
	}
	for r := range n.relays {
		r.close()
	}
	n.mu.Unlock()
	n.goroutines.Wait()
}

// Block drops everything that the processes in from send to those in to, but not what is sent in the opposite direction. Open
// connections stay open, but the bytes that are sent over them in the blocked direction are lost.
func (n *Network) Block(from, to []int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, sender := range from {
		for _, receiver := range to {
			if sender != receiver {
				n.blocked[direction{sender, receiver}] = true
			}
		}
	}
}

// Partition blocks all traffic between the processes of a group and all others, in both directions.
func (n *Network) Partition(group []int) {
	inGroup := map[int]bool{}
	for _, process := range group {
		inGroup[process] = true
	}
	var others []int
	for _, process := range n.allProcesses() {
		if !inGroup[process] {
			others = append(others, process)
		}
	}
	n.Block(group, others)
	n.Block(others, group)
}

// Impair sets the fraction of the packets and new connections that are lost, and the largest delay of the other packets. The
// bytes of connections are delayed by half of maxDelay.
func (n *Network) Impair(loss float64, maxDelay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loss, n.maxDelay = loss, maxDelay
}

// Heal ends all faults. It closes the connections that are blocked in either direction, because bytes may be missing from them.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for r := range n.relays {
		if n.blocked[r.direction] || n.blocked[r.direction.reverse()] {
			r.close()
		}
	}
	clear(n.blocked)
	n.loss, n.maxDelay = 0, 0
}

// allProcesses returns the numbers of all processes.
func (n *Network) allProcesses() (numbers []int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for i := range n.proxies {
		numbers = append(numbers, i)
	}
	return numbers
}

// drawDelivery draws at random whether a packet or a new connection is forwarded, and by how much a packet is delayed.
// Nothing is forwarded in a blocked direction.
func (n *Network) drawDelivery(d direction) (delay time.Duration, forwarded bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.blocked[d] || n.random.Float64() < n.loss {
		return 0, false
	}
	if n.maxDelay > 0 {
		delay = time.Duration(n.random.Int64N(int64(n.maxDelay)))
	}
	return delay, true
}

// senderNumber returns the number of the process that sends from an IP address, or unknownProcess if there is none.
func (n *Network) senderNumber(address netip.Addr) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	if number, ok := n.processes[address.Unmap()]; ok {
		return number
	}
	return unknownProcess
}

// forwardPackets forwards the UDP packets that a proxy receives for the process receiver, until the proxy is closed.
func (n *Network) forwardPackets(receiver int, p *proxy) {
	buf := make([]byte, packetBufferSize)
	for {
		size, source, err := p.udp.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		delay, forwarded := n.drawDelivery(direction{n.senderNumber(source.Addr()), receiver})
		if !forwarded {
			n.PacketsDropped.Add(1)
			continue
		}
		n.PacketsForwarded.Add(1)
		if delay == 0 {
			p.sendPacket(buf[:size])
			continue
		}
		packet := append([]byte(nil), buf[:size]...)
		time.AfterFunc(delay, func() { p.sendPacket(packet) })
	}
}

// sendPacket sends a packet to the process of the proxy. The packet is lost without an error if the process does not listen,
// as on a real network.
func (p *proxy) sendPacket(packet []byte) { _, _ = p.udp.WriteToUDPAddrPort(packet, p.target) }
