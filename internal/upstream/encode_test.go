package upstream

import (
	"testing"
	"time"

	"hillknot/balancer"
	"hillknot/internal/core"
)

// A maximum age below 1 ms is sent as 1 ms, because an age of 0 would request the freshness time of the class and so accept
// a purged copy.
func TestAppendRequest(t *testing.T) {
	a := &core.Attempt{
		Request: &core.Request{
			Txn: "t", Class: "c", ObjectText: "0a", PartText: "3", ETag: "h", IdempotencyKey: "k", Body: []byte("xy"),
		},
		Timeout: 900 * time.Millisecond, Source: &core.Endpoint{ID: "s-1"},
		Decision: balancer.SendAttempt{CachePriority: 2, MaxAge: time.Microsecond, Coalesce: true, Revalidate: true}}
	want := "ASK t kind=c,obj=0a,seg=3,ms=900,fetch=s-1,retain=2,newer=1,handle=j+r,holds=h,token=k 2\r\nxy\r\n"
	if got := string(appendRequest(nil, a)); got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	a = &core.Attempt{Request: &core.Request{Txn: "t", Class: "c", ObjectText: "0a", PartText: "0"}}
	if got, want := string(appendRequest(nil, a)), "ASK t kind=c,obj=0a,seg=0,ms=1 0\r\n\r\n"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}
