package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"hillknot/balancer"
	"hillknot/internal/config"
	"hillknot/internal/core"
	"hillknot/internal/netio"
)

// bench is a client with a core that only notes ends, and a page cache that the test plays.
type bench struct {
	t          *testing.T
	posts      chan func()
	ends       chan core.AttemptResult
	permit     balancer.Status
	now        atomic.Int64
	dispatched atomic.Int64
	cl         *Client
	ln         net.Listener
	node       *core.Endpoint
}

func (b *bench) Post(f func())                   { b.posts <- f }
func (b *bench) AcquireLease(*core.Attempt) bool { return true }
func (b *bench) Permit(*core.Attempt) (balancer.Status, balancer.Detail) {
	return b.permit, balancer.NoDetail
}
func (b *bench) CompleteAttempt(_ *core.Attempt, e core.AttemptResult) { b.ends <- e }

func (b *bench) AttemptWritten(*core.Attempt) { b.dispatched.Add(1) }

func newBench(t *testing.T) *bench {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	b := &bench{t: t, posts: make(chan func(), 100), ends: make(chan core.AttemptResult, 100), ln: ln}
	lim := config.Limits{ConnsPerCache: 2, CacheConns: 10, AnswerLine: 100, Object: 1 << 10, Connect: 10 * time.Second,
		UpstreamIdle: time.Hour, UpstreamSilent: time.Second, Longest: time.Minute, Upstream: config.Conn{Pending: 1 << 16, Read: 10 * time.Second, Write: 10 * time.Second}}
	b.cl = New(b, lim, netio.NewBudget(1<<20), func() time.Duration { return time.Duration(b.now.Load()) })
	b.node = &core.Endpoint{ID: "s-1", Addr: ln.Addr().String()}
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	go func() {
		for {
			select {
			case f := <-b.posts:
				f()
			case <-stop:
				return
			}
		}
	}()
	return b
}

// do runs f where the core's goroutine would.
func (b *bench) do(f func()) {
	done := make(chan struct{})
	b.Post(func() { f(); close(done) })
	<-done
}

func (b *bench) send(txn string) *core.Attempt {
	a := &core.Attempt{Endpoint: b.node, Request: &core.Request{Txn: txn, Class: "c", ObjectText: "0a", PartText: "0"}}
	b.do(func() { b.cl.Send(a) })
	return a
}

func (b *bench) accept() (net.Conn, *bufio.Reader) {
	b.t.Helper()
	_ = b.ln.(*net.TCPListener).SetDeadline(time.Now().Add(10 * time.Second))
	nc, err := b.ln.Accept()
	if err != nil {
		b.t.Fatal(err)
	}
	b.t.Cleanup(func() { nc.Close() })
	nc.SetDeadline(time.Now().Add(10 * time.Second))
	return nc, bufio.NewReader(nc)
}

// expect reads the next line that holds words.
func (b *bench) expect(r *bufio.Reader, start string) {
	b.t.Helper()
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			b.t.Fatalf("waiting for %q: %v", start, err)
		}
		if line = strings.TrimSpace(line); line != "" {
			if !strings.HasPrefix(line, start) {
				b.t.Fatalf("got %q, want %q", line, start)
			}
			return
		}
	}
}

func (b *bench) ended(want balancer.Status) core.AttemptResult {
	b.t.Helper()
	select {
	case e := <-b.ends:
		if e.Status != want {
			b.t.Errorf("status %d, want %d", e.Status, want)
		}
		return e
	case <-time.After(10 * time.Second):
		b.t.Fatal("no end")
	}
	return core.AttemptResult{}
}

func TestAskAndAnswer(t *testing.T) {
	b := newBench(t)
	b.send("t1")
	nc, r := b.accept()
	b.expect(r, "ASK t1 kind=c,obj=0a,seg=0,")
	b.do(func() {}) // the write is over
	if n := b.dispatched.Load(); n != 1 {
		t.Errorf("%d attempts counted as written", n)
	}
	fmt.Fprint(nc, "t1 DONE res=cached 5\r\nhe")
	fmt.Fprint(nc, "llo\r\n")
	if e := b.ended(balancer.OK); string(e.Body) != "hello" || e.Detail != balancer.Hit {
		t.Errorf("end %+v", e)
	}
}

