package client

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"hillknot/client/policy"
	"hillknot/internal/rpc"
	"hillknot/internal/testutil/fakes"
)

// The number of waiting calls is bounded, Close cancels the calls that do not end in time, and a closed client takes
// no calls.
func TestWaitingCallsAreBoundedAndCanceledByClose(t *testing.T) {
	r := readyRouter(t, func(*fakes.ClientConn, rpc.Message) {}) // the router never responds
	settings := policy.Defaults()
	settings.Waiting, settings.ConnsPerRouter, settings.OpenPerConn = 3, 1, 2
	c, err := New(Config{Routers: []string{r.Addr()}, Policy: &settings})
	if err != nil {
		t.Fatal(err)
	}
	var calls sync.WaitGroup
	var busy, canceled atomic.Int64
	for range 20 {
		calls.Go(func() {
			switch _, err := c.Do(context.Background(), Request{Class: "full-score"}); {
			case errors.Is(err, ErrBusy):
				busy.Add(1)
			case errors.Is(err, ErrCanceled):
				canceled.Add(1)
			default:
				t.Error(err)
			}
		})
	}
	for c.Stats().Calls < 20 || c.Stats().Tries < 2 {
		time.Sleep(time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if err := c.Close(ctx); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("Close returned %v", err)
	}
	calls.Wait()
	// Three calls can wait at a time. Once two of them are in flight, up to two more may take their places.
	if busy.Load()+canceled.Load() != 20 || canceled.Load() < 3 || canceled.Load() > 5 {
		t.Errorf("%d calls busy, %d canceled", busy.Load(), canceled.Load())
	}
	if _, err := c.Do(context.Background(), Request{Class: "full-score"}); !errors.Is(err, ErrClosed) {
		t.Errorf("Do after Close returned %v", err)
	}
}
