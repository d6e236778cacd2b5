package msgpackrpc

import (
	"io"
	"maps"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"hillknot/balancer"
	"hillknot/internal/clock"
	"hillknot/internal/config"
	"hillknot/internal/core"
	"hillknot/internal/netio"
)

// fakeCore hands what the front end submits to the test.
type fakeCore struct {
	posts     chan func()
	submitted chan core.Request
	cancelled chan balancer.RequestID
	ids       balancer.RequestID
	counted   atomic.Int64 // answers that the front worded
	phase     atomic.Int64
	leave     atomic.Int64
}

func (d *fakeCore) Post(f func())                               { d.posts <- f }
func (d *fakeCore) NewID() balancer.RequestID                   { d.ids++; return d.ids }
func (d *fakeCore) EarliestArrival() time.Duration              { return 0 }
func (d *fakeCore) AbortRequest(balancer.RequestID)             {}
func (d *fakeCore) Submit(_ balancer.RequestID, q core.Request) { d.submitted <- q }
func (d *fakeCore) CancelRequest(id balancer.RequestID)         { d.cancelled <- id }
func (d *fakeCore) CountAnswer(string, core.Verdict)            { d.counted.Add(1) }
func (d *fakeCore) Snapshot() *core.Snapshot {
	return &core.Snapshot{Phase: core.Phase(d.phase.Load())}
}
func (d *fakeCore) DrainStage() core.DrainStage { return core.DrainStage(d.leave.Load()) }

type client struct {
	t   *testing.T
	nc  net.Conn
	dec *msgpack.Decoder
}

func open(t *testing.T) (*fakeCore, func() *client) {
	t.Helper()
	d, _, dial := openServer(t)
	return d, dial
}

// openServer is open for tests that call the server.
func openServer(t *testing.T) (*fakeCore, *Server, func() *client) {
	t.Helper()
	d := &fakeCore{posts: make(chan func(), 100), submitted: make(chan core.Request, 100), cancelled: make(chan balancer.RequestID, 100)}
	d.phase.Store(int64(core.Serving))
	lim := config.Limits{ClientConns: 10, OpenPerConn: 2, MessageBytes: 1 << 16, BodyBytes: 1 << 10, BadRequests: 2,
		Client: config.ConnLimits{MaxPendingBytes: 1 << 20, ReadTimeout: time.Minute, WriteTimeout: time.Minute, IdleTimeout: time.Minute, SilentTimeout: 10 * time.Second}}
	f, err := Listen("127.0.0.1:0", 0, d, lim, []balancer.Class{{Name: "page", Deadline: 3 * time.Second}}, netio.NewBudget(1<<22))
	if err != nil {
		t.Fatal(err)
	}
	go f.Serve()
	stop := make(chan struct{})
	go func() {
		for {
			select {
			case p := <-d.posts:
				p()
			case <-stop:
				return
			}
		}
	}()
	t.Cleanup(func() { f.Close(); close(stop) })
	return d, f, func() *client {
		nc, err := net.Dial("tcp", f.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { nc.Close() })
		nc.SetDeadline(time.Now().Add(10 * time.Second))
		return &client{t: t, nc: nc, dec: msgpack.NewDecoder(nc)}
	}
}

func (c *client) send(v ...any) {
	c.t.Helper()
	if err := msgpack.NewEncoder(c.nc).Encode(v); err != nil {
		c.t.Fatal(err)
	}
}

func (c *client) call(id int, method string) {
	c.send(0, id, method, []any{map[string]string{"txn": "9b1f03aa5c7e2d41", "limit": "1500", "item": "7f3a9c21e0b4d655",
		"nth": "3", "batch": "17", "got": "4be0", "second": "1", "unique": "0de5"}, []byte("body")})
}

// answer reads the next answer, which is to [1, id, error, result].
func (c *client) answer(id int64) (word string, fields map[string]any, result any) {
	c.t.Helper()
	v, err := c.dec.DecodeSlice()
	if err != nil || len(v) != 4 {
		c.t.Fatalf("answer %v, error %v", v, err)
	}
	if got, ok := v[1].(int8); !ok || int64(got) != id {
		c.t.Errorf("answer to %v, want %d", v[1], id)
	}
	if e, ok := v[2].([]any); ok {
		word, fields = e[0].(string), e[1].(map[string]any)
	}
	return word, fields, v[3]
}

