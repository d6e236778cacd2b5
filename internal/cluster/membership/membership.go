//go:build cluster

// Package membership tells which routers of a fleet are alive, and carries what they say to each other, over encrypted
// gossip (memberlist). It decides nothing: what is said, and what follows from it, is fleetstate's.
//
// Nothing here makes its caller wait for the network: what is to be sent is put on a bounded queue, and dropped where
// that is full; what is known is looked up.
package membership

import (
	"bytes"
	"fmt"
	"log"
	"log/slog"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"

	"hillknot/internal/cluster/failover"
	"hillknot/internal/cluster/keyring"
	"hillknot/internal/cluster/messaging"
	"hillknot/internal/cluster/placement"
	"hillknot/internal/cluster/state"
	"hillknot/internal/config"
)

// The times of the gossip. A router that dies is out of the list within some two seconds.
const (
	gossipEvery = 100 * time.Millisecond
	probeEvery  = 300 * time.Millisecond
	probeWait   = 150 * time.Millisecond
	meetEvery   = 2 * time.Second // all that is known is exchanged with another so often
	bindEvery   = 200 * time.Millisecond
	callWait    = time.Second
	packetMost  = 1200
	queueMost   = 1024
	largeMost   = 32      // connections at a time for what is too long for a packet
	wholeMost   = 1 << 20 // bytes of all that is known, as it is read from others
)

// Agent is this router among the others.
type Agent struct {
	name   string
	guest  bool // it has no part of its own in what is shared
	cfg    config.Cluster
	heard  func([]state.Message)
	lanes  PacketHandlers
	ring   *memberlist.Keyring
	letter chan post
	large  chan struct{} // places for what goes over a connection of its own
	whole  atomic.Pointer[[]byte]
	list   atomic.Pointer[memberlist.Memberlist]
	queue  memberlist.TransmitLimitedQueue
	lost   atomic.Uint64 // letters that were dropped
	warned atomic.Bool   // of another size
	keyMu  sync.Mutex
}

// post is something to be sent: to one router, or to all where to is empty.
type post struct {
	to, key string
	text    []byte
}

// PacketHandlers take the packets of parcels that come, on goroutines of the gossip; nil: there are none.
type PacketHandlers struct {
	Orders, Credit func([]byte)
}

// New reads the keys. What others say is handed to heard, on goroutines of the gossip, and packets of parcels to the lanes.
func New(name string, cfg config.Cluster, heard func([]state.Message), lanes PacketHandlers) (*Agent, error) {
	keys, err := keyring.Read(cfg.KeyFile)
	if err != nil {
		return nil, fmt.Errorf("fleet keys %s: %w", cfg.KeyFile, err)
	}
	m := &Agent{name: name, guest: cfg.State.Guest, cfg: cfg, heard: heard, lanes: lanes, letter: make(chan post, queueMost), large: make(chan struct{}, largeMost)}
	if m.ring, err = memberlist.NewKeyring(keys, keys[0]); err != nil {
		return nil, fmt.Errorf("fleet keys %s: %w", cfg.KeyFile, err)
	}
	m.queue.RetransmitMult = 3
	m.queue.NumNodes = func() int { return m.count() }
	m.whole.Store(&[]byte{})
	return m, nil
}

// ReloadKeys reads the keys again and uses them from now on. A faulty file changes nothing.
func (m *Agent) ReloadKeys() error {
	m.keyMu.Lock()
	defer m.keyMu.Unlock()
	keys, err := keyring.Read(m.cfg.KeyFile)
	if err != nil {
		return fmt.Errorf("fleet keys %s: %w", m.cfg.KeyFile, err)
	}
	for _, k := range keys {
		if err := m.ring.AddKey(k); err != nil {
			return fmt.Errorf("fleet keys %s: %w", m.cfg.KeyFile, err)
		}
	}
	if err := m.ring.UseKey(keys[0]); err != nil {
		return fmt.Errorf("fleet keys %s: %w", m.cfg.KeyFile, err)
	}
	for _, old := range slices.Clone(m.ring.GetKeys()) {
		if !slices.ContainsFunc(keys, func(k []byte) bool { return bytes.Equal(k, old) }) {
			if err := m.ring.RemoveKey(old); err != nil {
				return fmt.Errorf("fleet keys %s: %w", m.cfg.KeyFile, err)
			}
		}
	}
	slog.Info("fleet keys read again", "keys", len(keys))
	return nil
}

// Run takes part until stop is closed. An address that another process of this router still has is taken once that ends.
// Others that are not in the list are called again and again, so that a fleet that was cut meets again.
func (m *Agent) Run(stop <-chan struct{}) {
	tick := time.NewTicker(bindEvery)
	defer tick.Stop()
	for told := false; ; {
		list, err := m.open()
		if err == nil {
			m.list.Store(list)
			break
		}
		if !told {
			slog.Warn("not among the fleet yet", "listen", m.cfg.Listen, "err", err)
			told = true
		}
		select {
		case <-stop:
			return
		case <-tick.C:
		}
	}
	slog.Info("among the fleet", "listen", m.cfg.Listen, "advertise", m.cfg.Advertise)
	defer m.close()
	go m.rejoin(stop)
	for {
		select {
		case <-stop:
			return
		case l := <-m.letter:
			m.post(l)
		}
	}
}

