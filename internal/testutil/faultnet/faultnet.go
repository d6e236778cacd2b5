// Package faultnet is a network between processes on loopback that goes wrong as it is told. Each process listens at an
// address of its own and gives out another, at which this package takes what is for it, over UDP and TCP, and passes it
// on, late, or not at all. Who sent it shows from the address that it came from.
package faultnet

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// Net carries what processes say to each other.
type Network struct {
	mu    sync.Mutex
	rnd   *rand.Rand
	index map[netip.Addr]int // of the addresses that processes listen at
	doors []*door
	cut   map[[2]int]bool // from, to
	loss  float64
	delay time.Duration
	conns map[*pair]bool
	done  bool
	work  sync.WaitGroup

	PacketsForwarded, PacketsDropped atomic.Uint64 // packets
}

// door is where one process is reached.
type door struct {
	to  netip.AddrPort
	udp *net.UDPConn
	tcp net.Listener
}

// pair is a TCP connection that is passed on.
type pair struct {
	from, to int
	a, b     net.Conn
}

const packetMost = 64 << 10

// New returns a network without processes. What it draws follows from the seed.
func New(seed uint64) *Network {
	return &Network{rnd: rand.New(rand.NewPCG(seed, 1)), index: map[netip.Addr]int{}, cut: map[[2]int]bool{}, conns: map[*pair]bool{}}
}

// Add opens a door at an address for the process that listens at another. No two processes may share an IP address.
// Processes are numbered from 0 in the order in which they are added.
func (n *Network) AddProcess(at, to netip.AddrPort) error {
	udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return fmt.Errorf("faultnet: %w", err)
	}
	tcp, err := net.Listen("tcp", at.String())
	if err != nil {
		_ = udp.Close() // the first error is the one to report
		return fmt.Errorf("faultnet: %w", err)
	}
	n.mu.Lock()
	i := len(n.doors)
	d := &door{to: to, udp: udp, tcp: tcp}
	n.doors, n.index[to.Addr()] = append(n.doors, d), i
	n.mu.Unlock()
	n.work.Go(func() { n.packets(i, d) })
	n.work.Go(func() { n.accept(i, d) })
	return nil
}

// Close ends all.
func (n *Network) Close() {
	n.mu.Lock()
	n.done = true
	for _, d := range n.doors {
		_ = d.udp.Close() // the reads end, which is all that is wanted
		_ = d.tcp.Close()
	}
	for p := range n.conns {
		p.end()
	}
	n.mu.Unlock()
	n.work.Wait()
}

// Cut stops all that goes from some processes to others, one way. Connections between them fall silent.
func (n *Network) Block(from, to []int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, a := range from {
		for _, b := range to {
			if a != b {
				n.cut[[2]int{a, b}] = true
			}
		}
	}
}

// Part cuts some processes off from all others, both ways.
func (n *Network) Partition(side []int) {
	in := map[int]bool{}
	for _, i := range side {
		in[i] = true
	}
	var rest []int
	n.mu.Lock()
	for i := range n.doors {
		if !in[i] {
			rest = append(rest, i)
		}
	}
	n.mu.Unlock()
	n.Block(side, rest)
	n.Block(rest, side)
}

// Flaw sets which share of packets is lost, and how late the others are at most.
func (n *Network) Impair(loss float64, delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loss, n.delay = loss, delay
}

// Heal ends all faults. Connections that were cut are reset: what they lost would leave a hole.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for p := range n.conns {
		if n.cut[[2]int{p.from, p.to}] || n.cut[[2]int{p.to, p.from}] {
			p.end()
		}
	}
	clear(n.cut)
	n.loss, n.delay = 0, 0
}

// fate tells whether a packet gets through, and how late.
func (n *Network) fate(from, to int) (late time.Duration, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cut[[2]int{from, to}] || n.rnd.Float64() < n.loss {
		return 0, false
	}
	if n.delay > 0 {
		late = time.Duration(n.rnd.Int64N(int64(n.delay)))
	}
	return late, true
}

func (n *Network) who(a netip.Addr) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	if i, ok := n.index[a.Unmap()]; ok {
		return i
	}
	return -1
}

func (n *Network) packets(to int, d *door) {
	buf := make([]byte, packetMost)
	for {
		size, from, err := d.udp.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		late, ok := n.fate(n.who(from.Addr()), to)
		if !ok {
			n.PacketsDropped.Add(1)
			continue
		}
		n.PacketsForwarded.Add(1)
		if late == 0 {
			_, _ = d.udp.WriteToUDPAddrPort(buf[:size], d.to) // nobody there: it is lost
			continue
		}
		text := append([]byte(nil), buf[:size]...)
		time.AfterFunc(late, func() { _, _ = d.udp.WriteToUDPAddrPort(text, d.to) }) // the same
	}
}

