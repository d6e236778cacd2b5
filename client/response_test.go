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

// Responses to calls that have ended are ignored, and the connection stays open. The test covers a late response, a
// response that crosses the cancel, and a second response.
func TestResponsesToEndedCallsAreIgnored(t *testing.T) {
	var canceled atomic.Int64
	r := readyRouter(t, func(conn *fakes.ClientConn, m rpc.Message) {
		switch {
		case m.Kind == rpc.KindNotification:
			canceled.Add(1)
			conn.SendBody(m.IDs[0], []byte("too late"))
		case string(m.Fields.Nth) == "1": // no response
		default:
			conn.SendBody(m.ID, []byte("well"))
			conn.SendBody(m.ID, []byte("twice"))
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
				t.Errorf("got %q and error %v, want error %v", resp.Body, err, want)
			}
		}
	}
	if s := c.Stats(); s.Dials != 1 || s.Strays == 0 || canceled.Load() == 0 {
		t.Errorf("stats %+v, %d cancels received", s, canceled.Load())
	}
}
