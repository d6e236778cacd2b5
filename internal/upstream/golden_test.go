package upstream

import (
	"reflect"
	"testing"
	"time"

	"hillknot/balancer"
	"hillknot/internal/core"
	"hillknot/internal/testutil/golden"
)

// Page caches belong to the operators, so their protocol does not change with this code. The files in testdata/golden were
// written at commit 86ccf0f.
//
// The bytes do not depend on names of types or fields. They depend on the texts in appendRequest and appendCancel, and on
// the keys in statuses, details, response.result and response.sourceWait.
func TestGoldenRequests(t *testing.T) {
	a := &core.Attempt{
		Request: &core.Request{
			Txn: "00000000000000a1", Class: "order", ObjectText: "0a", PartText: "3", ETag: "v7", IdempotencyKey: "k1",
			Body: []byte("two\r\nseats"),
		},
		Timeout: 900 * time.Millisecond, Source: &core.Endpoint{ID: "mid-1"},
		Decision: balancer.SendAttempt{
			CachePriority: 2, MaxAge: 1500 * time.Millisecond, Coalesce: true, CachedOnly: true, Revalidate: true,
		},
	}
	golden.Same(t, "ask.hex", appendRequest(nil, a))
	minimal := &core.Attempt{Request: &core.Request{Txn: "t", Class: "page", ObjectText: "0a", PartText: "0"}}
	golden.Same(t, "ask-least.hex", appendRequest(nil, minimal))
	golden.Same(t, "quit.hex", appendCancel(nil, "00000000000000a1"))
}

// The file answers.hex holds responses with all status words and details, one after the other.
func TestGoldenResponses(t *testing.T) {
	want := []core.AttemptResult{
		{Status: balancer.OK, Detail: balancer.Hit, SourceWait: 1500 * time.Microsecond, Body: []byte("hi")},
		{Status: balancer.OK, Detail: balancer.Filled, NotModified: true, ETag: "v7"},
		{Status: balancer.Miss, Detail: balancer.SourceMiss},
		{Status: balancer.Rejected, Detail: balancer.NoFillSlot},
		{Status: balancer.Error, Detail: balancer.OriginFailed},
		{Status: balancer.NotSent},
		{Status: balancer.OK, Detail: balancer.FilledByOrigin, Body: []byte{}},
		{Status: balancer.OK, Detail: balancer.Coalesced, Body: []byte{}},
		{Status: balancer.OK, Detail: balancer.Stale, Body: []byte{}},
		{Status: balancer.Rejected, Detail: balancer.SourceRejected},
		{Status: balancer.Error, Detail: balancer.SourceUnreachable},
	}
	for rest := golden.Read(t, "answers.hex"); len(rest) > 0; want = want[1:] {
		r, progress, err := parseResponse(rest, 100, 100)
		n := progress.consumed
		if err != nil || n == 0 || len(want) == 0 {
			t.Fatalf("%q: %d bytes, %v", rest, n, err)
		}
		if got, err := r.result(); err != nil || !reflect.DeepEqual(got, want[0]) || string(r.txn) != "a1" {
			t.Errorf("%q: parsed as %+v, %v; want %+v", rest[:n], got, err, want[0])
		}
		rest = rest[n:]
	}
	if len(want) > 0 {
		t.Errorf("the file has no responses for %+v", want)
	}
}
