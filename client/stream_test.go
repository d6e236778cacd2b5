package client

import (
	"bytes"
	"context"
	"errors"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"hillknot/client/policy"
	"hillknot/internal/rpc"
	"hillknot/internal/testutil/fakes"
)

// rewindableSink keeps what it is given, and can discard it.
type rewindableSink struct{ bytes.Buffer }

// Rewind implements Rewinder.
func (s *rewindableSink) Rewind() error { s.Reset(); return nil }

// failingSink fails each write. It is a Rewinder too.
type failingSink struct {
	rewindableSink
	err error
}

func (s *failingSink) Write([]byte) (int, error) { return 0, s.err }

// plainSink can't discard what it is given, and reports its first bytes.
type plainSink struct {
	written int
	onFirst func()
}

func (s *plainSink) Write(b []byte) (int, error) {
	if s.written == 0 {
		s.onFirst()
	}
	s.written += len(b)
	return len(b), nil
}

// What was written to Request.To is not written twice: a call whose response breaks off is retried only where the
// sink is a Rewinder. A sink that fails ends the call.
func TestBrokenOffStreamIsRetriedOnlyWithRewinder(t *testing.T) {
	body := bytes.Repeat([]byte("score "), 30_000)
	var requests atomic.Int64
	breakOff := make(chan struct{}, 10)
	r := readyRouter(t, func(p *fakes.Peer, m rpc.Message) {
		response := rpc.AppendBodyResponse(nil, m.ID, body)
		if m.Kind == rpc.KindRequest && requests.Add(1)%2 == 1 { // each other one
			p.SendRaw(response[:100_000])
			<-breakOff
			p.Reset()
			return
		}
		p.SendRaw(response)
	})
	c := newClient(t, func(s *policy.Settings) { s.Reconnect = 50 * time.Millisecond }, r.Addr())
	ctx := context.Background()

	var rewindable rewindableSink
	breakOff <- struct{}{}
	_, err := c.Do(ctx, Request{Class: "full-score", To: &rewindable})
	if err != nil || !bytes.Equal(rewindable.Bytes(), body) {
		t.Errorf("%d bytes, %v", rewindable.Len(), err)
	}

	plain := &plainSink{onFirst: func() { breakOff <- struct{}{} }}
	_, err = c.Do(ctx, Request{Class: "full-score", To: plain})
	if !errors.Is(err, ErrLost) || plain.written == 0 || plain.written > 100_000 {
		t.Errorf("%d bytes handed over, %v", plain.written, err)
	}

	_, err = c.Do(ctx, Request{Class: "full-score", To: &failingSink{err: os.ErrPermission}})
	if !errors.Is(err, ErrSink) || !errors.Is(err, os.ErrPermission) {
		t.Errorf("a sink that fails: %v", err)
	}
}