// A QUIT is written before the next attempt goes out, and the connection is used on. An answer that crossed
// the QUIT is for nobody. The same request is not asked for at this cache again: on another connection the ASK
// could be read before the QUIT, and the cache would hold two copies (seen on join+mass); it is turned away.
func TestQuit(t *testing.T) {
	b := newBench(t)
	a := b.send("t1")
	nc, r := b.accept()
	b.expect(r, "ASK t1 ")
	b.do(func() { b.cl.Cancel(a) })
	b.send("t2")
	b.expect(r, "QUIT t1")
	b.expect(r, "ASK t2 ")
	b.send("t1")
	b.ended(balancer.Rejected)
	b.send("t3")
	_, other := b.accept()
	b.expect(other, "ASK t3 ") // t1 was not written before it, on this connection or another
	fmt.Fprint(nc, "t1 DONE - 0\r\n\r\nt2 WAIT - 0\r\n\r\n")
	b.ended(balancer.Rejected)
	if len(b.ends) != 0 {
		t.Error("an answer that crossed the QUIT ended an attempt")
	}
}

// What was open on a connection that closed is not asked for at the same cache again: the close, like a QUIT,
// may be read after an ASK on another connection.
func TestNotAgainAfterAClose(t *testing.T) {
	b := newBench(t)
	b.send("t1")
	nc, r := b.accept()
	b.expect(r, "ASK t1 ")
	fmt.Fprint(nc, "garbage\r\n")
	b.ended(balancer.Reset)
	b.send("t1")
	b.ended(balancer.Rejected)
	b.send("t2")
	_, other := b.accept()
	b.expect(other, "ASK t2 ")
}

// A connection that breaks, or garbles, may have run what was open on it; a refused one proves that nothing ran.
func TestBroken(t *testing.T) {
	b := newBench(t)
	b.send("t1")
	nc, r := b.accept()
	b.expect(r, "ASK t1 ")
	nc.Close()
	b.ended(balancer.Reset)
	b.send("t2")
	nc, r = b.accept()
	b.expect(r, "ASK t2 ")
	fmt.Fprint(nc, "what is this\r\n")
	b.ended(balancer.Reset)
	b.ln.Close()
	b.send("t3")
	b.ended(balancer.ConnectFailed)
}

// What may no longer be sent as the connection comes up, after a drain say, is not written.
func TestNotPermitted(t *testing.T) {
	b := newBench(t)
	b.permit = balancer.ConnectFailed
	b.send("t1")
	b.ended(balancer.ConnectFailed)
	if n := b.dispatched.Load(); n != 0 {
		t.Errorf("%d attempts counted as written", n)
	}
	b.do(func() { b.permit = balancer.OK })
	b.send("t2")
	_, r := b.accept()
	b.expect(r, "ASK t2 ")
}

// A new page cache may have the address of one that has gone: nothing goes over the old connections.
func TestForget(t *testing.T) {
	b := newBench(t)
	b.send("t1")
	nc, r := b.accept()
	b.expect(r, "ASK t1 ")
	b.do(func() { b.cl.CloseEndpoint(b.node) })
	fmt.Fprint(nc, "t1 DONE - 0\r\n\r\n")
	b.ended(balancer.OK)
	b.send("t2")
	_, r = b.accept()
	b.expect(r, "ASK t2 ")
}

// Of idle connections the one that was used last is taken: the cache may have just closed the other, and an order that is written
// into that may have run.
func TestIdleConnectionUsedLast(t *testing.T) {
	b := newBench(t)
	b.send("t1")
	older, r1 := b.accept()
	b.expect(r1, "ASK t1 ")
	b.send("t2")
	newer, r2 := b.accept()
	b.expect(r2, "ASK t2 ")
	b.now.Store(int64(time.Millisecond))
	fmt.Fprint(older, "t1 WAIT - 0\r\n\r\n")
	b.ended(balancer.Rejected)
	b.do(func() {}) // it is idle by now
	b.now.Store(int64(2 * time.Millisecond))
	fmt.Fprint(newer, "t2 WAIT - 0\r\n\r\n")
	b.ended(balancer.Rejected)
	b.do(func() {}) // it is idle by now
	b.send("t3")
	b.expect(r2, "ASK t3 ")
}

