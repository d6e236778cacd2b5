package orderfailover

import (
	"reflect"
	"testing"
	"time"

	"hillknot/internal/cluster/failover"
	"hillknot/internal/core"
	"hillknot/internal/testutil/golden"
)

// A claim is compared with the record of its order by a hash of what the client asked for, which two routers of different
// releases compute. The files of testdata/golden were written at commit 86ccf0f.
//
// The hash covers no names, only the values that function digest hashes, in this order: the length (8 bytes, big-endian) and
// the bytes of each of Class, Item, Account and Body, then Part and Group (8 bytes each, big-endian).
func TestGoldenDigest(t *testing.T) {
	q := &core.Request{
		Txn:        "00000000000000a1",
		Class:      "order",
		ObjectText: "00000000000000b2",
		Account:    "acme",
		Part:       300,
		Group:      4,
		Body:       []byte("two seats"),
	}
	o := failoverOrder(q, "00000000000000c3", 1500*time.Millisecond)
	golden.Same(t, "digest.hex", o.Digest[:])
	want := failover.Order{
		Txn:      "00000000000000c3",
		Class:    "order",
		Item:     "00000000000000b2",
		Account:  "acme",
		Part:     300,
		Group:    4,
		Digest:   o.Digest,
		TimeLeft: 1500 * time.Millisecond,
		Body:     []byte("two seats"),
	}
	if !reflect.DeepEqual(o, want) {
		t.Errorf("order %+v, want %+v", o, want)
	}
	empty := failoverOrder(&core.Request{}, "", 0)
	golden.Same(t, "digest-empty.hex", empty.Digest[:])
}

// Each answer is converted to the outcome that the replica stores.
func TestGoldenOutcomes(t *testing.T) {
	rejected := core.Answer{Verdict: core.Rejected, RetryAfter: time.Second}
	for name, c := range map[string]struct {
		answer     core.Answer
		mayHaveRun bool
		want       failover.Outcome
	}{
		"served": {
			answer:     core.Answer{Verdict: core.Served, Body: []byte("seat 12")},
			mayHaveRun: true,
			want:       failover.Outcome{Kind: failover.Served, Body: []byte("seat 12")},
		},
		"rejected": {
			answer: rejected,
			want:   failover.Outcome{Kind: failover.NeverRan, RetryAfter: time.Second},
		},
		"rejected after it may have run": {
			answer:     rejected,
			mayHaveRun: true,
			want:       failover.Outcome{Kind: failover.MayHaveRun},
		},
		"failed": {
			answer:     core.Answer{Verdict: core.Failed},
			mayHaveRun: true,
			want:       failover.Outcome{Kind: failover.Failed},
		},
	} {
		if got := failoverOutcome(c.answer, c.mayHaveRun); !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s: %+v, want %+v", name, got, c.want)
		}
	}
}
