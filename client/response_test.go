package client

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"hillknot/internal/rpc"
	"hillknot/internal/testutil/fakes"
)

// A response to a call that has ended is ignored: one that came late, one that crossed the cancel, and a second
// one. The connection goes on.
func TestResponsesToEndedCallsAreIgnored(t *testing.T) {
	var canceled atomic.Int64
	r := readyRouter(t, func(p *fakes.Peer, m rpc.Message) {
		switch {
		case m.Kind == rpc.KindNotification:
			canceled.Add(1)
			p.SendBody(m.IDs[0], []byte("too late"))
		case string(m.Fields.Nth) == "1": // never in time
		default:
			p.SendBody(m.ID, []byte("well"))
			p.SendBody(m.ID, []byte("twice"))
		}
	})
	c := newClient(t, nil, r.Addr())
	for range 5 {
		for _, want := range []error{nil, ErrDeadline, nil, ErrCanceled} {
			ctx, cancel := context.WithCancel(context.Background())
			req := Request{Class: "new-arrange"}
			switch want {
			case ErrDeadline:
				req.Part, req.Limit = 1, 100*time.Millisecond
			case ErrCanceled:
				req.Part = 1
				time.AfterFunc(50*time.Millisecond, cancel)
			}
			resp, err := c.Do(ctx, req)
			cancel()
			if !errors.Is(err, want) || (err != nil) != errors.Is(err, ErrMayHaveRun) ||
				err == nil && string(resp.Body) != "well" {
				t.Errorf("%q, %v, want %v", resp.Body, err, want)
			}
		}
	}
	if s := c.Stats(); s.Dials != 1 || s.Strays == 0 || canceled.Load() == 0 {
		t.Errorf("%+v, %d cancels", s, canceled.Load())
	}
}
