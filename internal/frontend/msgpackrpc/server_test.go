package msgpackrpc

import (
	"fmt"
	"io"
	"maps"
	"net"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"hillknot/balancer"
	"hillknot/internal/clock"
	"hillknot/internal/config"
	"hillknot/internal/core"
	"hillknot/internal/netio"
	"hillknot/internal/rpc"
)

// fakeCore passes the calls of the front end on to the test.
type fakeCore struct {
	posts      chan func()
	submitted  chan core.Request
	cancelled  chan balancer.RequestID
	ids        balancer.RequestID
	counted    atomic.Int64 // answers that the front end gave itself
	phase      atomic.Int64
	drainStage atomic.Int64
}

func (fake *fakeCore) Post(f func())                               { fake.posts <- f }
func (fake *fakeCore) NewID() balancer.RequestID                   { fake.ids++; return fake.ids }
func (fake *fakeCore) EarliestArrival() time.Duration              { return 0 }
func (fake *fakeCore) AbortRequest(balancer.RequestID)             {}
func (fake *fakeCore) Submit(_ balancer.RequestID, q core.Request) { fake.submitted <- q }
func (fake *fakeCore) CancelRequest(id balancer.RequestID)         { fake.cancelled <- id }
func (fake *fakeCore) CountRefusal(core.RefusalReason)             {}
func (fake *fakeCore) CountAnswer(string, core.Verdict)            { fake.counted.Add(1) }
func (fake *fakeCore) Snapshot() *core.Snapshot {
	return &core.Snapshot{Phase: core.Phase(fake.phase.Load())}
}
func (fake *fakeCore) DrainStage() core.DrainStage { return core.DrainStage(fake.drainStage.Load()) }

type client struct {
	t   *testing.T
	nc  net.Conn
	dec *msgpack.Decoder
}

// start runs a server with a fake core. It returns the core, and a function that connects a client.
func start(t *testing.T) (*fakeCore, func() *client) {
	t.Helper()
	fake, _, dial := startServer(t)
	return fake, dial
}

