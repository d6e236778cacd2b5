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

// rewindableSink keeps the bytes that are written to it, and can discard them.
type rewindableSink struct{ bytes.Buffer }

// Rewind implements Rewinder.
func (s *rewindableSink) Rewind() error { s.Reset(); return nil }

// failingSink fails each write. It is also a Rewinder.
type failingSink struct {
	rewindableSink
	err error
}

func (s *failingSink) Write([]byte) (int, error) { return 0, s.err }

// plainSink can't discard the bytes that are written to it, and calls onFirst before the first of them.
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

// Bytes are not written to Request.To twice: a call whose response breaks off is retried only if the sink is a
// Rewinder. A failing sink ends the call.
func TestBrokenOffStreamIsRetriedOnlyWithRewinder(t *testing.T) {
	body := bytes.Repeat([]byte("score "), 30_000)
	var requests atomic.Int64
	breakOff := make(chan struct{}, 10)
	r := readyRouter(t, func(conn *fakes.ClientConn, m rpc.Message) {
		response := rpc.AppendBodyResponse(nil, m.ID, body)
		if m.Kind == rpc.KindRequest && requests.Add(1)%2 == 1 { // every other request, the first included
			conn.SendRaw(response[:100_000])
			<-breakOff
			conn.Reset()
			return
		}
		conn.SendRaw(response)
	})
	c := newClient(t, func(s *policy.Settings) { s.Reconnect = 50 * time.Millisecond }, r.Addr())
	ctx := context.Background()

	var rewindable rewindableSink
	breakOff <- struct{}{}
	_, err := c.Do(ctx, Request{Class: "full-score", To: &rewindable})
	if err != nil || !bytes.Equal(rewindable.Bytes(), body) {
		t.Errorf("rewindable sink got %d bytes, error %v", rewindable.Len(), err)
	}

	plain := &plainSink{onFirst: func() { breakOff <- struct{}{} }}
	_, err = c.Do(ctx, Request{Class: "full-score", To: plain})
	if !errors.Is(err, ErrLost) || plain.written == 0 || plain.written > 100_000 {
		t.Errorf("plain sink got %d bytes, error %v", plain.written, err)
	}

	_, err = c.Do(ctx, Request{Class: "full-score", To: &failingSink{err: os.ErrPermission}})
	if !errors.Is(err, ErrSink) || !errors.Is(err, os.ErrPermission) {
		t.Errorf("failing sink: error %v", err)
	}
}
