package messaging

import (
	"bytes"
	"reflect"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"hillknot/internal/testutil/golden"
)

// Routers of different releases exchange these packets: while a cluster is upgraded, routers of the new release communicate
// with others of the old one. The files of testdata/golden were written at commit 86ccf0f.
//
// packet and item are encoded as CBOR arrays (`cbor:",toarray"`), so the bytes depend on the order, types and number of their
// fields, but on no names: packet.{From, Process, ToProcess, Messages, Acknowledgements, Query, QueryReply}, item.{ID, Body}.
// A struct without the tagged field _ would be encoded as a map with the names of its fields. An empty list is encoded as
// nil, not as a list without elements.

var goldenPackets = map[string]packet{
	"packet.hex": {
		From:             "r1",
		Process:          70000,
		ToProcess:        1 << 40,
		Messages:         []item{{ID: 5, Body: []byte("five")}, {ID: 600, Body: []byte("six hundred")}},
		Acknowledgements: []item{{ID: 7, Body: []byte("yes")}},
		Query:            8,
		QueryReply:       9,
	},
	"parcels.hex": {From: "r1", Process: 11, ToProcess: 22, Messages: []item{{ID: 1, Body: []byte("order")}}},
	"answers.hex": {From: "r1", Process: 11, ToProcess: 22, Acknowledgements: []item{{ID: 2, Body: []byte("yes")}}},
	"ask.hex":     {From: "r1", Process: 11, Query: 3},
	"echo.hex":    {From: "r1", Process: 11, ToProcess: 22, QueryReply: 3},
	"poke.hex":    {From: "r1", Process: 11, ToProcess: 22},
}

func TestGoldenPackets(t *testing.T) {
	golden.Nonzero(t, goldenPackets["packet.hex"])
	for name, want := range goldenPackets {
		t.Run(name, func(t *testing.T) {
			data, err := cbor.Marshal(&want) // as packetWriter.flush does
			if err != nil {
				t.Fatal(err)
			}
			golden.Same(t, name, data)
			var got packet
			if err := cbor.Unmarshal(golden.Read(t, name), &got); err != nil || !reflect.DeepEqual(got, want) {
				t.Errorf("decoded as %+v, %v; want %+v", got, err, want)
			}
		})
	}
}

// A messenger sends, byte for byte, the packets that it sent when the files were written, and processes the packets that its
// peer sent then: both queries for a process, the replies to them, a message, its retry, and its acknowledgement.
func TestGoldenExchange(t *testing.T) {
	r1, r2 := New(Defaults("r1", 11)), New(Defaults("r2", 22))
	now := time.Second
	step := func(from, to *Messenger, names ...string) (in []Delivery) {
		t.Helper()
		out := from.DuePackets(now)
		if len(out) != len(names) {
			t.Fatalf("%d packets are due, want %v", len(out), names)
		}
		for i, name := range names {
			golden.Same(t, name, out[i].Data)
			in = append(in, to.Receive(now, golden.Read(t, name))...)
		}
		return in
	}
	if _, err := r1.Send(now, "r2", []byte("order"), now+time.Minute); err != nil {
		t.Fatal(err)
	}
	step(r1, r2, "talk-1-ask.hex")
	step(r2, r1, "talk-2-ask.hex", "talk-3-echo.hex")
	step(r1, r2, "talk-4-parcel.hex", "talk-5-echo.hex")
	now += 30 * time.Millisecond
	in := step(r1, r2, "talk-6-parcel.hex")
	if want := []Delivery{{From: "r1", Process: 11, ID: 1, Body: []byte("order")}}; !reflect.DeepEqual(in, want) {
		t.Fatalf("received %+v, want %+v", in, want)
	}
	r2.Acknowledge(in[0], []byte("yes"))
	step(r2, r1, "talk-7-answer.hex")
	if done := r1.Completions(); len(done) != 1 || done[0].Err != nil || !bytes.Equal(done[0].Reply, []byte("yes")) {
		t.Errorf("completed %+v, want one message with the reply yes", done)
	}
}