// startServer is like start, for tests that use the server.
func startServer(t *testing.T) (*fakeCore, *Server, func() *client) {
	t.Helper()
	fake := &fakeCore{posts: make(chan func(), 100), submitted: make(chan core.Request, 100), cancelled: make(chan balancer.RequestID, 100)}
	fake.phase.Store(int64(core.Serving))
	limits := config.Limits{ClientConns: 10, OpenPerConn: 2, OpenRequests: 100, MessageBytes: 1 << 16, BodyBytes: 1 << 10, BadRequests: 2,
		Client: config.ConnLimits{MaxPendingBytes: 1 << 20, ReadTimeout: time.Minute, WriteTimeout: time.Minute, IdleTimeout: time.Minute, SilentTimeout: 10 * time.Second}}
	classes := []balancer.Class{
		{Name: "page", Deadline: 3 * time.Second, Idempotency: balancer.Idempotent},
		{Name: "order", Deadline: 3 * time.Second},
	}
	server, err := Listen("127.0.0.1:0", 0, fake, limits, classes, netio.NewBudget(1<<22))
	if err != nil {
		t.Fatal(err)
	}
	go server.Serve()
	stop := make(chan struct{})
	go func() {
		for {
			select {
			case p := <-fake.posts:
				p()
			case <-stop:
				return
			}
		}
	}()
	t.Cleanup(func() { server.Close(); close(stop) })
	return fake, server, func() *client {
		nc, err := net.Dial("tcp", server.Addr().String())
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

// readResponse reads the next response, [1, id, error, result], and checks its id. The error is [code, fields].
func (c *client) readResponse(id int64) (code string, fields map[string]any, result any) {
	c.t.Helper()
	v, err := c.dec.DecodeSlice()
	if err != nil || len(v) != 4 {
		c.t.Fatalf("response %v, error %v", v, err)
	}
	if got, ok := v[1].(int8); !ok || int64(got) != id {
		c.t.Errorf("response with id %v, want %d", v[1], id)
	}
	if e, ok := v[2].([]any); ok {
		code, fields = e[0].(string), e[1].(map[string]any)
	}
	return code, fields, v[3]
}

func TestRequestsAndResponses(t *testing.T) {
	fake, dial := start(t)
	c := dial()
	c.call(1, "page")
	q := <-fake.submitted
	if !q.Retry || q.Object != 0x7f3a9c21e0b4d655 || q.Part != 3 || q.Group != 17 || q.Timeout != 1500*time.Millisecond ||
		q.ETag != "4be0" || q.IdempotencyKey != "0de5" || string(q.Body) != "body" {
		t.Errorf("request %+v", q)
	}
	fake.Post(func() { q.Reply(core.Answer{Verdict: core.Served, Body: make([]byte, 70000)}) })
	if code, _, res := c.readResponse(1); code != "" || len(res.([]any)[0].([]byte)) != 70000 {
		t.Errorf("error %q", code)
	}
	c.call(2, "page")
	q = <-fake.submitted
	fake.Post(func() { q.Reply(core.Answer{Verdict: core.Rejected, RetryAfter: 400 * time.Millisecond}) })
	if code, fields, _ := c.readResponse(2); code != "Throttled" || fields["later"] != "400" {
		t.Errorf("rejected: %q %v", code, fields)
	}
	c.call(3, "page")
	q = <-fake.submitted
	fake.Post(func() { q.Reply(core.Answer{Verdict: core.NotModified}) })
	if _, _, res := c.readResponse(3); res.([]any)[1].(map[string]any)["ok304"] != "1" || len(res.([]any)[0].([]byte)) != 0 {
		t.Errorf("not modified: %v", res)
	}
	c.call(4, "what")
	if code, _, _ := c.readResponse(4); code != "NoSuchMethod" {
		t.Errorf("unknown method: %q", code)
	}
	c.send(0, 5, "page", []any{map[string]string{"txn": "a b"}, []byte{}})
	if code, _, _ := c.readResponse(5); code != "BadRequest" {
		t.Errorf("invalid txn: %q", code)
	}
	c.send(0, 6, "health", []any{map[string]string{}})
	if _, _, res := c.readResponse(6); res.([]any)[0] != true {
		t.Errorf("health: %v", res)
	}
}

// A cancel or a close of the connection cancels open requests. A request over the limit of a connection is rejected at
// once.
func TestCancelOrCloseCancelsOpenRequests(t *testing.T) {
	fake, dial := start(t)
	c := dial()
	c.call(1, "page")
	c.call(2, "page")
	c.call(3, "page")
	if code, _, _ := c.readResponse(3); code != "Throttled" {
		t.Errorf("third open request: %q", code)
	}
	c.send(2, "cancel", []any{1})
	if id := <-fake.cancelled; id != 1 {
		t.Errorf("cancelled %d", id)
	}
	c.nc.Close()
	if id := <-fake.cancelled; id != 2 {
		t.Errorf("cancelled %d", id)
	}
}

// A claim that a connection or the server has no room for fails: a rejection would say that its order never ran. Other requests are
// rejected, also a claim of what may be repeated.
func TestClaimWithoutRoomFails(t *testing.T) {
	const claimed = 0x11
	for name, prepare := range map[string]func(*Server, *client) (taken int){
		"of the connection, in the core": func(s *Server, c *client) int {
			for id := 1; id <= s.limits.OpenPerConn; id++ {
				c.call(id, "page")
			}
			return s.limits.OpenPerConn
		},
		"of the server, as it is read": func(s *Server, _ *client) int {
			s.admission.requests.Add(admissionFactor * s.admission.openRequests)
			return 0
		},
	} {
		t.Run(name, func(t *testing.T) {
			_, server, dial := startServer(t)
			c := dial()
			id := int64(prepare(server, c))
			for _, request := range []struct {
				class   string
				resumes uint64
				want    string
			}{
				{"order", claimed, "Failed"}, {"page", claimed, "Throttled"}, {"order", 0, "Throttled"}, {"order", claimed, "Failed"},
			} {
				id++
				b := rpc.AppendRequest(nil, uint64(id), &rpc.Request{Method: request.class, Txn: uint64(id), TimeoutMillis: 1000, ResumedTxn: request.resumes})
				if _, err := c.nc.Write(b); err != nil {
					t.Fatal(err)
				}
				if code, _, _ := c.readResponse(id); code != request.want {
					t.Errorf("%s that resumes %x: %q, want %q", request.class, request.resumes, code, request.want)
				}
			}
		})
	}
}

// A malformed message closes its own connection only.
func TestMalformedMessageClosesItsConnection(t *testing.T) {
	fake, dial := start(t)
	bad, good := dial(), dial()
	bad.nc.Write([]byte{0xc1, 0xff})
	if n, err := bad.nc.Read(make([]byte, 1)); n != 0 || err != io.EOF {
		t.Errorf("read %d bytes, %v; want EOF", n, err)
	}
	good.call(1, "page")
	<-fake.submitted
}

// Requests with fields out of range are never submitted, and a client that keeps sending them loses its connection.
func TestOutOfRangeFieldsAreRejected(t *testing.T) {
	fake, dial := start(t)
	good := map[string]string{"txn": "9b1f03aa5c7e2d41", "limit": "3000", "item": "7f3a9c21e0b4d655", "nth": "3", "batch": "17"}
	for name, bad := range map[string][]string{"limit": {"3001", "NaN", "-1", "0x10", "1e3", "", "99999999999999999999"},
		"item": {"7f3a", "what", "-f3a9c21e0b4d655"}, "nth": {"-1", "99999999999999999999"}, "batch": {"256", "-1"}, "txn": {"", "9b1f03aa5c7e2d4 "},
		"unique": {"a,b=c", "a b", "a\r\nQUIT 1"}} {
		for _, v := range bad {
			fields := maps.Clone(good)
			fields[name] = v
			c := dial()
			c.send(0, 1, "page", []any{fields, []byte{}})
			if code, _, _ := c.readResponse(1); code != "BadRequest" {
				t.Errorf("%s=%q: %q", name, v, code)
			}
		}
	}
	c := dial()
	c.send(0, 1, "page", []any{good, make([]byte, 1<<10+1)})
	if code, _, _ := c.readResponse(1); code != "BadRequest" {
		t.Errorf("large body: %q", code)
	}
	for id := 2; id < 4; id++ {
		c.send(0, id, "what", []any{good, []byte{}})
	}
	c.readResponse(2)
	if _, err := c.dec.DecodeSlice(); err == nil {
		t.Error("answered after too many bad requests, want a closed connection")
	}
	if len(fake.submitted) != 0 {
		t.Errorf("%d requests submitted, want none", len(fake.submitted))
	}
}

// A draining router reports that it is not ready. It closes a connection after the last pending answer, and closes idle
// connections.
func TestDrainingClosesConnections(t *testing.T) {
	fake, dial := start(t)
	c, idle, other := dial(), dial(), dial()
	other.call(1, "page") // stays open, as its answer is pending
	q := <-fake.submitted
	idle.send(0, 1, "health", []any{map[string]string{}})
	if _, _, res := idle.readResponse(1); res.([]any)[0] != true {
		t.Errorf("health: %v", res)
	}
	c.call(1, "page")
	c.call(2, "page")
	first, second := <-fake.submitted, <-fake.submitted
	fake.phase.Store(int64(core.Standby))
	fake.drainStage.Store(int64(core.CloseAfterResponse))
	fake.Post(func() { first.Reply(core.Answer{Verdict: core.Served}) })
	c.readResponse(1)
	c.send(0, 3, "health", []any{map[string]string{}})
	if _, _, res := c.readResponse(3); res.([]any)[0] != false {
		t.Errorf("health while draining: %v", res)
	}
	fake.Post(func() { second.Reply(core.Answer{Verdict: core.Served}) })
	c.readResponse(2)
	if _, err := c.dec.DecodeSlice(); err != io.EOF {
		t.Errorf("after the last answer: %v, want EOF", err)
	}
	fake.drainStage.Store(int64(core.CloseAll))
	if _, err := idle.dec.DecodeSlice(); err != io.EOF {
		t.Errorf("idle connection: %v, want EOF", err)
	}
	fake.Post(func() { q.Reply(core.Answer{Verdict: core.Served}) })
	other.readResponse(1)
}

// Rejections and errors that the front end answers itself are counted, each once.
func TestFrontEndAnswersAreCounted(t *testing.T) {
	fake, dial := start(t)
	c := dial()
	c.send(0, 1, "what", []any{map[string]string{}})
	c.readResponse(1)
	for id := 2; id <= 4; id++ {
		c.call(id, "page")
	}
	c.readResponse(4)
	if n := fake.counted.Load(); n != 2 {
		t.Errorf("%d answers counted, want 2: the error and the rejection", n)
	}
}

// A request whose answer exceeds the memory budget fails, and is counted as failed. Its connection stays open, and later
// requests on it are served.
func TestResponseOverTheMemoryBudgetFails(t *testing.T) {
	fake, dial := start(t)
	c := dial()
	c.call(1, "page")
	q := <-fake.submitted
	verdicts := make(chan core.Verdict, 1)
	fake.Post(func() { verdicts <- q.Reply(core.Answer{Verdict: core.Served, Body: make([]byte, 1<<23)}) })
	if code, _, _ := c.readResponse(1); code != "Failed" || <-verdicts != core.Failed {
		t.Errorf("error %q", code)
	}
	c.call(2, "page")
	q = <-fake.submitted
	fake.Post(func() { verdicts <- q.Reply(core.Answer{Verdict: core.Served, Body: []byte("x")}) })
	if code, _, _ := c.readResponse(2); code != "" || <-verdicts != core.Served {
		t.Errorf("next request: error %q", code)
	}
}

// oversizedAnswer returns an answer that exceeds the budget of startServer.
func oversizedAnswer() core.Answer {
	return core.Answer{Verdict: core.Served, Body: make([]byte, 1<<23)}
}

// A request whose answer exceeds the memory budget also fails on a connection that is closing: the client gets one answer,
// then EOF. The connection was once closed without an answer, as the reply counted as given before it was sent.
func TestResponseOverTheMemoryBudgetFailsWhileClosing(t *testing.T) {
	for name, beginClose := range map[string]func(*fakeCore, *Server, *client){
		"malformed input": func(_ *fakeCore, _ *Server, c *client) { c.nc.Write([]byte{0xc1}) },
		"duplicate id":    func(_ *fakeCore, _ *Server, c *client) { c.call(1, "page") },
		"shutdown": func(_ *fakeCore, server *Server, _ *client) {
			go server.Shutdown(clock.Now() + 5*time.Second)
		},
		"hot restart": func(fake *fakeCore, _ *Server, _ *client) { fake.drainStage.Store(int64(core.CloseAll)) },
	} {
		t.Run(name, func(t *testing.T) {
			fake, server, dial := startServer(t)
			c := dial()
			c.call(1, "page")
			q := <-fake.submitted
			beginClose(fake, server, c)
			time.Sleep(50 * time.Millisecond) // by now the close has begun, and waits for the reply
			verdict := make(chan core.Verdict, 1)
			fake.Post(func() { verdict <- q.Reply(oversizedAnswer()) })
			if code, _, _ := c.readResponse(1); code != "Failed" || <-verdict != core.Failed {
				t.Errorf("error %q", code)
			}
			if _, err := c.dec.DecodeSlice(); err != io.EOF {
				t.Errorf("after the answer: %v, want EOF", err)
			}
		})
	}
}

// During a shutdown, a client gets answers to as many requests as it may have open, and then the end of its connection: one that
// sends without pause must not take the time in which the requests of others are read.
func TestShutdownAnswersNoMoreThanTheOpenRequests(t *testing.T) {
	fake, server, dial := startServer(t)
	c := dial()
	c.call(1, "page")
	open := <-fake.submitted // keeps the connection open
	begun := clock.Now()
	go server.Shutdown(begun + 10*time.Second)
	for !server.isClosing.Load() {
		time.Sleep(time.Millisecond)
	}
	most := server.limits.OpenPerConn
	var flood []byte
	for id := 2; id < 2+3*most; id++ {
		flood = rpc.AppendHealthRequest(flood, uint64(id))
	}
	if _, err := c.nc.Write(flood); err != nil {
		t.Fatal(err)
	}
	time.AfterFunc(100*time.Millisecond, func() {
		fake.Post(func() { open.Reply(core.Answer{Verdict: core.Rejected}) })
	})
	answers := -1 // without that to the first request
	for ; ; answers++ {
		if _, err := c.dec.DecodeSlice(); err != nil {
			break
		}
	}
	if answers != most || clock.Now()-begun > 5*time.Second {
		t.Errorf("%d answers in %v, want %d and then the end", answers, clock.Now()-begun, most)
	}
}

// A request that is read as its connection ends, and reaches the core's goroutine after Closed, is not submitted: nothing
// could cancel it any more, and it would be sent to a page cache for a client that has gone.
func TestRequestAfterCloseIsNotSubmitted(t *testing.T) {
	fake := &fakeCore{posts: make(chan func(), 10), submitted: make(chan core.Request, 10)}
	server := &Server{core: fake, limits: config.Limits{OpenPerConn: 2}, admission: serverAdmission{openRequests: 2, budget: netio.NewBudget(1 << 20)}}
	c := server.newConn(nil)
	admitted, _, ok := c.admission.admit(1, 0)
	if !ok {
		t.Fatal("the request is not admitted")
	}
	c.Closed()
	(<-fake.posts)()
	c.submit(admitted, core.Request{}, "")
	if len(fake.submitted) != 0 {
		t.Error("request submitted after the connection closed")
	}
}

// A client that sends without pause, and that reads nothing for a while, is refused without the core, which gets a bounded number
// of its requests. Each of them is answered exactly once when the client reads.
func TestFloodIsRefusedWithoutTheCore(t *testing.T) {
	const requests = 30_000
	fake := &fakeCore{posts: make(chan func(), 1000), submitted: make(chan core.Request, 1000), cancelled: make(chan balancer.RequestID, 1000)}
	limits := config.Limits{ClientConns: 10, OpenPerConn: 2, OpenRequests: 100, MessageBytes: 1 << 16, BodyBytes: 1 << 10,
		Client: config.ConnLimits{MaxPendingBytes: 1 << 20, ReceiveBuffer: 1 << 14, ReadTimeout: time.Minute, WriteTimeout: time.Minute, IdleTimeout: time.Minute, SilentTimeout: time.Minute}}
	budget := netio.NewBudget(1 << 22)
	server, err := Listen("127.0.0.1:0", 0, fake, limits, []balancer.Class{{Name: "page", Deadline: 3 * time.Second}}, budget)
	if err != nil {
		t.Fatal(err)
	}
	go server.Serve()
	t.Cleanup(server.Close)
	nc, err := net.DialTimeout("tcp", server.Addr().String(), 10*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(20 * time.Second))
	var flood []byte
	for id := uint64(1); id <= requests; id++ {
		flood = rpc.AppendRequest(flood, id, &rpc.Request{Method: "page", Txn: id, TimeoutMillis: 1000})
	}
	if _, err := nc.Write(flood); err != nil { // the client reads nothing yet
		t.Fatal(err)
	}
	if got, most := len(fake.posts), admissionFactor*limits.OpenPerConn; got > most {
		t.Errorf("the core got %d calls, want %d at most", got, most)
	}
	go func() {
		for post := range fake.posts {
			post()
			for len(fake.submitted) > 0 {
				(<-fake.submitted).Reply(core.Answer{Verdict: core.Rejected})
			}
		}
	}()
	answers := map[int64]int{}
	for dec := msgpack.NewDecoder(nc); len(answers) < requests; {
		v, err := dec.DecodeSlice()
		if err != nil {
			t.Fatalf("after %d answers: %v", len(answers), err)
		}
		id, _ := strconv.ParseInt(fmt.Sprint(v[1]), 10, 64)
		if answers[id]++; answers[id] > 1 {
			t.Fatalf("request %d got two answers", id)
		}
	}
	for begun := time.Now(); budget.Used() != 0 && time.Since(begun) < 10*time.Second; {
		time.Sleep(time.Millisecond)
	}
	if budget.Used() != 0 {
		t.Errorf("%d bytes count against the budget after all requests are answered", budget.Used())
	}
}

// Refusals take no more room for a client that counts its message ids up, however many there are. Ids in any other order are
// bounded, and each id is returned once.
func TestRefusalsAreBounded(t *testing.T) {
	var r refusals
	for id := uint64(1); id <= 1_000_000; id++ {
		if err := r.add(id, rpc.CodeThrottled); err != nil {
			t.Fatal(err)
		}
	}
	if len(r.ranges) != 1 || !r.contains(500_000) || r.contains(1_000_001) {
		t.Errorf("%d ranges, want one from 1 to 1000000", len(r.ranges))
	}
	total := 0
	for encoded, count := r.take(); count > 0; encoded, count = r.take() {
		if total += count; len(encoded) > refusalBatchBytes {
			t.Fatalf("a batch of %d bytes", len(encoded))
		}
	}
	if total != 1_000_000 {
		t.Errorf("%d refusals returned, want 1000000", total)
	}
	added := 0
	for id := uint64(0); r.add(id, rpc.CodeThrottled) == nil; id += 2 {
		added++
	}
	if added != maxRefusalRanges {
		t.Errorf("%d ids without a neighbour were taken, want %d", added, maxRefusalRanges)
	}
}

// Refusals that wait together keep each its own error code.
func TestRefusalsKeepTheirCodes(t *testing.T) {
	var r refusals
	var want []byte
	for i, code := range []string{rpc.CodeThrottled, codeFailed, codeFailed, rpc.CodeThrottled} {
		if err := r.add(uint64(i), code); err != nil {
			t.Fatal(err)
		}
		want = rpc.AppendErrorResponse(want, uint64(i), code)
	}
	if got, count := r.take(); count != 4 || string(got) != string(want) {
		t.Errorf("%d refusals, %q; want 4, %q", count, got, want)
	}
}

// Once most of the open requests are in use, a connection with many requests gets no more, and one with few still does.
func TestConnectionsWithFewRequestsAreAdmittedUnderLoad(t *testing.T) {
	server := &serverAdmission{openRequests: 100, budget: netio.NewBudget(1 << 20)}
	busy, quiet := newAdmission(server, 1000), newAdmission(server, 1000)
	admitted := 0
	for id := uint64(1); id <= 200; id++ {
		if _, _, ok := busy.admit(id, 1); ok {
			admitted++
		}
	}
	if admitted != 75 {
		t.Errorf("the busy connection has %d requests, want 75", admitted)
	}
	for id := uint64(1); id <= fewRequests; id++ {
		if _, _, ok := quiet.admit(id, 1); !ok {
			t.Errorf("request %d of the quiet connection is refused", id)
		}
	}
	if _, refused, ok := quiet.admit(100, 1); ok || refused != core.RefusedTooManyOpen {
		t.Errorf("a further request: admitted %t, refused as %v", ok, refused)
	}
}
