package failover

import (
	"reflect"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"hillknot/internal/testutil/golden"
)

// Routers of different releases exchange these messages, because the routers of a cluster are upgraded one after another. The
// files in testdata/golden were written at commit 86ccf0f.
//
// message, Order, Outcome and reply are encoded as CBOR arrays (`cbor:",toarray"`), so the order, types and number of their
// fields determine the bytes, and their names do not: message.{Kind, Txn, Step, Session, Order, Outcome, Claim, Update},
// Order.{Txn, Class, Item, Account, Part, Group, Digest, TimeLeft, Body, BodyComplete}, Outcome.{Kind, Body, RetryAfter},
// reply.{Kind, Certain, Outcome}. A struct without the field _ and its tag would be encoded as a map with its fields' names.
// Times are in nanoseconds. The constants of messageKind, step, replyKind and OutcomeKind are sent as numbers, so their order
// is fixed. The duty "keeper of NAME" (replicaDuty) is hashed to choose the replica; no router relies on another router's
// choice.

var (
	goldenDigest = [32]byte{
		1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16,
		17, 18, 19, 20, 21, 22, 23, 24, 25, 26, 27, 28, 29, 30, 31, 32,
	}
	goldenOrder = Order{
		Txn:          "00000000000000a1",
		Class:        "order",
		Item:         "00000000000000b2",
		Account:      "acme",
		Part:         300,
		Group:        4,
		Digest:       goldenDigest,
		TimeLeft:     1500 * time.Millisecond,
		Body:         []byte("two seats"),
		BodyComplete: true,
	}
	goldenOutcome = Outcome{Kind: NeverRan, Body: []byte("no seats"), RetryAfter: 250 * time.Millisecond}
	goldenReply   = reply{
		Kind:    replyRun,
		Certain: true,
		Outcome: Outcome{Kind: Served, Body: []byte("seat 12"), RetryAfter: time.Second},
	}
)

// goldenMessages holds the messages by golden file. The one in message.hex sets every field; the others have the fields that
// the code sets.
var goldenMessages = map[string]message{
	"message.hex": {
		Kind:    messageClaimUpdate,
		Txn:     "00000000000000c3",
		Step:    stepMaySend,
		Session: 70000,
		Order:   goldenOrder,
		Outcome: goldenOutcome,
		Claim:   1 << 40,
		Update:  goldenReply,
	},
	"tell-taken.hex": {Kind: messageStep, Txn: "a1", Step: stepOwnerOnly, Session: 7, Order: goldenOrder},
	"tell-left.hex":  {Kind: messageStep, Txn: "a1", Step: stepTransferable, Session: 7, Order: goldenOrder},
	"tell-may.hex":   {Kind: messageStep, Txn: "a1", Step: stepMaySend, Session: 7},
	"tell-ended.hex": {Kind: messageStep, Txn: "a1", Step: stepEnded, Session: 7, Outcome: Outcome{Kind: Failed}},
	"tell-alive.hex": {Kind: messageStep, Session: 7},
	"claim.hex":      {Kind: messageClaim, Txn: "a1", Order: Order{Digest: goldenDigest}, Claim: 9},
	"news-outcome.hex": {
		Kind:   messageClaimUpdate,
		Txn:    "a1",
		Claim:  9,
		Update: reply{Kind: replyOutcome, Outcome: Outcome{Kind: Served, Body: []byte("seat 12")}},
	},
}

func TestGoldenMessages(t *testing.T) {
	golden.Nonzero(t, goldenMessages["message.hex"])
	for name, want := range goldenMessages {
		t.Run(name, func(t *testing.T) {
			body, err := cbor.Marshal(&want)
			if err != nil {
				t.Fatal(err)
			}
			golden.Same(t, name, body)
			var got message
			err = cbor.Unmarshal(golden.Read(t, name), &got)
			if err != nil || !reflect.DeepEqual(got, want) || !got.valid() {
				t.Errorf("decoded %+v, error %v; want %+v", got, err, want)
			}
		})
	}
}

// Each kind of reply keeps its number, because another release decodes the number.
func TestGoldenReplies(t *testing.T) {
	golden.Nonzero(t, goldenReply)
	replies := map[string]reply{"word.hex": goldenReply}
	for name, kind := range map[string]replyKind{
		"bad":       replyInvalid,
		"held":      replyAcknowledged,
		"lost":      replyLeaseLost,
		"gone":      replyGivenAway,
		"full":      replyFull,
		"unknown":   replyUnknown,
		"elsewhere": replyElsewhere,
		"may":       replyMayHaveRun,
		"wait":      replyPending,
		"outcome":   replyOutcome,
		"run":       replyRun,
	} {
		replies["word-"+name+".hex"] = reply{Kind: kind}
	}
	for name, want := range replies {
		t.Run(name, func(t *testing.T) {
			body, err := cbor.Marshal(&want)
			if err != nil {
				t.Fatal(err)
			}
			golden.Same(t, name, body)
			var got reply
			if err := cbor.Unmarshal(golden.Read(t, name), &got); err != nil || !reflect.DeepEqual(got, want) {
				t.Errorf("decoded %+v, error %v; want %+v", got, err, want)
			}
		})
	}
}

// Each kind of outcome keeps its number.
func TestGoldenOutcomes(t *testing.T) {
	for name, kind := range map[string]OutcomeKind{
		"may-have-run": MayHaveRun,
		"served":       Served,
		"failed":       Failed,
		"never-ran":    NeverRan,
	} {
		t.Run(name, func(t *testing.T) {
			want := Outcome{Kind: kind, Body: []byte("seat 12"), RetryAfter: 3 * time.Second}
			name := "outcome-" + name + ".hex"
			body, err := cbor.Marshal(&want)
			if err != nil {
				t.Fatal(err)
			}
			golden.Same(t, name, body)
			var got Outcome
			if err := cbor.Unmarshal(golden.Read(t, name), &got); err != nil || !reflect.DeepEqual(got, want) {
				t.Errorf("decoded %+v, error %v; want %+v", got, err, want)
			}
		})
	}
}
