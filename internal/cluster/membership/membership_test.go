//go:build cluster

package membership

import (
	"bytes"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"hillknot/internal/cluster/messaging"
	"hillknot/internal/cluster/state"
	"hillknot/internal/config"
)

const joinDeadline = 20 * time.Second // far more than is needed, also on a busy machine

// runningAgent is an agent that runs on loopback.
type runningAgent struct {
	*Agent
	messages chan state.Message
	orders   chan []byte
	stop     chan struct{}
	ended    chan struct{} // closed once Run has returned
}

// startAgent starts an agent that listens on address and joins a cluster through peers. The agent is stopped at the end of
// the test.
func startAgent(t *testing.T, name string, address netip.AddrPort, keys string, peers ...string) *runningAgent {
	t.Helper()
	r := &runningAgent{
		messages: make(chan state.Message, 16),
		orders:   make(chan []byte, 16),
		stop:     make(chan struct{}),
		ended:    make(chan struct{}),
	}
	settings := config.Cluster{
		Listen:    address,
		Advertise: address,
		Peers:     peers,
		KeyFile:   filepath.Join(t.TempDir(), "keys"),
		State:     state.Settings{ClusterSize: 2},
		Failover:  config.Failover{Enabled: true},
		Place:     "hall of " + name,
	}
	writeKeys(t, settings.KeyFile, keys)
	onMessages := func(messages []state.Message) {
		for _, m := range messages {
			r.messages <- m
		}
	}
	agent, err := New(name, settings, onMessages, PacketHandlers{Orders: func(data []byte) { r.orders <- data }})
	if err != nil {
		t.Fatal(err)
	}
	r.Agent = agent
	go func() {
		defer close(r.ended)
		agent.Run(r.stop)
	}()
	t.Cleanup(func() { r.end(t) })
	return r
}

// end stops an agent, if it runs, and waits until Run has returned.
func (r *runningAgent) end(t *testing.T) {
	t.Helper()
	if !isClosed(r.stop) {
		close(r.stop)
	}
	select {
	case <-r.ended:
	case <-time.After(joinDeadline):
		t.Error("Run does not return after stop is closed")
	}
}

func writeKeys(t *testing.T, file, keys string) {
	t.Helper()
	if err := os.WriteFile(file, []byte(keys), 0o600); err != nil {
		t.Fatal(err)
	}
}

// freeAddress returns an address on loopback with a free TCP port.
func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return netip.MustParseAddrPort(l.Addr().String())
}

func waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(joinDeadline); !condition(); {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting until %s", what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func receiveWithin[T any](t *testing.T, what string, from <-chan T) T {
	t.Helper()
	select {
	case v := <-from:
		return v
	case <-time.After(joinDeadline):
		t.Fatalf("timed out waiting for %s", what)
		panic("unreachable")
	}
}

func (r *runningAgent) sees(names ...string) func() bool {
	return func() bool {
		others, _ := r.Alive()
		return slices.Equal(others, names)
	}
}

// Two routers find each other, replace their keys, and then still exchange messages, and packets that are too long for UDP.
// When one leaves, the other notices it.
func TestTwoRoutersExchangeMessagesAndReloadKeys(t *testing.T) {
	oldKey, newKey := strings.Repeat("0a", 32)+"\n", strings.Repeat("0b", 32)+"\n"
	first := startAgent(t, "r1", freeAddress(t), oldKey)
	second := startAgent(t, "r2", freeAddress(t), oldKey, first.settings.Listen.String())
	waitUntil(t, "the routers see each other", func() bool { return first.sees("r2")() && second.sees("r1")() })
	if peers := first.OrderPeers(); len(peers) != 1 || peers[0].Name != "r2" || peers[0].Place != "hall of r2" {
		t.Errorf("got the peers that hold orders %+v, want r2 in the hall of r2", peers)
	}

	// Each step adds or removes one key or changes their order, so that the routers always share a key.
	for _, keys := range []string{oldKey + newKey, newKey + oldKey, newKey} {
		for _, r := range []*runningAgent{first, second} {
			writeKeys(t, r.settings.KeyFile, keys)
			if err := r.ReloadKeys(); err != nil {
				t.Fatal(err)
			}
		}
	}
	toOne := state.Message{Kind: state.KindLeaseRequest, From: "r1", Process: 1, Key: "retries", Sequence: 2, Shares: 3}
	toAll := state.Message{Kind: state.KindCounterUpdate, From: "r1", Process: 1, Key: "hits", Value: 4}
	first.Send([]state.OutgoingMessage{{Recipient: "r2", Message: toOne}})
	if got := receiveWithin(t, "the message for one", second.messages); got != toOne {
		t.Errorf("received %+v, want %+v", got, toOne)
	}
	first.Send([]state.OutgoingMessage{{ReplaceKey: "count hits", Message: toAll}})
	if got := receiveWithin(t, "the message for all", second.messages); got != toAll {
		t.Errorf("received %+v, want %+v", got, toAll)
	}
	long := bytes.Repeat([]byte("order"), maxPacketBytes)
	first.SendOrderPackets([]messaging.Packet{{To: "r2", Data: long}})
	if got := receiveWithin(t, "the packet that is too long for UDP", second.orders); !bytes.Equal(got, long) {
		t.Errorf("received %d bytes, want %d", len(got), len(long))
	}

	second.end(t)
	waitUntil(t, "the router that left is gone", first.sees())
}

// A router whose address is taken waits until it is free, and Run returns if the router is stopped meanwhile.
func TestRunWaitsForTakenAddress(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	address := netip.MustParseAddrPort(l.Addr().String())
	waiting := startAgent(t, "r1", address, strings.Repeat("0a", 32))
	time.Sleep(2 * bindRetryInterval)
	if waiting.list.Load() != nil {
		t.Error("joined at an address that is taken")
	}
	waiting.end(t)
	again := startAgent(t, "r1", address, strings.Repeat("0a", 32))
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "the router has joined", func() bool { return again.list.Load() != nil })
}

// Messages that do not fit into the queue are dropped and counted.
func TestFullQueueDropsMessages(t *testing.T) {
	a, _, _ := newTestAgent(t, config.Cluster{})
	message := state.OutgoingMessage{Recipient: "r2", Message: goldenMessages[0]}
	for range sendQueueLength + 3 {
		a.Send([]state.OutgoingMessage{message})
	}
	if n := a.DroppedMessages(); n != 3 {
		t.Errorf("dropped %d messages, want 3", n)
	}
}

// A reload with a faulty key file changes no keys.
func TestFaultyKeyFileKeepsKeysInUse(t *testing.T) {
	a, _, _ := newTestAgent(t, config.Cluster{})
	before := a.keys.ring.GetPrimaryKey()
	writeKeys(t, a.settings.KeyFile, "no key\n")
	if err := a.ReloadKeys(); err == nil {
		t.Error("a faulty key file is accepted")
	}
	if after := a.keys.ring.GetPrimaryKey(); !bytes.Equal(before, after) {
		t.Error("a faulty key file changed the keys")
	}
}