// More attempts than there may be connections come while these are being dialed: they share what comes up, or fail with it.
// They failed at once before, and the cache was held to be bad for it.
func TestMoreThanConnections(t *testing.T) {
	b := newBench(t)
	send := func(txns ...string) {
		b.do(func() { // all before any dial is through
			for _, txn := range txns {
				b.cl.Send(&core.Attempt{Endpoint: b.node, Request: &core.Request{Txn: txn, Class: "c", ObjectText: "0a", PartText: "0"}})
			}
		})
	}
	send("t1", "t2", "t3", "t4", "t5")
	asked := map[string]bool{}
	lines := make(chan string, 10)
	for range 2 {
		_, r := b.accept()
		go func() {
			for {
				line, err := r.ReadString('\n')
				if err != nil {
					return
				}
				if f := strings.Fields(line); len(f) > 1 {
					lines <- f[1]
				}
			}
		}()
	}
	for range 5 {
		select {
		case txn := <-lines:
			asked[txn] = true
		case <-time.After(10 * time.Second):
			t.Fatalf("asked for %v only", asked)
		}
	}
	if len(asked) != 5 || len(b.ends) != 0 {
		t.Errorf("asked for %v, %d ended", asked, len(b.ends))
	}
	b.ln.Close()
	b.do(func() { b.cl.CloseEndpoint(b.node) })
	send("t6", "t7", "t8")
	for range 3 {
		b.ended(balancer.ConnectFailed)
	}
}

// Where all connections that there may be are up, the one that has been idle for longest gives way to one to a cache that has
// none. Where none is idle, it is not the cache that has failed.
func TestNoConnectionsLeft(t *testing.T) {
	b := newBench(t)
	b.cl.lim.CacheConns = 1
	b.send("t1")
	nc, r := b.accept()
	b.expect(r, "ASK t1 ")
	other := &core.Endpoint{ID: "s-2", Addr: b.node.Addr}
	b.do(func() {
		b.cl.Send(&core.Attempt{Endpoint: other, Request: &core.Request{Txn: "t2", Class: "c", ObjectText: "0a", PartText: "0"}})
	})
	b.ended(balancer.Rejected)
	fmt.Fprint(nc, "t1 DONE - 0\r\n\r\n")
	b.ended(balancer.OK)
	b.do(func() {
		b.cl.Send(&core.Attempt{Endpoint: other, Request: &core.Request{Txn: "t3", Class: "c", ObjectText: "0a", PartText: "0"}})
	})
	_, second := b.accept()
	b.expect(second, "ASK t3 ")
}

// An answer may come twice, the second time late. A request that was turned away, and is asked for at the same cache again, is not
// ended by the second copy: an order goes out on another connection, and what may be repeated is given up before its end counts.
func TestAnswerTwice(t *testing.T) {
	b := newBench(t)
	order := func(a *core.Attempt) *core.Attempt { a.NonIdempotent = true; return a }
	ask := func(txn string) *core.Attempt {
		return &core.Attempt{Endpoint: b.node, Request: &core.Request{Txn: txn, Class: "c", ObjectText: "0a", PartText: "0"}}
	}
	b.do(func() { b.cl.Send(order(ask("t1"))) })
	nc, r := b.accept()
	b.expect(r, "ASK t1 ")
	fmt.Fprint(nc, "t1 WAIT - 0\r\n\r\n")
	b.ended(balancer.Rejected)
	b.do(func() { b.cl.Send(order(ask("t1"))) })
	again, second := b.accept()
	b.expect(second, "ASK t1 ")
	fmt.Fprint(nc, "t1 WAIT - 0\r\n\r\n")
	b.send("t2")
	b.expect(r, "ASK t2 ") // the answer before it has been read
	fmt.Fprint(nc, "t2 LACK - 0\r\n\r\n")
	b.ended(balancer.Miss)
	if len(b.ends) != 0 {
		t.Errorf("the second copy ended the attempt: %+v", <-b.ends)
	}
	fmt.Fprint(again, "t1 DONE - 0\r\n\r\n")
	b.ended(balancer.OK)
	b.send("t2")
	b.expect(r, "ASK t2 ")
	fmt.Fprint(nc, "t2 LACK - 0\r\n\r\n") // of the first, or of this
	b.ended(balancer.Miss)
	b.expect(r, "QUIT t2")
	b.send("t2")
	b.ended(balancer.Rejected)
}

