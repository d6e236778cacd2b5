package client

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hillknot/client/policy"
	"hillknot/internal/rpc"
	"hillknot/internal/testutil/fakes"
	_ "hillknot/internal/testutil/parsertest" // sets rapid's seed
)

// told sends a request to a router that answers health and then these bytes, and ends.
func told(t interface {
	Helper()
	Fatal(...any)
}, answer []byte, to io.Writer) (Response, error) {
	t.Helper()
	c, err := New(Config{Routers: []string{"127.0.0.1:1"}, MaxAnswer: 1 << 12, Dial: func(context.Context, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			defer far.Close()
			in := make([]byte, 1<<12)
			if _, err := far.Read(in); err != nil {
				return
			}
			if _, err := far.Write(rpc.AppendHealthResponse(nil, 1, true)); err != nil {
				return
			}
			if _, err := far.Read(in); err == nil {
				_, _ = far.Write(answer) // a client that finds it malformed hangs up
			}
		}()
		return near, nil
	}})
	if err != nil {
		t.Fatal(err)
	}
	resp, err := c.Do(context.Background(), Request{Class: "new-arrange", Limit: time.Second, To: to})
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if err := c.Close(ctx); err != nil {
		t.Fatal(err)
	}
	return resp, err
}

// check tells what must hold of an order's answer, whatever came.
func check(t interface {
	Helper()
	Fatalf(string, ...any)
}, answer []byte, resp Response, err error) {
	t.Helper()
	var e *Error
	switch {
	case err == nil && len(resp.Body) > 1<<12:
		t.Fatalf("%q: a body of %d bytes", answer, len(resp.Body))
	case err != nil && !errors.As(err, &e):
		t.Fatalf("%q: %v", answer, err)
	case errors.Is(err, ErrLost) && !errors.Is(err, ErrMayHaveRun):
		t.Fatalf("%q: lost, and surely not run: %v", answer, err)
	}
}

func answers(t *rapid.T) []byte {
	id := rapid.Uint64Range(0, 3).Draw(t, "id")
	switch rapid.IntRange(0, 3).Draw(t, "kind") {
	case 0:
		body := rapid.SliceOfN(rapid.Byte(), 0, 5000).Draw(t, "body")
		return rpc.AppendBodyResponse(nil, id, body, rpc.Field{Name: rpc.FieldNotModified, Value: "1"})
	case 1:
		code := rapid.StringN(0, 20, 40).Draw(t, "word")
		return rpc.AppendErrorResponse(nil, id, code, rpc.Field{Name: rpc.FieldRetryAfter, Value: rapid.StringN(0, 9, 9).Draw(t, "later")})
	case 2:
		return rpc.AppendHealthResponse(nil, id, rapid.Bool().Draw(t, "ready"))
	}
	return rapid.SliceOfN(rapid.Byte(), 1, 100).Draw(t, "garbage")
}

// Garbage, answers that are too long, and answers to what nobody asked end in an error, never in a panic or in memory
// that grows.
func TestGarbage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		answer := append(answers(t), answers(t)...)
		for range rapid.IntRange(0, 3).Draw(t, "bends") {
			answer[rapid.IntRange(0, len(answer)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
		}
		resp, err := told(t, answer, nil)
		check(t, answer, resp, err)
	})
	for _, bad := range [][]byte{
		rpc.AppendBodyResponse(nil, 2, make([]byte, 1<<12+1)),  // over the limit
		{0x94, 1, 2, 0xc0, 0x92, 0xc6, 0x7f, 0xff, 0xff, 0xff}, // two gigabytes
		rpc.AppendBodyResponse(nil, 99, nil),                   // an id that was never used
		bytes.Repeat([]byte{0x94}, 1<<14),
		{0x93, 2, 0xa1, 'x', 0x90},
	} {
		if _, err := told(t, bad, nil); !errors.Is(err, ErrLost) || !errors.Is(err, ErrMayHaveRun) {
			t.Errorf("%.20q: %v", bad, err)
		}
	}
}

func FuzzAnswer(f *testing.F) {
	for _, seed := range [][]byte{
		rpc.AppendBodyResponse(nil, 2, []byte("body"), rpc.Field{Name: rpc.FieldNotModified, Value: "1"}),
		rpc.AppendErrorResponse(nil, 2, rpc.CodeThrottled, rpc.Field{Name: rpc.FieldRetryAfter, Value: "9"}),
		rpc.AppendHealthResponse(nil, 2, false), {0x94, 1, 2, 0xc0, 0x92, 0xc6, 0x7f, 0xff, 0xff, 0xff},
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, answer []byte) {
		resp, err := told(t, answer, nil)
		check(t, answer, resp, err)
	})
}

// An answer to a call that has ended is passed over: one that came late, one that crossed the cancel, and a second one.
// The connection goes on.
func TestLateAnswers(t *testing.T) {
	var canceled atomic.Int64
	r := script(t, func(p *fakes.Peer, m rpc.Message) {
		switch {
		case m.Kind == rpc.KindNotification:
			canceled.Add(1)
			p.Serve(m.IDs[0], []byte("too late"))
		case string(m.Fields.Nth) == "1": // never in time
		default:
			p.Serve(m.ID, []byte("well"))
			p.Serve(m.ID, []byte("twice"))
		}
	})
	c := start(t, nil, r.Addr())
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
			if !errors.Is(err, want) || (err != nil) != errors.Is(err, ErrMayHaveRun) || err == nil && string(resp.Body) != "well" {
				t.Errorf("%q, %v, want %v", resp.Body, err, want)
			}
		}
	}
	if s := c.Stats(); s.Dials != 1 || s.Strays == 0 || canceled.Load() == 0 {
		t.Errorf("%+v, %d cancels", s, canceled.Load())
	}
}