func (n *Network) accept(to int, d *door) {
	for {
		a, err := d.tcp.Accept()
		if err != nil {
			return
		}
		from, _ := netip.ParseAddrPort(a.RemoteAddr().String()) // a TCP address always is one
		p := &pair{from: n.who(from.Addr()), to: to, a: a}
		n.work.Go(func() {
			defer a.Close()
			if _, ok := n.fate(p.from, to); !ok {
				n.hold(a)
				return
			}
			if p.b, err = net.DialTimeout("tcp", d.to.String(), time.Second); err != nil {
				return
			}
			if !n.keep(p, true) {
				return
			}
			defer n.keep(p, false)
			go func() { n.pass(p.b, p.a, p.to, p.from); p.end() }()
			n.pass(p.a, p.b, p.from, p.to)
			p.end()
		})
	}
}

// hold keeps a connection that goes nowhere open for a while, silent.
func (n *Network) hold(a net.Conn) {
	_ = a.SetReadDeadline(time.Now().Add(3 * time.Second)) // fails on a closed connection only, as the read then does
	_, _ = io.Copy(io.Discard, a)
}

func (n *Network) keep(p *pair, open bool) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !open || n.done {
		p.end()
		delete(n.conns, p)
		return false
	}
	n.conns[p] = true
	return true
}

func (p *pair) end() {
	_ = p.a.Close() // either may be closed already
	_ = p.b.Close()
}

// pass copies one way; what comes while that way is cut is lost.
func (n *Network) pass(from, to net.Conn, a, b int) {
	buf := make([]byte, packetMost)
	for {
		size, err := from.Read(buf)
		if err != nil {
			return
		}
		n.mu.Lock()
		cut, late := n.cut[[2]int{a, b}], n.delay
		n.mu.Unlock()
		if cut {
			continue
		}
		time.Sleep(late / 2)
		if _, err := to.Write(buf[:size]); err != nil {
			return
		}
	}
}

// Step is a fault that a schedule draws.
type Step struct {
	Delay   time.Duration // since the step before
	Fault   Fault
	Targets []int // whom it strikes
}

// What a step does.
type Fault uint8

// The faults. Those of a process are the caller's to carry out.
const (
	Healed          Fault = iota // all faults of the network end
	Partitioned                  // some are cut off from the rest
	OutboundBlocked              // one is not heard by any other, and hears all
	InboundBlocked               // one hears no other, and is heard by all
	Lossy                        // packets are lost and late
	Killed                       // a process is killed and started again
	Paused                       // a process is stopped for a while
)

func (w Fault) String() string {
	return [...]string{"whole", "parted", "not heard", "deaf", "lossy", "killed", "paused"}[w]
}

// Schedule draws faults for so many processes over a time, the same from the same seed. It ends whole.
func Schedule(seed uint64, processes int, over, mean time.Duration) (steps []Step) {
	rnd := rand.New(rand.NewPCG(seed, 2))
	for at := time.Duration(0); ; {
		s := Step{Delay: time.Duration((0.5 + rnd.Float64()) * float64(mean)), Fault: Fault(rnd.IntN(int(Paused) + 1))}
		if at += s.Delay; at > over {
			return append(steps, Step{Fault: Healed})
		}
		switch s.Fault {
		case Partitioned:
			s.Targets = rnd.Perm(processes)[:1+rnd.IntN(max(processes/2, 1))]
		case OutboundBlocked, InboundBlocked, Killed, Paused:
			s.Targets = []int{rnd.IntN(processes)}
		}
		steps = append(steps, s)
	}
}

// Do carries out a step's fault of the network; what was done before goes on until a step is Whole.
func (n *Network) Apply(s Step) {
	n.mu.Lock()
	var all []int
	for i := range n.doors {
		all = append(all, i)
	}
	n.mu.Unlock()
	switch s.Fault {
	case Healed:
		n.Heal()
	case Partitioned:
		n.Partition(s.Targets)
	case OutboundBlocked:
		n.Block(s.Targets, all)
	case InboundBlocked:
		n.Block(all, s.Targets)
	case Lossy:
		n.Impair(0.3, 200*time.Millisecond)
	}
}
