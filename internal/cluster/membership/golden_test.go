//go:build cluster

package membership

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"hillknot/internal/cluster/messaging"
	"hillknot/internal/cluster/state"
	"hillknot/internal/config"
	"hillknot/internal/testutil/golden"
)

// Routers of different releases gossip with each other. The files of testdata/golden were written at commit 86ccf0f.
//
// The bytes depend on no names of types or fields, but on the strings of delegate.NodeMeta ("guest", "keeps", separated by
// ";") and on the first bytes orderPacket and creditPacket, whose order must not change. The packages state, failover and
// credit encode what follows, and have golden files for it. memberlist encodes everything around it, such as the router's
// name and the encryption.

// newTestAgent returns an agent that does not run, and records what it receives.
func newTestAgent(t *testing.T, cfg config.Cluster) (a *Agent, received *[]state.Message, packets map[string][]byte) {
	t.Helper()
	cfg.KeyFile = filepath.Join(t.TempDir(), "keys")
	if err := os.WriteFile(cfg.KeyFile, []byte("000102030405060708090a0b0c0d0e0f\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	received, packets = new([]state.Message), map[string][]byte{}
	a, err := New("r1", cfg, func(messages []state.Message) { *received = append(*received, messages...) }, PacketHandlers{
		Orders: func(b []byte) { packets["orders"] = b },
		Credit: func(b []byte) { packets["credit"] = b }})
	if err != nil {
		t.Fatal(err)
	}
	return a, received, packets
}

// Compares what a router announces about itself along with its name.
func TestGoldenMeta(t *testing.T) {
	for name, c := range map[string]struct {
		cfg  config.Cluster
		want nodeMeta
	}{
		"meta.txt": {
			config.Cluster{
				Place:    "hall 2",
				State:    state.Settings{ClusterSize: 12},
				Failover: config.Failover{Enabled: true},
			},
			nodeMeta{"12", true, "hall 2"},
		},
		"meta-guest.txt": {
			config.Cluster{Place: "hall;2", State: state.Settings{ClusterSize: 12, Guest: true}},
			nodeMeta{"guest", false, "hall;2"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			a, _, _ := newTestAgent(t, c.cfg)
			golden.Same(t, name, delegate{a}.NodeMeta(512))
			if got := parseMeta(golden.Read(t, name)); got != c.want {
				t.Errorf("parsed as %+v, want %+v", got, c.want)
			}
		})
	}
}

var goldenMessages = []state.Message{
	{Kind: state.KindCounterUpdate, From: "r1", Process: 11, Key: "hits edge-7", Value: 129},
	{Kind: state.KindHealthEvidence, From: "r2", Process: 22, Key: "edge-7", Sequence: 6, Unhealthy: true,
		ValidFor: 3 * time.Second},
}

// Compares the queued messages and packets, and checks that a router that receives them passes them to their handlers.
func TestGoldenSentMessages(t *testing.T) {
	a, received, packets := newTestAgent(t, config.Cluster{})
	a.Send([]state.OutgoingMessage{{Recipient: "r2", ReplaceKey: "count hits edge-7", Message: goldenMessages[0]}})
	a.SendOrderPackets([]messaging.Packet{{To: "r2", Data: []byte("a packet of orders")}})
	a.SendCreditPackets([]messaging.Packet{{To: "r2", Data: []byte("a packet of credit")}})
	for _, name := range []string{"letter.hex", "orders.hex", "credit.hex"} {
		golden.Same(t, name, (<-a.outgoing.waiting).content)
		delegate{a}.NotifyMsg(golden.Read(t, name))
	}
	if !reflect.DeepEqual(*received, goldenMessages[:1]) ||
		string(packets["orders"]) != "a packet of orders" ||
		string(packets["credit"]) != "a packet of credit" {
		t.Errorf("received %+v, %q", *received, packets)
	}
}

// Compares the full state that two routers exchange, and what a broadcast contains.
func TestGoldenFullState(t *testing.T) {
	a, received, _ := newTestAgent(t, config.Cluster{})
	a.PublishFullState(goldenMessages)
	golden.Same(t, "whole.hex", delegate{a}.LocalState(true))
	delegate{a}.MergeRemoteState(golden.Read(t, "whole.hex"), true)
	if !reflect.DeepEqual(*received, goldenMessages) {
		t.Errorf("received %+v, want %+v", *received, goldenMessages)
	}
	b := broadcast{"count hits edge-7", []byte("text")}
	if b.Name() != "count hits edge-7" || !bytes.Equal(b.Message(), []byte("text")) {
		t.Errorf("broadcast %q, %q", b.Name(), b.Message())
	}
}