// Calls that wait are bounded, a closed client takes none, and Close withdraws what does not end in time.
func TestBusyAndClose(t *testing.T) {
	r := script(t, func(*fakes.Peer, rpc.Message) {})
	set := policy.Defaults()
	set.Waiting, set.ConnsPerRouter, set.OpenPerConn = 3, 1, 2
	c, err := New(Config{Routers: []string{r.Addr()}, Policy: &set})
	if err != nil {
		t.Fatal(err)
	}
	var all sync.WaitGroup
	var busy, withdrawn atomic.Int64
	for range 20 {
		all.Go(func() {
			switch _, err := c.Do(context.Background(), Request{Class: "full-score"}); {
			case errors.Is(err, ErrBusy):
				busy.Add(1)
			case errors.Is(err, ErrCanceled):
				withdrawn.Add(1)
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
		t.Errorf("close: %v", err)
	}
	all.Wait()
	// Those that came once two were out found two places more to wait.
	if busy.Load()+withdrawn.Load() != 20 || withdrawn.Load() < 3 || withdrawn.Load() > 5 {
		t.Errorf("%d busy, %d withdrawn", busy.Load(), withdrawn.Load())
	}
	if _, err := c.Do(context.Background(), Request{Class: "full-score"}); !errors.Is(err, ErrClosed) {
		t.Errorf("after the close: %v", err)
	}
}

// sink keeps what it is given, and can forget it.
type sink struct {
	bytes.Buffer
	rewound int
	fail    error
}

func (s *sink) Write(b []byte) (int, error) {
	if s.fail != nil {
		return 0, s.fail
	}
	return s.Buffer.Write(b)
}
func (s *sink) Rewind() error { s.rewound++; s.Reset(); return nil }

// What was handed over is not handed over twice: a call whose answer breaks off goes again only where its sink can
// forget. A sink that fails ends the call.
func TestStreamedRetry(t *testing.T) {
	whole := bytes.Repeat([]byte("score "), 30_000)
	var tries atomic.Int64
	half := make(chan struct{}, 10)
	r := script(t, func(p *fakes.Peer, m rpc.Message) {
		all := rpc.AppendBodyResponse(nil, m.ID, whole)
		if m.Kind == rpc.KindRequest && tries.Add(1)%2 == 1 {
			p.Raw(all[:100_000])
			<-half
			p.End(true)
			return
		}
		p.Raw(all)
	})
	c := start(t, func(s *policy.Settings) { s.Reconnect = 50 * time.Millisecond }, r.Addr())
	var s sink
	half <- struct{}{}
	if _, err := c.Do(context.Background(), Request{Class: "full-score", To: &s}); err != nil || !bytes.Equal(s.Bytes(), whole) {
		t.Errorf("%d bytes, %v", s.Len(), err)
	}
	near := &once{first: func() { half <- struct{}{} }}
	if _, err := c.Do(context.Background(), Request{Class: "full-score", To: near}); !errors.Is(err, ErrLost) || near.n == 0 || near.n > 100_000 {
		t.Errorf("%d bytes handed over, %v", near.n, err)
	}
	s = sink{fail: os.ErrPermission}
	if _, err := c.Do(context.Background(), Request{Class: "full-score", To: &s}); !errors.Is(err, ErrSink) || !errors.Is(err, os.ErrPermission) {
		t.Errorf("a sink that fails: %v", err)
	}
}

// once is a sink that can't forget, and tells of its first bytes.
type once struct {
	n     int
	first func()
}

func (o *once) Write(b []byte) (int, error) {
	if o.n == 0 {
		o.first()
	}
	o.n += len(b)
	return len(b), nil
}

// All routers are down, then one is back; another takes no clients, a third accepts and says nothing.
func TestOneComesBack(t *testing.T) {
	silent, err := fakes.NewRouter("127.0.0.1:0", func(*fakes.Peer, rpc.Message) {})
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	var asked atomic.Int64
	never, err := fakes.NewRouter("127.0.0.1:0", func(p *fakes.Peer, m rpc.Message) {
		if string(m.Method) != "health" {
			asked.Add(1)
		}
		p.Health(m.ID, false)
	})
	if err != nil {
		t.Fatal(err)
	}
	defer never.Close()
	serve := func(p *fakes.Peer, m rpc.Message) { p.Serve(m.ID, nil) }
	r := script(t, serve)
	addr := r.Addr()
	c := start(t, func(s *policy.Settings) { s.Reconnect = 200 * time.Millisecond }, silent.Addr(), never.Addr(), addr)
	if _, err := c.Do(context.Background(), Request{Class: "full-score"}); err != nil {
		t.Error(err)
	}
	r.Close()
	if _, err := c.Do(context.Background(), Request{Class: "full-score", Limit: 100 * time.Millisecond}); err == nil || errors.Is(err, ErrMayHaveRun) {
		t.Errorf("with all routers away: %v", err)
	}
	back, err := fakes.NewReadyRouter(addr, serve)
	if err != nil {
		t.Fatal(err)
	}
	defer back.Close()
	if _, err := c.Do(context.Background(), Request{Class: "full-score"}); err != nil {
		t.Error(err)
	}
	if s := c.Stats(); s.Drains == 0 || asked.Load() != 0 {
		t.Errorf("%+v; %d calls at a router that takes none", s, asked.Load())
	}
	if errs := c.Health(t.Context()); errs[2] != nil || errs[1] != ErrNotReady {
		t.Errorf("health %v", errs)
	}
}
