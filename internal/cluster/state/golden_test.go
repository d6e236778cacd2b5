package state

import (
	"testing"
	"time"

	"hillknot/internal/testutil/golden"
)

// Routers of different releases exchange these messages. The files of testdata/golden were written at commit 86ccf0f.
//
// The bytes depend on no Go names: Message.Append writes the encoded form field by field. The constants of Kind are sent
// as numbers, so their order must not change. Callers choose the keys of messages: core uses "retries" and "cold NODE" for
// budgets, and "hits NODE", "misses NODE" and "errors NODE" for counters (tested there); the key of evidence is the name
// of the page cache.

var goldenMessages = map[string]Message{
	"message.hex": {Kind: KindHealthEvidence, From: "r1", Process: 1 << 60, Key: "edge-7", Sequence: 300, Shares: 64,
		Value: 70000, Unhealthy: true, ValidFor: 3 * time.Second},
	"ask.hex": {Kind: KindLeaseRequest, From: "r1", Process: 11, Key: "retries", Sequence: 5, Shares: 32},
	"grant.hex": {Kind: KindLeaseGrant, From: "r2", Process: 22, Key: "cold edge-7", Sequence: 5,
		Shares: 16, Value: 11},
	"count.hex": {Kind: KindCounterUpdate, From: "r1", Process: 11, Key: "hits edge-7", Value: 129},
	"evidence.hex": {Kind: KindHealthEvidence, From: "r1", Process: 11, Key: "edge-7", Sequence: 6,
		Unhealthy: true, ValidFor: 3 * time.Second},
	"well.hex": {Kind: KindHealthEvidence, From: "r1", Process: 11, Key: "edge-7", Sequence: 7,
		ValidFor: 3 * time.Second},
}

func TestGoldenMessages(t *testing.T) {
	golden.Nonzero(t, goldenMessages["message.hex"])
	for name, want := range goldenMessages {
		t.Run(name, func(t *testing.T) {
			golden.Same(t, name, want.Append(nil))
			got, rest, err := ParseMessage(append(golden.Read(t, name), "rest"...))
			if err != nil || got != want || string(rest) != "rest" {
				t.Errorf("parsed as %+v, %q, %v; want %+v", got, rest, err, want)
			}
		})
	}
}

// The broadcasts of a router, a counter update and evidence, with their replace keys, and the full state that it sends to
// a router without any shared state.
func TestGoldenBroadcastsAndFullState(t *testing.T) {
	s, err := New(Defaults("r1", 11, 2))
	if err != nil {
		t.Fatal(err)
	}
	s.SetPeers([]string{"r2"}, 2)
	s.IncrementCounter("hits edge-7", 129)
	s.ObserveHealth(time.Second, "edge-7", 3, 0)
	s.Tick(time.Second)
	var broadcasts []byte
	for _, out := range s.OutgoingMessages() {
		broadcasts = append(broadcasts, out.Recipient+"\n"+out.ReplaceKey+"\n"...)
		broadcasts = append(out.Message.Append(broadcasts), '\n')
	}
	golden.Same(t, "said.hex", broadcasts)
	var fullState []byte
	for _, m := range s.FullState(time.Second) {
		fullState = m.Append(fullState)
	}
	golden.Same(t, "whole.hex", fullState)
}
