package client

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"hillknot/client/policy"
	"hillknot/internal/rpc"
	"hillknot/internal/testutil/fakes"
)

// One router accepts connections but never responds, one accepts no clients, and the third is closed and restarted:
// only the third serves calls.
func TestCallsGoOnlyToTheReadyRouter(t *testing.T) {
	silent, err := fakes.NewRouter("127.0.0.1:0", func(*fakes.ClientConn, rpc.Message) {})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(silent.Close)
	var callsAtDraining atomic.Int64
	draining, err := fakes.NewRouter("127.0.0.1:0", func(conn *fakes.ClientConn, m rpc.Message) {
		if string(m.Method) != healthMethod {
			callsAtDraining.Add(1)
		}
		conn.SendHealth(m.ID, false)
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(draining.Close)
	serve := func(conn *fakes.ClientConn, m rpc.Message) { conn.SendBody(m.ID, nil) }
	ready := readyRouter(t, serve)
	addr := ready.Addr()
	ctx := context.Background()

	c := newClient(t, func(s *policy.Settings) { s.Reconnect = 200 * time.Millisecond },
		silent.Addr(), draining.Addr(), addr)
	if _, err := c.Do(ctx, Request{Class: "full-score"}); err != nil {
		t.Error(err)
	}
	ready.Close()
	_, err = c.Do(ctx, Request{Class: "full-score", Limit: 100 * time.Millisecond})
	if err == nil || errors.Is(err, ErrMayHaveRun) {
		t.Errorf("with no router that takes calls: %v", err)
	}
	restarted, err := fakes.NewReadyRouter(addr, serve)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(restarted.Close)
	if _, err := c.Do(ctx, Request{Class: "full-score"}); err != nil {
		t.Error(err)
	}
	if s := c.Stats(); s.Drains == 0 || callsAtDraining.Load() != 0 {
		t.Errorf("stats %+v; %d calls at the draining router", s, callsAtDraining.Load())
	}
	if errs := c.Health(t.Context()); errs[2] != nil || errs[1] != ErrNotReady {
		t.Errorf("Health returned %v", errs)
	}
}
