package cachewire

import (
	"reflect"
	"testing"
	"time"

	"hillknot/balancer"
	"hillknot/internal/core"
	"hillknot/internal/golden"
)

// Page caches are the operators', and their form does not change with this code. The files of testdata/golden were written at
// commit 86ccf0f.
//
// What reaches the bytes: no name of a type or field, but the texts of appendAsk and appendQuit and the words of statuses, notes
// and answer.end.
func TestGoldenAsks(t *testing.T) {
	a := &core.Attempt{Request: &core.Request{Txn: "00000000000000a1", Class: "order", Item: "0a", Nth: "3", Holds: "v7", Key: "k1", Body: []byte("two\r\nseats")},
		Left: 900 * time.Millisecond, Source: &core.Member{ID: "mid-1"},
		Get: balancer.Get{Keep: 2, MaxAge: 1500 * time.Millisecond, Join: true, Held: true, Renew: true}}
	golden.Same(t, "ask.hex", appendAsk(nil, a))
	golden.Same(t, "ask-least.hex", appendAsk(nil, &core.Attempt{Request: &core.Request{Txn: "t", Class: "page", Item: "0a", Nth: "0"}}))
	golden.Same(t, "quit.hex", appendQuit(nil, "00000000000000a1"))
}

// All words and notes of answers, one after the other in one file.
func TestGoldenAnswers(t *testing.T) {
	want := []core.End{
		{Status: balancer.OK, Note: balancer.Hit, Waited: 1500 * time.Microsecond, Body: []byte("hi")},
		{Status: balancer.OK, Note: balancer.Filled, Unchanged: true, Tag: "v7"},
		{Status: balancer.Miss, Note: balancer.SourceLacks},
		{Status: balancer.Full, Note: balancer.NoPlace},
		{Status: balancer.Error, Note: balancer.OriginFailed},
		{Status: balancer.Moot},
		{Status: balancer.OK, Note: balancer.FilledByOrigin, Body: []byte{}},
		{Status: balancer.OK, Note: balancer.Joined, Body: []byte{}},
		{Status: balancer.OK, Note: balancer.Stale, Body: []byte{}},
		{Status: balancer.Full, Note: balancer.SourceRefused},
		{Status: balancer.Error, Note: balancer.SourceLost},
	}
	for rest := golden.Read(t, "answers.hex"); len(rest) > 0; want = want[1:] {
		a, n, _, err := parse(rest, 100, 100)
		if err != nil || n == 0 || len(want) == 0 {
			t.Fatalf("%q: %d bytes, %v", rest, n, err)
		}
		if got, err := a.end(); err != nil || !reflect.DeepEqual(got, want[0]) || string(a.id) != "a1" {
			t.Errorf("%q read as %+v, %v; want %+v", rest[:n], got, err, want[0])
		}
		rest = rest[n:]
	}
	if len(want) > 0 {
		t.Errorf("no answer for %+v", want)
	}
}
