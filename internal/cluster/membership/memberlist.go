//go:build cluster

package membership

import (
	stdlog "log"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"

	"hillknot/internal/logging"
)

// Settings of memberlist. With them, the others consider a router dead within about two seconds after it died.
const (
	gossipInterval          = 100 * time.Millisecond
	probeInterval           = 300 * time.Millisecond
	probeTimeout            = 150 * time.Millisecond
	pushPullInterval        = 2 * time.Second // between two exchanges of the full state with another router
	connectTimeout          = time.Second
	maxPacketBytes          = 1200 // over UDP; longer messages are sent over a TCP connection of their own
	suspicionMultiplier     = 3
	maxSuspicionMultiplier  = 2
	gossipToTheDeadDuration = 10 * time.Second
	reclaimNameAfter        = time.Second // after which a router at another address may take the name of a dead one
)

// createList binds the listen address and starts memberlist. The caller must shut the list down.
func (a *Agent) createList() (*memberlist.Memberlist, error) {
	listen, advertise := a.settings.Listen, a.settings.Advertise
	logger := stdlog.New(debugWriter{}, "", 0)
	network, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{
		BindAddrs: []string{listen.Addr().String()},
		BindPort:  int(listen.Port()),
		Logger:    logger,
	})
	if err != nil {
		return nil, err
	}
	c := memberlist.DefaultLANConfig()
	c.Name = a.name
	c.Transport = newTransport(network, listen.Addr())
	c.Logger = logger
	c.Keyring = a.keys.ring
	c.Delegate = delegate{a}
	c.BindAddr, c.BindPort = listen.Addr().String(), int(listen.Port())
	c.AdvertiseAddr, c.AdvertisePort = advertise.Addr().String(), int(advertise.Port())
	c.GossipInterval = gossipInterval
	c.ProbeInterval = probeInterval
	c.ProbeTimeout = probeTimeout
	c.PushPullInterval = pushPullInterval
	c.SuspicionMult = suspicionMultiplier
	c.SuspicionMaxTimeoutMult = maxSuspicionMultiplier
	c.TCPTimeout = connectTimeout
	c.UDPBufferSize = maxPacketBytes
	c.GossipToTheDeadTime = gossipToTheDeadDuration
	c.DeadNodeReclaimTime = reclaimNameAfter
	c.EnableCompression = false
	list, err := memberlist.Create(c)
	if err != nil {
		_ = c.Transport.Shutdown() // the error of Create is the one to report
		return nil, err
	}
	return list, nil
}

// transport connects to other routers from the address that it listens on. The peer can then identify the connecting
// router by its address, also if the machine has several addresses. It bounds what is received on connections.
type transport struct {
	*memberlist.NetTransport
	local   netip.Addr
	limits  streamLimits
	streams chan net.Conn // that other routers have opened, bounded
	stop    chan struct{} // closed when Shutdown begins
	ended   chan struct{} // closed once the listeners have ended
	stopped sync.Once
}

func newTransport(network *memberlist.NetTransport, local netip.Addr) *transport {
	t := &transport{
		NetTransport: network,
		local:        local,
		streams:      make(chan net.Conn, maxUnhandledStream),
		stop:         make(chan struct{}),
		ended:        make(chan struct{}),
	}
	go t.acceptStreams()
	return t
}

// StreamCh implements memberlist.Transport.
func (t *transport) StreamCh() <-chan net.Conn { return t.streams }

// Shutdown implements memberlist.Transport.
func (t *transport) Shutdown() error {
	var err error
	t.stopped.Do(func() {
		close(t.stop)
		err = t.NetTransport.Shutdown()
		close(t.ended)
	})
	return err
}

// DialTimeout implements memberlist.Transport.
func (t *transport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout, LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(t.local, 0))}
	conn, err := dialer.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	return t.limits.dialed(conn), nil
}

// DialAddressTimeout implements memberlist.NodeAwareTransport.
func (t *transport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return t.DialTimeout(a.Addr, timeout)
}

// debugWriter logs memberlist's lines at level debug. Its warnings are about unreachable peers, which Alive and the
// metrics show.
type debugWriter struct{}

// Write implements io.Writer.
func (debugWriter) Write(line []byte) (int, error) {
	log.Debug("memberlist", logging.KeyLine, strings.TrimSpace(string(line)))
	return len(line), nil
}