// A reset of an idle connection proves that what is sent next has not run: it goes out again on a new one.
func TestResetWhenIdle(t *testing.T) {
	b := newBench(t)
	b.send("t1")
	nc, r := b.accept()
	b.expect(r, "ASK t1 ")
	fmt.Fprint(nc, "t1 WAIT - 0\r\n\r\n")
	b.ended(balancer.Rejected)
	b.do(func() { // the client has yet to be told of the reset as it sends
		nc.(*net.TCPConn).SetLinger(0)
		nc.Close()
		for c := b.cl.pools[b.node].conns[0]; c.nc.WriteSync([]byte("\r\n")) == nil; {
			time.Sleep(time.Millisecond)
		}
		b.cl.Send(&core.Attempt{Endpoint: b.node, Request: &core.Request{Txn: "t2", Class: "c", ObjectText: "0a", PartText: "0"}})
	})
	_, r = b.accept()
	b.expect(r, "ASK t2 ")
	if len(b.ends) != 0 {
		t.Errorf("ended with %+v", <-b.ends)
	}
}

// A connection that breaks as it comes up leaves no trace. It once kept its place in the pool: after four the
// cache could not be reached any more.
func TestBrokenAsItComesUp(t *testing.T) {
	b := newBench(t)
	p := &pool{addr: b.node.Addr, dialing: 1}
	c := &conn{cl: b.cl, p: p, open: map[string]*core.Attempt{}}
	var err error
	if c.nc, err = netio.Dial(p.addr, 10*time.Second, b.cl.lim.Upstream, b.cl.budget, func(*netio.Conn) netio.Handler { return c }); err != nil {
		t.Fatal(err)
	}
	b.do(func() {
		b.cl.pools[b.node], b.cl.conns = p, 1
		c.lost()
		b.cl.dialed(p, c, nil)
		if len(p.conns) != 0 || p.dialing != 0 || b.cl.conns != 0 {
			t.Errorf("%d connections, %d being dialed, %d in all; want none", len(p.conns), p.dialing, b.cl.conns)
		}
	})
}

// The connection to a cache that has gone is closed with the last attempt on it, however that ends.
func TestQuitAtCacheThatHasGone(t *testing.T) {
	b := newBench(t)
	a := b.send("t1")
	_, r := b.accept()
	b.expect(r, "ASK t1 ")
	b.do(func() { b.cl.CloseEndpoint(b.node); b.cl.Cancel(a) })
	b.expect(r, "QUIT t1")
	if line, err := r.ReadString('\n'); err != io.EOF {
		t.Errorf("read %q, %v; want the end", line, err)
	}
}

// An answer that stops short ends its connection soon: all that is asked for on it would wait for nothing. One
// that goes on, however slowly, is waited for.
func TestAnswerStopsShort(t *testing.T) {
	b := newBench(t)
	b.cl.lim.Upstream.Read = time.Second
	b.send("t1")
	nc, r := b.accept()
	b.expect(r, "ASK t1 ")
	fmt.Fprint(nc, "t1 DONE - 130\r\n")
	for range 130 {
		time.Sleep(10 * time.Millisecond)
		fmt.Fprint(nc, "x")
	}
	fmt.Fprint(nc, "\r\n")
	b.ended(balancer.OK)
	b.send("t2")
	b.expect(r, "ASK t2 ")
	fmt.Fprint(nc, "t2 DONE - 300\r\nhe")
	b.ended(balancer.Reset)
}

// A connection may be cut off without a sign while the cache is well. One that owes an answer and brings none is
// passed over, and closed once what it owes is given up; it once stayed in use and took a share of all requests.
func TestSilentConnection(t *testing.T) {
	b := newBench(t)
	a := b.send("t1")
	_, silent := b.accept()
	b.expect(silent, "ASK t1 ")
	b.do(func() {}) // the write is over
	b.now.Store(int64(2 * time.Second))
	b.send("t2")
	nc, r := b.accept()
	b.expect(r, "ASK t2 ")
	fmt.Fprint(nc, "t2 WAIT - 0\r\n\r\n")
	b.ended(balancer.Rejected)
	b.do(func() { b.cl.Cancel(a) })
	b.expect(silent, "QUIT t1")
	b.now.Store(int64(4 * time.Second))
	b.send("t3")
	b.expect(r, "ASK t3 ")
	if line, err := silent.ReadString('\n'); err != io.EOF {
		t.Errorf("read %q, %v; want the end", line, err)
	}
}
