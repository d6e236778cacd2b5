package faultnet

import (
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"
)

// post sends a packet from one address to another and tells whether it arrives.
func post(t *testing.T, from, to *net.UDPConn, at netip.AddrPort) bool {
	t.Helper()
	if _, err := from.WriteToUDPAddrPort([]byte("hello"), at); err != nil {
		t.Fatal(err)
	}
	_ = to.SetReadDeadline(time.Now().Add(200 * time.Millisecond)) // fails on a closed socket only, as the read then does
	n, err := to.Read(make([]byte, 16))
	return err == nil && n == 5
}

// What is cut one way passes the other way, a heal ends it, and a loss of all loses all.
func TestCuts(t *testing.T) {
	n := New(1)
	defer n.Close()
	var procs []*net.UDPConn
	var doors []netip.AddrPort
	for _, ip := range []string{"127.88.0.1", "127.88.0.2"} {
		c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(netip.MustParseAddr(ip), 0)))
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		procs = append(procs, c)
		if err := n.AddProcess(netip.MustParseAddrPort("127.0.0.1:0"), c.LocalAddr().(*net.UDPAddr).AddrPort()); err != nil {
			t.Fatal(err)
		}
		doors = append(doors, n.doors[len(n.doors)-1].udp.LocalAddr().(*net.UDPAddr).AddrPort())
	}
	both := func(what string, there, back bool) {
		t.Helper()
		if got := post(t, procs[0], procs[1], doors[1]); got != there {
			t.Errorf("%s: a packet from 0 to 1 arrives: %v", what, got)
		}
		if got := post(t, procs[1], procs[0], doors[0]); got != back {
			t.Errorf("%s: a packet from 1 to 0 arrives: %v", what, got)
		}
	}
	both("whole", true, true)
	n.Block([]int{0}, []int{1})
	both("cut one way", false, true)
	n.Partition([]int{1})
	both("parted", false, false)
	n.Heal()
	both("healed", true, true)
	n.Impair(1, 0)
	both("all lost", false, false)
	n.Impair(0, 20*time.Millisecond)
	both("late", true, true)
}

// A schedule is the same from the same seed, strikes only processes that are there, and ends whole.
func TestSchedule(t *testing.T) {
	seen := map[Fault]bool{}
	for seed := range uint64(50) {
		a, b := Schedule(seed, 5, 20*time.Second, time.Second), Schedule(seed, 5, 20*time.Second, time.Second)
		if fmt.Sprint(a) != fmt.Sprint(b) || a[len(a)-1].Fault != Healed {
			t.Fatalf("seed %d: %v, then %v", seed, a, b)
		}
		for _, s := range a {
			seen[s.Fault] = true
			for _, i := range s.Targets {
				if i < 0 || i > 4 || len(s.Targets) > 2 {
					t.Errorf("seed %d: %v", seed, s)
				}
			}
		}
	}
	if len(seen) != int(Paused)+1 {
		t.Errorf("only these faults were drawn: %v", seen)
	}
}
