package upstream

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hillknot/balancer"
	"hillknot/internal/core"
	"hillknot/internal/testutil/parsertest"
)

func TestParse(t *testing.T) {
	word := rapid.StringMatching(`[a-zA-Z0-9=,._-]{1,12}`)
	parsertest.Run(t, func(t *rapid.T) []byte {
		body := rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(t, "body")
		return fmt.Appendf(nil, "%s %s %s %d\r\n%s\r\n", word.Draw(t, "id"), word.Draw(t, "word"), word.Draw(t, "fields"),
			len(body), body)
	}, func(buf []byte) (int, int, error) {
		_, n, want, err := parse(buf, 100, 300)
		return n, want, err
	})
	for _, text := range []string{"a DONE - 301\r\n", "a DONE - -1\r\n", "a DONE 3\r\n", "a DONE - 1 \r\n", "a  - 1\r\n",
		"a DONE - 1\nx\r\n", "a DONE - 1\r\nxyz"} {
		if _, n, _, err := parse([]byte(text), 100, 300); err == nil {
			t.Errorf("%q: used %d, want an error", text, n)
		}
	}
}

// Each word has one meaning; one that is not known garbles the line.
func TestEnd(t *testing.T) {
	for text, want := range map[string]core.AttemptResult{
		"a DONE res=past_fresh,took=1.5,version=x 2\r\nhi\r\n": {Status: balancer.OK, Detail: balancer.Stale,
			SourceWait: 1500 * time.Microsecond, Body: []byte("hi")},
		"a KEEP version=x,res=cached 0\r\n\r\n": {Status: balancer.OK, Detail: balancer.Hit, NotModified: true, ETag: "x"},
		"a LACK res=up_empty 0\r\n\r\n":         {Status: balancer.Miss, Detail: balancer.SourceMiss},
		"a WAIT - 0\r\n\r\n":                    {Status: balancer.Rejected},
		"a BROKE res=up_lost 0\r\n\r\n":         {Status: balancer.Error, Detail: balancer.SourceUnreachable},
		"a PAST took=-3,res=what 0\r\n\r\n":     {Status: balancer.NotSent},
	} {
		a, _, _, err := parse([]byte(text), 100, 100)
		if err != nil {
			t.Fatalf("%q: %v", text, err)
		}
		if e, err := a.end(); err != nil || fmt.Sprint(e) != fmt.Sprint(want) {
			t.Errorf("%q: %+v, %v; want %+v", text, e, err, want)
		}
	}
	if _, err := (answer{word: []byte("FIT")}).end(); err == nil {
		t.Error("an unknown word was taken")
	}
}

// The age of 0 ms would ask for the fresh time of the class, and so let a purged copy through.
func TestAppendAsk(t *testing.T) {
	a := &core.Attempt{Request: &core.Request{Txn: "t", Class: "c", ObjectText: "0a", PartText: "3", ETag: "h", IdempotencyKey: "k", Body: []byte("xy")},
		Timeout: 900 * time.Millisecond, Source: &core.Endpoint{ID: "s-1"},
		Decision: balancer.SendAttempt{CachePriority: 2, MaxAge: time.Microsecond, Coalesce: true, Revalidate: true}}
	want := "ASK t kind=c,obj=0a,seg=3,ms=900,fetch=s-1,retain=2,newer=1,handle=j+r,holds=h,token=k 2\r\nxy\r\n"
	if got := string(appendAsk(nil, a)); got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	a = &core.Attempt{Request: &core.Request{Txn: "t", Class: "c", ObjectText: "0a", PartText: "0"}}
	if got, want := string(appendAsk(nil, a)), "ASK t kind=c,obj=0a,seg=0,ms=1 0\r\n\r\n"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}
