package client

import (
	"bytes"
	"context"
	"errors"
	"testing"
	"time"

	"go.uber.org/goleak"

	"hillknot/client/policy"
	"hillknot/internal/rpc"
	"hillknot/internal/testutil/fakes"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// script plays a router that is ready and does as told with all else.
func script(t testing.TB, handle func(*fakes.Peer, rpc.Message)) *fakes.Router {
	t.Helper()
	r, err := fakes.NewReadyRouter("127.0.0.1:0", handle)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r
}

func start(t testing.TB, change func(*policy.Settings), routers ...string) *Client {
	t.Helper()
	set := policy.Defaults()
	set.Seed = 1
	if change != nil {
		change(&set)
	}
	c, err := New(Config{Routers: routers, Policy: &set})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		if err := c.Close(ctx); err != nil {
			t.Error(err)
		}
	})
	return c
}

func TestServed(t *testing.T) {
	body := bytes.Repeat([]byte("score"), 40_000)
	r := script(t, func(p *fakes.Peer, m rpc.Message) {
		if string(m.Fields.CachedTag) == "tag" {
			p.Raw(rpc.AppendBodyResponse(nil, m.ID, nil, rpc.Field{Name: rpc.FieldNotModified, Value: "1"}))
			return
		}
		p.Serve(m.ID, body)
	})
	c := start(t, nil, r.Addr())
	got, err := c.Do(context.Background(), Request{Class: "full-score", Item: 7})
	if err != nil || !bytes.Equal(got.Body, body) || got.Tries != 1 || got.Router != r.Addr() {
		t.Errorf("%d bytes, %d tries, %v", len(got.Body), got.Tries, err)
	}
	var to bytes.Buffer
	got, err = c.Do(context.Background(), Request{Class: "full-score", Item: 7, To: &to})
	if err != nil || !bytes.Equal(to.Bytes(), body) || got.Size != len(body) || got.Body != nil {
		t.Errorf("streamed %d bytes of %d, %v", to.Len(), got.Size, err)
	}
	got, err = c.Do(context.Background(), Request{Class: "part-page", Have: "tag"})
	if err != nil || !got.Unchanged {
		t.Errorf("%+v, %v", got, err)
	}
	if _, err = c.Do(context.Background(), Request{Class: "nothing"}); !errors.Is(err, ErrRequest) {
		t.Error(err)
	}
}

func BenchmarkDo(b *testing.B) {
	r := script(b, func(p *fakes.Peer, m rpc.Message) { p.Serve(m.ID, nil) })
	for _, conns := range []int{1, 8} {
		b.Run(map[int]string{1: "one connection", 8: "eight connections"}[conns], func(b *testing.B) {
			c := start(b, func(s *policy.Settings) { s.ConnsPerRouter = conns }, r.Addr())
			b.ReportAllocs()
			b.SetParallelism(4 * conns)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if _, err := c.Do(context.Background(), Request{Class: "part-page", Item: 1}); err != nil {
						b.Error(err)
						return
					}
				}
			})
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "req/s")
		})
	}
}
