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

// readyRouter starts a router that accepts clients and passes all other messages to handle.
func readyRouter(t testing.TB, handle func(*fakes.ClientConn, rpc.Message)) *fakes.Router {
	t.Helper()
	r, err := fakes.NewReadyRouter("127.0.0.1:0", handle)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r
}

// newClient returns a client that is closed when the test ends, after which none of its goroutines may be left.
func newClient(t testing.TB, change func(*policy.Settings), routers ...string) *Client {
	t.Helper()
	settings := policy.Defaults()
	settings.Seed = 1
	if change != nil {
		change(&settings)
	}
	c, err := New(Config{Routers: routers, Policy: &settings})
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

func TestDoReturnsTheResponse(t *testing.T) {
	body := bytes.Repeat([]byte("score"), 40_000)
	r := readyRouter(t, func(conn *fakes.ClientConn, m rpc.Message) {
		if string(m.Fields.CachedTag) == "tag" {
			conn.SendRaw(rpc.AppendBodyResponse(nil, m.ID, nil, rpc.Field{Name: rpc.FieldNotModified, Value: "1"}))
			return
		}
		conn.SendBody(m.ID, body)
	})
	c := newClient(t, nil, r.Addr())
	ctx := context.Background()

	t.Run("body is returned", func(t *testing.T) {
		got, err := c.Do(ctx, Request{Class: "full-score", Item: 7})
		if err != nil || !bytes.Equal(got.Body, body) || got.Tries != 1 || got.Router != r.Addr() {
			t.Errorf("got %d bytes, %d tries, error %v", len(got.Body), got.Tries, err)
		}
	})
	t.Run("body is written to Request.To", func(t *testing.T) {
		var to bytes.Buffer
		got, err := c.Do(ctx, Request{Class: "full-score", Item: 7, To: &to})
		if err != nil || !bytes.Equal(to.Bytes(), body) || got.Size != len(body) || got.Body != nil {
			t.Errorf("streamed %d of %d bytes, error %v", to.Len(), got.Size, err)
		}
	})
	t.Run("current copy is reported as unchanged", func(t *testing.T) {
		got, err := c.Do(ctx, Request{Class: "part-page", Have: "tag"})
		if err != nil || !got.Unchanged {
			t.Errorf("got %+v, error %v", got, err)
		}
	})
	t.Run("unknown class fails with ErrRequest", func(t *testing.T) {
		if _, err := c.Do(ctx, Request{Class: "nothing"}); !errors.Is(err, ErrRequest) {
			t.Error(err)
		}
	})
}

func BenchmarkDo(b *testing.B) {
	r := readyRouter(b, func(conn *fakes.ClientConn, m rpc.Message) { conn.SendBody(m.ID, nil) })
	for _, bench := range []struct {
		name  string
		conns int
	}{
		{"one connection", 1},
		{"eight connections", 8},
	} {
		b.Run(bench.name, func(b *testing.B) {
			c := newClient(b, func(s *policy.Settings) { s.ConnsPerRouter = bench.conns }, r.Addr())
			b.ReportAllocs()
			b.SetParallelism(4 * bench.conns)
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