func (m *Agent) close() {
	list := m.list.Load()
	_ = list.Leave(50 * time.Millisecond) // others find out by themselves
	_ = list.Shutdown()                   // it closes sockets, which the process's end does too
}

func (m *Agent) open() (*memberlist.Memberlist, error) {
	logger := log.New(gossipLog{}, "", 0)
	nt, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{
		BindAddrs: []string{m.cfg.Listen.Addr().String()}, BindPort: int(m.cfg.Listen.Port()), Logger: logger})
	if err != nil {
		return nil, err
	}
	c := memberlist.DefaultLANConfig()
	c.Name, c.Transport, c.Logger, c.Keyring, c.Delegate = m.name, transport{nt, m.cfg.Listen.Addr()}, logger, m.ring, delegate{m}
	c.BindAddr, c.BindPort = m.cfg.Listen.Addr().String(), int(m.cfg.Listen.Port())
	c.AdvertiseAddr, c.AdvertisePort = m.cfg.Advertise.Addr().String(), int(m.cfg.Advertise.Port())
	c.GossipInterval, c.ProbeInterval, c.ProbeTimeout, c.PushPullInterval = gossipEvery, probeEvery, probeWait, meetEvery
	c.SuspicionMult, c.SuspicionMaxTimeoutMult, c.TCPTimeout, c.UDPBufferSize = 3, 2, callWait, packetMost
	c.GossipToTheDeadTime, c.DeadNodeReclaimTime = 10*time.Second, time.Second
	c.EnableCompression = false
	list, err := memberlist.Create(c)
	if err != nil {
		_ = nt.Shutdown() // the first error is the one to report
	}
	return list, err
}

// rejoin calls those of the configured peers that are not in the list.
func (m *Agent) rejoin(stop <-chan struct{}) {
	select { // a fleet that starts all at once does not call all at once
	case <-stop:
		return
	case <-time.After(placement.PhaseOffset(m.name, "meet", nil, meetEvery/4)):
	}
	tick := time.NewTicker(meetEvery / 2)
	defer tick.Stop()
	for {
		known := map[string]bool{}
		for _, n := range m.list.Load().Members() {
			known[n.Address()] = true
		}
		for _, peer := range m.cfg.Peers {
			if !known[peer] && peer != m.cfg.Advertise.String() {
				if _, err := m.list.Load().Join([]string{peer}); err != nil {
					slog.Debug("fleet peer not reached", "peer", peer, "err", err)
				}
			}
		}
		select {
		case <-stop:
			return
		case <-tick.C:
		}
	}
}

// Send puts letters on the way. It never blocks.
func (m *Agent) Send(letters []state.OutgoingMessage) {
	for _, l := range letters {
		m.put(post{l.To, l.ReplaceKey, l.Message.Append(nil)})
	}
}

// SendOrderPackets puts packets of parcels on the way. It never blocks.
func (m *Agent) SendOrderPackets(packets []messaging.Packet) {
	for _, p := range packets {
		m.put(post{to: p.To, text: append([]byte{parcelLane}, p.Data...)})
	}
}

// SendCreditPackets is SendOrderPackets for what routers say to each other of credit.
func (m *Agent) SendCreditPackets(packets []messaging.Packet) {
	for _, p := range packets {
		m.put(post{to: p.To, text: append([]byte{creditLane}, p.Data...)})
	}
}

// These begin a packet of parcels: no other message does.
const (
	parcelLane = 0xf0 + iota
	creditLane
)

func (m *Agent) put(p post) {
	select {
	case m.letter <- p:
	default:
		m.lost.Add(1)
	}
}

// DroppedMessages is how many letters were dropped because too many waited.
func (m *Agent) DroppedMessages() uint64 { return m.lost.Load() }

func (m *Agent) post(p post) {
	if p.to == "" {
		m.queue.QueueBroadcast(broadcast{p.key, p.text})
		return
	}
	list := m.list.Load()
	for _, n := range list.Members() {
		if n.Name != p.to {
			continue
		}
		if len(p.text) <= packetMost {
			sent(p.to, list.SendBestEffort(n, p.text))
			return
		}
		select { // it may take a while to connect, and holds up nothing else
		case m.large <- struct{}{}:
			go func() {
				sent(p.to, list.SendReliable(n, p.text))
				<-m.large
			}()
		default:
			m.lost.Add(1)
		}
		return
	}
}

func sent(to string, err error) {
	if err != nil {
		slog.Debug("not sent to a router", "to", to, "err", err)
	}
}

