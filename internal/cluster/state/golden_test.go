package state

import (
	"testing"
	"time"

	"hillknot/internal/testutil/golden"
)

// Routers of different releases exchange these messages. The files of testdata/golden were written at commit 86ccf0f.
//
// What reaches the bytes: no name of Go. The form is written out by hand in Message.Append; the constants of Kind are sent as
// numbers, so their order counts. Keys of messages are texts that the callers choose: core has "retries", "cold NODE" for
// budgets and "hits NODE", "misses NODE", "errors NODE" for counts (tested there), and evidence has the name of the page cache.

var goldenMessages = map[string]Message{
	"message.hex":  {Kind: KindEvidence, From: "r1", Process: 1 << 60, Key: "edge-7", Round: 300, Shares: 64, Value: 70000, Ill: true, Left: 3 * time.Second},
	"ask.hex":      {Kind: KindAsk, From: "r1", Process: 11, Key: "retries", Round: 5, Shares: 32},
	"grant.hex":    {Kind: KindGrant, From: "r2", Process: 22, Key: "cold edge-7", Round: 5, Shares: 16, Value: 11},
	"count.hex":    {Kind: KindCount, From: "r1", Process: 11, Key: "hits edge-7", Value: 129},
	"evidence.hex": {Kind: KindEvidence, From: "r1", Process: 11, Key: "edge-7", Round: 6, Ill: true, Left: 3 * time.Second},
	"well.hex":     {Kind: KindEvidence, From: "r1", Process: 11, Key: "edge-7", Round: 7, Left: 3 * time.Second},
}

func TestGoldenMessages(t *testing.T) {
	golden.Nonzero(t, goldenMessages["message.hex"])
	for name, want := range goldenMessages {
		t.Run(name, func(t *testing.T) {
			golden.Same(t, name, want.Append(nil))
			got, rest, err := ParseMessage(append(golden.Read(t, name), "rest"...))
			if err != nil || got != want || string(rest) != "rest" {
				t.Errorf("read as %+v, %q, %v; want %+v", got, rest, err, want)
			}
		})
	}
}

// What a router says by itself to all, a count and evidence, under the keys of its queue; and all that it tells one who has heard
// nothing.
func TestGoldenSaid(t *testing.T) {
	s, err := New(Defaults("r1", 11, 2))
	if err != nil {
		t.Fatal(err)
	}
	s.Live([]string{"r2"}, 2)
	s.Count("hits edge-7", 129)
	s.Observe(time.Second, "edge-7", 3, 0)
	s.Beat(time.Second)
	var said []byte
	for _, l := range s.Outbox() {
		said = append(said, l.To+"\n"+l.Key+"\n"...)
		said = append(l.Msg.Append(said), '\n')
	}
	golden.Same(t, "said.hex", said)
	var whole []byte
	for _, m := range s.Whole(time.Second) {
		whole = m.Append(whole)
	}
	golden.Same(t, "whole.hex", whole)
}
