// Package faultnet is a network between processes on loopback whose faults a test controls: it loses, delays and blocks what
// the processes send each other over UDP and TCP. Each process listens at one address and advertises another, that of its
// proxy here, which forwards to it. The sender of a packet or connection is known by its source address.
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

// packetBufferSize holds the largest UDP packet, in bytes.
const packetBufferSize = 64 << 10

// Network forwards what processes send each other. Its methods may be called by several goroutines at once.
type Network struct {
	mu        sync.Mutex
	random    *rand.Rand
	processes map[netip.Addr]int // their numbers, by the address that they listen at and send from
	proxies   []*proxy           // by the number of the process
	blocked   map[direction]bool
	loss      float64 // fraction of the packets that is lost
	maxDelay  time.Duration
	relays    map[*relay]bool // open ones
	closed    bool

	goroutines sync.WaitGroup

	// Packets over UDP, since the network was made.
	PacketsForwarded, PacketsDropped atomic.Uint64
}

// direction is the way from one process to another. The sender is unknownProcess where its address is not one of a process.
type direction struct{ sender, receiver int }

const unknownProcess = -1

// reverse returns the way back.
func (d direction) reverse() direction { return direction{sender: d.receiver, receiver: d.sender} }

// proxy receives what is for one process.
type proxy struct {
	target netip.AddrPort // where the process listens
	udp    *net.UDPConn
	tcp    net.Listener
}

// New returns a network without processes. All that it draws at random follows from the seed.
func New(seed uint64) *Network {
	return &Network{random: rand.New(rand.NewPCG(seed, 1)), processes: map[netip.Addr]int{}, blocked: map[direction]bool{},
		relays: map[*relay]bool{}}
}

// AddProcess starts a proxy at an address for the process that listens at target. No two processes may share an IP address.
// Processes are numbered from 0 in the order in which they are added.
func (n *Network) AddProcess(address, target netip.AddrPort) error {
	udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return fmt.Errorf("faultnet: %w", err)
	}
	tcp, err := net.Listen("tcp", address.String())
	if err != nil {
		_ = udp.Close() // the first error is the one to report
		return fmt.Errorf("faultnet: %w", err)
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

// Close closes all proxies and connections, and waits until nothing is forwarded any more, but for packets that are delayed:
// these are lost.
func (n *Network) Close() {
	n.mu.Lock()
	n.closed = true
	for _, p := range n.proxies {
		_ = p.udp.Close() // closing ends the goroutines that read, and nothing else depends on it
		_ = p.tcp.Close()
	}
	for r := range n.relays {
		r.close()
	}
	n.mu.Unlock()
	n.goroutines.Wait()
}

// Block drops all that one group of processes sends to another, in this direction alone. Open connections stay open, and
// what is sent over them is lost.
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

// Partition separates some processes from all others, in both directions.
func (n *Network) Partition(group []int) {
	inGroup := map[int]bool{}
	for _, process := range group {
		inGroup[process] = true
	}
	var others []int
	for _, process := range n.all() {
		if !inGroup[process] {
			others = append(others, process)
		}
	}
	n.Block(group, others)
	n.Block(others, group)
}

// Impair sets which fraction of the packets is lost, and by how much the others are delayed at most.
func (n *Network) Impair(loss float64, maxDelay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loss, n.maxDelay = loss, maxDelay
}

// Heal ends all faults. It closes the connections that were blocked: bytes are missing in them.
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

// all returns the numbers of all processes.
func (n *Network) all() (numbers []int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for i := range n.proxies {
		numbers = append(numbers, i)
	}
	return numbers
}

// draw decides whether a packet or a new connection gets through, and by how much it is delayed.
func (n *Network) draw(d direction) (delay time.Duration, forwarded bool) {
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

// sender returns the number of the process that sends from an address, or unknownProcess.
func (n *Network) sender(address netip.Addr) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	if number, ok := n.processes[address.Unmap()]; ok {
		return number
	}
	return unknownProcess
}

// forwardPackets forwards UDP packets to a process until its proxy is closed.
func (n *Network) forwardPackets(to int, p *proxy) {
	buf := make([]byte, packetBufferSize)
	for {
		size, source, err := p.udp.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		delay, forwarded := n.draw(direction{n.sender(source.Addr()), to})
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

// sendPacket sends the process a packet. Where it does not listen, the packet is lost, as on any network.
func (p *proxy) sendPacket(packet []byte) { _, _ = p.udp.WriteToUDPAddrPort(packet, p.target) }