func TestRequestsAndResponses(t *testing.T) {
	d, dial := open(t)
	c := dial()
	c.call(1, "page")
	q := <-d.submitted
	if !q.Retry || q.Object != 0x7f3a9c21e0b4d655 || q.Part != 3 || q.Group != 17 || q.Timeout != 1500*time.Millisecond ||
		q.ETag != "4be0" || q.IdempotencyKey != "0de5" || string(q.Body) != "body" {
		t.Errorf("request %+v", q)
	}
	d.Post(func() { q.Reply(core.Answer{Verdict: core.Served, Body: make([]byte, 70000)}) })
	if w, _, res := c.answer(1); w != "" || len(res.([]any)[0].([]byte)) != 70000 {
		t.Errorf("error %q", w)
	}
	c.call(2, "page")
	q = <-d.submitted
	d.Post(func() { q.Reply(core.Answer{Verdict: core.Rejected, RetryAfter: 400 * time.Millisecond}) })
	if w, f, _ := c.answer(2); w != "Throttled" || f["later"] != "400" {
		t.Errorf("refused: %q %v", w, f)
	}
	c.call(3, "page")
	q = <-d.submitted
	d.Post(func() { q.Reply(core.Answer{Verdict: core.NotModified}) })
	if _, _, res := c.answer(3); res.([]any)[1].(map[string]any)["ok304"] != "1" || len(res.([]any)[0].([]byte)) != 0 {
		t.Errorf("unchanged: %v", res)
	}
	c.call(4, "what")
	if w, _, _ := c.answer(4); w != "NoSuchMethod" {
		t.Errorf("unknown method: %q", w)
	}
	c.send(0, 5, "page", []any{map[string]string{"txn": "a b"}, []byte{}})
	if w, _, _ := c.answer(5); w != "BadRequest" {
		t.Errorf("fields that can't be used: %q", w)
	}
	c.send(0, 6, "health", []any{map[string]string{}})
	if _, _, res := c.answer(6); res.([]any)[0] != true {
		t.Errorf("health: %v", res)
	}
}

// After a cancel or a close nothing is owed; over the limit of a connection a request is refused at once.
func TestCancelAndClose(t *testing.T) {
	d, dial := open(t)
	c := dial()
	c.call(1, "page")
	c.call(2, "page")
	c.call(3, "page")
	if w, _, _ := c.answer(3); w != "Throttled" {
		t.Errorf("third open request: %q", w)
	}
	c.send(2, "cancel", []any{1})
	if id := <-d.cancelled; id != 1 {
		t.Errorf("cancelled %d", id)
	}
	c.nc.Close()
	if id := <-d.cancelled; id != 2 {
		t.Errorf("cancelled %d", id)
	}
}

// A malformed message closes its connection and no other.
func TestMalformedMessageClosesItsConnection(t *testing.T) {
	d, dial := open(t)
	bad, good := dial(), dial()
	bad.nc.Write([]byte{0xc1, 0xff})
	if n, err := bad.nc.Read(make([]byte, 1)); n != 0 || err != io.EOF {
		t.Errorf("read %d, %v; want the end", n, err)
	}
	good.call(1, "page")
	<-d.submitted
}

// What is out of range is never passed on, and a client that goes on sending such calls is cut off.
func TestOutOfRangeFieldsAreRejected(t *testing.T) {
	d, dial := open(t)
	good := map[string]string{"txn": "9b1f03aa5c7e2d41", "limit": "3000", "item": "7f3a9c21e0b4d655", "nth": "3", "batch": "17"}
	for name, bad := range map[string][]string{"limit": {"3001", "NaN", "-1", "0x10", "1e3", "", "99999999999999999999"},
		"item": {"7f3a", "what", "-f3a9c21e0b4d655"}, "nth": {"-1", "99999999999999999999"}, "batch": {"256", "-1"}, "txn": {"", "9b1f03aa5c7e2d4 "},
		"unique": {"a,b=c", "a b", "a\r\nQUIT 1"}} {
		for _, v := range bad {
			fields := maps.Clone(good)
			fields[name] = v
			c := dial()
			c.send(0, 1, "page", []any{fields, []byte{}})
			if w, _, _ := c.answer(1); w != "BadRequest" {
				t.Errorf("%s=%q: %q", name, v, w)
			}
		}
	}
	c := dial()
	c.send(0, 1, "page", []any{good, make([]byte, 1<<10+1)})
	if w, _, _ := c.answer(1); w != "BadRequest" {
		t.Errorf("large body: %q", w)
	}
	for id := 2; id < 4; id++ {
		c.send(0, id, "what", []any{good, []byte{}})
	}
	c.answer(2)
	if _, err := c.dec.DecodeSlice(); err == nil {
		t.Error("still answered")
	}
	if len(d.submitted) != 0 {
		t.Errorf("%d requests were passed on", len(d.submitted))
	}
}