// PublishFullState is all that one who has heard nothing is told when this router meets it.
func (m *Agent) PublishFullState(all []state.Message) {
	var b []byte
	for _, msg := range all {
		if b = msg.Append(b); len(b) > wholeMost/2 {
			break
		}
	}
	m.whole.Store(&b)
}

// Alive names the others that are alive, in order, and tells how many routers with a part of their own there are: as many
// as are alive, this one counted, or as any of them was configured to count on, where that is more.
func (m *Agent) Alive() (others []string, owners int) {
	if !m.guest {
		owners++
	}
	list := m.list.Load()
	if list == nil {
		return nil, owners
	}
	told := 0
	for _, n := range list.Members() {
		if n.Name == m.name {
			continue
		}
		others = append(others, n.Name)
		d := parseMeta(n.Meta)
		if d.size != guestMeta {
			owners++
		}
		if size, err := strconv.Atoi(d.size); err == nil && size <= state.MaxClusterSize {
			told = max(told, size)
		}
	}
	if told > m.cfg.State.ClusterSize && !m.warned.Swap(true) {
		slog.Error("another router was given a larger size of the fleet: all must have the same; the larger one counts", "own", m.cfg.State.ClusterSize, "other", told)
	}
	slices.Sort(others)
	return others, max(owners, told)
}

// OrderPeers are those alive that keep orders for others, in the order of their names.
func (m *Agent) OrderPeers() (out []failover.Peer) {
	list := m.list.Load()
	if list == nil {
		return nil
	}
	for _, n := range list.Members() {
		if d := parseMeta(n.Meta); n.Name != m.name && d.keeps {
			out = append(out, failover.Peer{Name: n.Name, Place: d.place})
		}
	}
	slices.SortFunc(out, func(a, b failover.Peer) int { return strings.Compare(a.Name, b.Name) })
	return out
}

func (m *Agent) count() int {
	if list := m.list.Load(); list != nil {
		return list.NumMembers()
	}
	return 1
}

// take hands on all messages of a text, up to the first that can't be read.
func (m *Agent) take(text []byte) {
	if len(text) > 0 && text[0] >= parcelLane {
		if f := map[byte]func([]byte){parcelLane: m.lanes.Orders, creditLane: m.lanes.Credit}[text[0]]; f != nil {
			f(bytes.Clone(text[1:])) // the buffer is the gossip's
		}
		return
	}
	var msgs []state.Message
	for len(text) > 0 {
		msg, rest, err := state.ParseMessage(text)
		if err != nil {
			slog.Debug("fleet message not understood", "err", err)
			break
		}
		msgs, text = append(msgs, msg), rest
	}
	if len(msgs) > 0 {
		m.heard(msgs)
	}
}

const guestMeta = "guest"

// delegate is what memberlist asks and tells.
type delegate struct{ m *Agent }

func (d delegate) NodeMeta(int) []byte {
	size, keeps := guestMeta, ""
	if !d.m.guest {
		size = strconv.Itoa(d.m.cfg.State.ClusterSize)
	}
	if d.m.cfg.Failover.Enabled {
		keeps = "keeps"
	}
	return []byte(size + ";" + keeps + ";" + d.m.cfg.Location)
}

// told is what a router tells of itself with its name.
type told struct {
	size  string // of the fleet, or guestMeta
	keeps bool   // orders, for others
	place string
}

func parseMeta(b []byte) (t told) {
	size, rest, _ := strings.Cut(string(b), ";")
	keeps, place, _ := strings.Cut(rest, ";")
	return told{size, keeps == "keeps", place}
}

func (d delegate) NotifyMsg(b []byte) { d.m.take(b) }

func (d delegate) GetBroadcasts(overhead, limit int) [][]byte {
	return d.m.queue.GetBroadcasts(overhead, limit)
}

func (d delegate) LocalState(bool) []byte { return *d.m.whole.Load() }

func (d delegate) MergeRemoteState(b []byte, _ bool) {
	if len(b) <= wholeMost {
		d.m.take(b)
	}
}

// broadcast is a message for all; a later one under its name takes its place.
type broadcast struct {
	name string
	text []byte
}

func (b broadcast) Invalidates(o memberlist.Broadcast) bool {
	n, ok := o.(memberlist.NamedBroadcast)
	return ok && n.Name() == b.name
}
func (b broadcast) Name() string    { return b.name }
func (b broadcast) Message() []byte { return b.text }
func (b broadcast) Finished()       {}

// transport calls others from the address that it listens on: on a machine with several, who is called sees who calls.
type transport struct {
	*memberlist.NetTransport
	from netip.Addr
}

func (t transport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout, LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(t.from, 0))}
	return d.Dial("tcp", addr)
}

func (t transport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return t.DialTimeout(a.Addr, timeout)
}

// gossipLog passes memberlist's log on. What it warns of is a peer that is not there, which the list tells.
type gossipLog struct{}

func (gossipLog) Write(b []byte) (int, error) {
	slog.Debug("gossip", "line", strings.TrimSpace(string(b)))
	return len(b), nil
}
