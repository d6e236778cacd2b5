package faultnet

import (
	"net"
	"net/netip"
	"testing"
	"time"
)

// packetArrives sends a packet from the process sender to the proxy of the process receiver, and reports whether it arrives
// there within 200 ms.
func packetArrives(t *testing.T, sender, receiver *net.UDPConn, proxy netip.AddrPort) bool {
	t.Helper()
	if _, err := sender.WriteToUDPAddrPort([]byte("hello"), proxy); err != nil {
		t.Fatal(err)
	}
	_ = receiver.SetReadDeadline(time.Now().Add(200 * time.Millisecond)) // fails only on a closed socket, as the read then does
	n, err := receiver.Read(make([]byte, 16))
	return err == nil && n == 5
}

// addProcess adds a process that listens at an IP address to the network. It returns the socket of the process and the
// address of its proxy.
func addProcess(t *testing.T, network *Network, ip string) (*net.UDPConn, netip.AddrPort) {
	t.Helper()
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(netip.MustParseAddr(ip), 0)))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if err := network.AddProcess(netip.MustParseAddrPort("127.0.0.1:0"), conn.LocalAddr().(*net.UDPAddr).AddrPort()); err != nil {
		t.Fatal(err)
	}
	proxy := network.proxies[len(network.proxies)-1]
	return conn, proxy.udp.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Each fault affects packets only in its own direction: Block and Partition drop them, Impair loses or delays them. Heal ends
// all faults.
func TestNetworkAppliesFaultsUntilHealed(t *testing.T) {
	network := New(1)
	t.Cleanup(network.Close)
	first, firstProxy := addProcess(t, network, "127.88.0.1")
	second, secondProxy := addProcess(t, network, "127.88.0.2")

	for _, step := range []struct {
		name                            string
		apply                           func()
		forwardArrives, backwardArrives bool
	}{
		{"no fault", func() {}, true, true},
		{"blocked in one direction", func() { network.Block([]int{0}, []int{1}) }, false, true},
		{"partitioned", func() { network.Partition([]int{1}) }, false, false},
		{"healed", network.Heal, true, true},
		{"all packets lost", func() { network.Impair(1, 0) }, false, false},
		{"delayed", func() { network.Impair(0, 20*time.Millisecond) }, true, true},
	} {
		step.apply()
		if got := packetArrives(t, first, second, secondProxy); got != step.forwardArrives {
			t.Errorf("%s: packet from 0 to 1 arrived: got %v", step.name, got)
		}
		if got := packetArrives(t, second, first, firstProxy); got != step.backwardArrives {
			t.Errorf("%s: packet from 1 to 0 arrived: got %v", step.name, got)
		}
	}
}