// A router that leaves its clients says that it is not ready, and closes a connection right behind the answer after
// which it owes nothing, and what idles.
func TestDraining(t *testing.T) {
	d, dial := open(t)
	c, idle, other := dial(), dial(), dial()
	other.call(1, "page") // owes an answer, and so stays
	q := <-d.submitted
	idle.send(0, 1, "health", []any{map[string]string{}})
	if _, _, res := idle.answer(1); res.([]any)[0] != true {
		t.Errorf("health: %v", res)
	}
	c.call(1, "page")
	c.call(2, "page")
	first, second := <-d.submitted, <-d.submitted
	d.phase.Store(int64(core.Standby))
	d.leave.Store(int64(core.CloseAfterResponse))
	d.Post(func() { first.Reply(core.Answer{Verdict: core.Served}) })
	c.answer(1)
	c.send(0, 3, "health", []any{map[string]string{}})
	if _, _, res := c.answer(3); res.([]any)[0] != false {
		t.Errorf("health while leaving: %v", res)
	}
	d.Post(func() { second.Reply(core.Answer{Verdict: core.Served}) })
	c.answer(2)
	if _, err := c.dec.DecodeSlice(); err != io.EOF {
		t.Errorf("after the last answer: %v, want the end", err)
	}
	d.leave.Store(int64(core.CloseAll))
	if _, err := idle.dec.DecodeSlice(); err != io.EOF {
		t.Errorf("idle: %v, want the end", err)
	}
	d.Post(func() { q.Reply(core.Answer{Verdict: core.Served}) })
	other.answer(1)
}

// Refusals and errors that the front words by itself count, each once.
func TestAnswersOfTheFrontEndCount(t *testing.T) {
	d, dial := open(t)
	c := dial()
	c.send(0, 1, "what", []any{map[string]string{}})
	c.answer(1)
	for id := 2; id <= 4; id++ {
		c.call(id, "page")
	}
	c.answer(4)
	if n := d.counted.Load(); n != 2 {
		t.Errorf("%d answers counted, want the error and the refusal", n)
	}
}

// Where the memory for answers is used up, a client is told that its request failed; the connection, with all else on
// it, goes on, and the answer counts as what it was.
func TestResponseOverTheMemoryBudget(t *testing.T) {
	d, dial := open(t)
	c := dial()
	c.call(1, "page")
	q := <-d.submitted
	told := make(chan core.Verdict, 1)
	d.Post(func() { told <- q.Reply(core.Answer{Verdict: core.Served, Body: make([]byte, 1<<23)}) })
	if w, _, _ := c.answer(1); w != "Failed" || <-told != core.Failed {
		t.Errorf("error %q", w)
	}
	c.call(2, "page")
	q = <-d.submitted
	d.Post(func() { told <- q.Reply(core.Answer{Verdict: core.Served, Body: []byte("x")}) })
	if w, _, _ := c.answer(2); w != "" || <-told != core.Served {
		t.Errorf("after it: error %q", w)
	}
}

// tooLong is an answer over the budget of openServer.
func tooLong() core.Answer { return core.Answer{Verdict: core.Served, Body: make([]byte, 1<<23)} }

// A response over the memory budget is answered as failed on a connection that is closing, too: one answer, then the end. The
// connection was once closed without any, as the reply counted as given before it was.
func TestResponseOverTheMemoryBudgetWhileClosing(t *testing.T) {
	for name, beginClose := range map[string]func(*fakeCore, *Server, *client){
		"malformed input": func(_ *fakeCore, _ *Server, c *client) { c.nc.Write([]byte{0xc1}) },
		"duplicate id":    func(_ *fakeCore, _ *Server, c *client) { c.call(1, "page") },
		"shutdown": func(_ *fakeCore, f *Server, _ *client) {
			go f.Shutdown(clock.Now() + 5*time.Second)
		},
		"hot restart": func(d *fakeCore, _ *Server, _ *client) { d.leave.Store(int64(core.CloseAll)) },
	} {
		t.Run(name, func(t *testing.T) {
			d, f, dial := openServer(t)
			c := dial()
			c.call(1, "page")
			q := <-d.submitted
			beginClose(d, f, c)
			time.Sleep(50 * time.Millisecond) // the close has begun, and waits for the reply
			verdict := make(chan core.Verdict, 1)
			d.Post(func() { verdict <- q.Reply(tooLong()) })
			if w, _, _ := c.answer(1); w != "Failed" || <-verdict != core.Failed {
				t.Errorf("error %q", w)
			}
			if _, err := c.dec.DecodeSlice(); err != io.EOF {
				t.Errorf("after the answer: %v, want the end", err)
			}
		})
	}
}

// A request that was read as its connection ended, and comes to the core behind the news of the end, is not submitted: nobody
// could withdraw it, and it would be sent on for a client that has gone.
func TestRequestAfterTheCloseIsNotSubmitted(t *testing.T) {
	d := &fakeCore{posts: make(chan func(), 10), submitted: make(chan core.Request, 10)}
	c := &conn{server: &Server{core: d, limits: config.Limits{OpenPerConn: 2}, budget: netio.NewBudget(1 << 20)}, open: map[uint64]balancer.RequestID{}}
	c.Closed()
	(<-d.posts)()
	c.submit(1, core.Request{}, "")
	if len(d.submitted) != 0 {
		t.Error("submitted")
	}
}
