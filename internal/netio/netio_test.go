package netio

import (
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"hillknot/internal/clock"
	"hillknot/internal/config"
)

var lim = config.Conn{Pending: 1 << 20, Read: 10 * time.Second, Write: 10 * time.Second, Idle: time.Minute, Silent: time.Minute}

type echo struct{ c *Conn }

func (e echo) Consume(buf []byte) (int, int, error) {
	return len(buf), 0, e.c.Send(append([]byte(nil), buf...))
}
func (e echo) Closed() {}

func start(t *testing.T, max int, lim config.Conn) *Server {
	t.Helper()
	s, err := Listen("127.0.0.1:0", max, lim, NewBudget(1<<20), func(c *Conn) Handler { return echo{c} })
	if err != nil {
		t.Fatal(err)
	}
	go s.Serve()
	t.Cleanup(s.Close)
	return s
}

func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.DialTimeout("tcp", addr, 10*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(20 * time.Second))
	return c
}

func exchange(t *testing.T, addr string) {
	t.Helper()
	echoed(t, dial(t, addr))
}

func echoed(t *testing.T, c net.Conn) {
	t.Helper()
	buf := make([]byte, 3)
	if _, err := c.Write([]byte("hi\n")); err != nil {
		t.Fatal(err)
	}
	if n, err := c.Read(buf); n == 0 || err != nil {
		t.Fatalf("echo of %d bytes: %v", n, err)
	}
}

// blackhole returns an address where new connections never come up, as on a machine that vanished.
func blackhole(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	sa, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr := (&net.TCPAddr{IP: net.IP{127, 0, 0, 1}, Port: sa.(*syscall.SockaddrInet4).Port}).String()
	for range 3 { // fills the queue of those who wait to be accepted
		if c, err := net.DialTimeout("tcp", addr, 100*time.Millisecond); err == nil {
			t.Cleanup(func() { c.Close() })
		}
	}
	return addr
}

// Dials that time out must leave the poller and all other connections alone.
func TestDialTimeouts(t *testing.T) {
	s := start(t, 100, lim)
	exchange(t, s.Addr().String())
	addr := blackhole(t)
	var wg sync.WaitGroup
	for range 20 {
		wg.Go(func() {
			for range 3 {
				if c, err := Dial(addr, 20*time.Millisecond, lim, NewBudget(1<<20), func(c *Conn) Handler { return echo{c} }); err == nil {
					c.Close()
					t.Error("connected to nowhere")
				}
			}
		})
	}
	wg.Wait()
	exchange(t, s.Addr().String())
}

// cut waits until the router ends the connection.
func cut(t *testing.T, c net.Conn) {
	t.Helper()
	_, err := c.Read(make([]byte, 1))
	if e, timeout := err.(net.Error); err == nil || timeout && e.Timeout() {
		t.Errorf("still open: %v", err)
	}
}

// Peers that connect and say nothing, or hold on after an answer, make room for new ones; not those that are
// owed something.
func TestRoomForNewPeers(t *testing.T) {
	owing := make(chan *Conn, 100)
	s, err := Listen("127.0.0.1:0", 8, lim, NewBudget(1<<20), func(c *Conn) Handler { owing <- c; return echo{c} })
	if err != nil {
		t.Fatal(err)
	}
	go s.Serve()
	t.Cleanup(s.Close)
	owed := dial(t, s.Addr().String())
	(<-owing).AddPendingReplies(1)
	for range 100 {
		dial(t, s.Addr().String())
		<-owing
	}
	exchange(t, s.Addr().String())
	echoed(t, owed)
}

// A new peer that says nothing is cut off soon, one that asked is left alone until it has idled, and one that
// sends byte by byte can't hold a message open.
func TestSilentAndSlowPeers(t *testing.T) {
	short := lim
	short.Silent, short.Whole = 50*time.Millisecond, 50*time.Millisecond
	s, err := Listen("127.0.0.1:0", 100, short, NewBudget(1<<20), func(c *Conn) Handler { return lines{echo{c}} })
	if err != nil {
		t.Fatal(err)
	}
	go s.Serve()
	t.Cleanup(s.Close)
	spoke, slow := dial(t, s.Addr().String()), dial(t, s.Addr().String())
	spoke.Write([]byte("hi\n"))
	go func() {
		for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
			if _, err := slow.Write([]byte("x")); err != nil {
				return
			}
		}
	}()
	cut(t, dial(t, s.Addr().String()))
	cut(t, slow)
	if _, err := spoke.Read(make([]byte, 3)); err != nil {
		t.Errorf("answer: %v", err)
	}
	echoed(t, spoke)
}

// A client that takes its time to write a request keeps its place while a crowd connects, says nothing or idles; one
// that has stopped half way gives way last.
func TestSlowWriterInACrowd(t *testing.T) {
	short := lim
	short.Silent = time.Second // silent for an eighth of it gives way
	s, err := Listen("127.0.0.1:0", 8, short, NewBudget(1<<20), func(c *Conn) Handler { return lines{echo{c}} })
	if err != nil {
		t.Fatal(err)
	}
	go s.Serve()
	t.Cleanup(s.Close)
	slow, idle := dial(t, s.Addr().String()), dial(t, s.Addr().String())
	echoed(t, idle)
	if _, err := slow.Write([]byte("h")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(short.Silent / 4)
	for range 50 {
		dial(t, s.Addr().String())
	}
	exchange(t, s.Addr().String())
	cut(t, idle)
	if _, err := slow.Write([]byte("i\n")); err != nil {
		t.Fatal(err)
	}
	if n, err := slow.Read(make([]byte, 3)); n == 0 {
		t.Errorf("the slow writer gets no answer: %v", err)
	}
}

// lines is an echo of whole lines.
type lines struct{ echo }

func (l lines) Consume(buf []byte) (int, int, error) {
	if buf[len(buf)-1] != '\n' {
		return 0, 0, nil
	}
	return l.echo.Consume(buf)
}

// A write to a connection that the peer has just ended is an error. It once panicked in netpoll, which frees
// its buffers as the connection ends.
func TestWriteAfterTheEnd(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	for range 20 {
		ended := make(chan bool)
		c, err := Dial(ln.Addr().String(), 10*time.Second, lim, NewBudget(1<<20), func(*Conn) Handler { return ender{ended} })
		if err != nil {
			t.Fatal(err)
		}
		if peer, err := ln.Accept(); err != nil {
			t.Fatal(err)
		} else {
			peer.Close()
		}
		<-ended
		time.Sleep(time.Millisecond)
		if err := c.WriteSync([]byte("x")); err == nil {
			t.Error("written to a connection that has ended")
		}
	}
}

type ender struct{ ended chan bool }

func (e ender) Consume(buf []byte) (int, int, error) { return len(buf), 0, nil }
func (e ender) Closed()                              { close(e.ended) }

// Fewer places than before: those that idle close, those that are owed something and those that write stay.
func TestFewerPlaces(t *testing.T) {
	conns := make(chan *Conn, 10)
	s, err := Listen("127.0.0.1:0", 10, lim, NewBudget(1<<20), func(c *Conn) Handler { conns <- c; return lines{echo{c}} })
	if err != nil {
		t.Fatal(err)
	}
	go s.Serve()
	t.Cleanup(s.Close)
	owed, half := dial(t, s.Addr().String()), dial(t, s.Addr().String())
	(<-conns).AddPendingReplies(1)
	half.Write([]byte("h"))
	for range 6 {
		echoed(t, dial(t, s.Addr().String()))
	}
	for c := <-conns; c.input.partialSince.Load() == 0; time.Sleep(time.Millisecond) { // until the half message has come in
	}
	s.SetMaxConns(1)
	for end := time.Now().Add(20 * time.Second); s.OpenConns() > 2; time.Sleep(time.Millisecond) {
		s.SetMaxConns(1) // a connection may not be done with its echo yet though the client has read it, and rests only then
		if time.Now().After(end) {
			t.Fatalf("%d connections", s.OpenConns())
		}
	}
	echoed(t, owed)
	half.Write([]byte("i\n"))
	if n, err := half.Read(make([]byte, 3)); n == 0 {
		t.Errorf("the one that was writing: %v", err)
	}
}

// Two servers on one socket, as two processes that inherited it: one stops accepting, and what it had goes on. New
// connections come to the other, none is turned away.
func TestInherited(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	var servers [2]*Server
	for i := range servers {
		servers[i], err = ListenInherited(dup(t, ln), 100, lim, NewBudget(1<<20), func(c *Conn) Handler { return echo{c} })
		if err != nil {
			t.Fatal(err)
		}
	}
	t.Cleanup(servers[1].Close)
	go servers[0].Serve()
	old := dial(t, ln.Addr().String())
	echoed(t, old)
	go servers[1].Serve()
	servers[0].StopAccepting()
	for range 20 {
		exchange(t, ln.Addr().String())
	}
	if n := servers[0].OpenConns(); n != 1 {
		t.Errorf("%d connections at the one that stopped", n)
	}
	echoed(t, old)
	servers[0].Close()
	exchange(t, ln.Addr().String())
}

// dup returns a descriptor of a listener, as a process inherits one.
func dup(t *testing.T, ln net.Listener) int {
	t.Helper()
	raw, err := ln.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	fd := -1
	if err := raw.Control(func(p uintptr) { fd, err = syscall.Dup(int(p)) }); err != nil || fd < 0 {
		t.Fatal(err)
	}
	return fd
}

func TestInheritNothing(t *testing.T) {
	if _, err := ListenInherited(1<<20, 1, lim, NewBudget(1), func(c *Conn) Handler { return echo{c} }); err == nil {
		t.Error("a descriptor that is not open was taken")
	}
}

// A slow reader that reads on gets all that waits for it, though that takes far longer than one write may; one that
// has stopped is cut off.
func TestSlowReader(t *testing.T) {
	short := lim
	short.Write, short.Pending = 600*time.Millisecond, 16<<20
	conns := make(chan *Conn, 2)
	s, err := Listen("127.0.0.1:0", 10, short, NewBudget(32<<20), func(c *Conn) Handler { conns <- c; return echo{c} })
	if err != nil {
		t.Fatal(err)
	}
	go s.Serve()
	t.Cleanup(s.Close)
	const messages, size = 48, 240_000
	fill := func() net.Conn {
		nc := dial(t, s.Addr().String())
		if err := nc.(*net.TCPConn).SetReadBuffer(64 << 10); err != nil {
			t.Fatal(err)
		}
		c := <-conns
		for range messages {
			if err := c.Send(make([]byte, size)); err != nil {
				t.Fatal(err)
			}
		}
		return nc
	}
	slow, stopped := fill(), fill()
	got, buf := 0, make([]byte, 128<<10)
	for got < messages*size {
		n, err := slow.Read(buf)
		if err != nil {
			t.Fatalf("after %d of %d bytes: %v", got, messages*size, err)
		}
		got += n
		time.Sleep(15 * time.Millisecond)
	}
	for err = nil; err == nil; {
		_, err = stopped.Read(buf)
	}
	if e, ok := err.(net.Error); ok && e.Timeout() {
		t.Error("the one that stopped is still open")
	}
}

// gated is a handler that takes lines, each when the test lets it, and notes what it was handed.
type gated struct {
	c      *Conn
	came   chan string
	let    chan bool
	closed chan bool
}

func (g *gated) Consume(buf []byte) (int, int, error) {
	if buf[len(buf)-1] != '\n' {
		return 0, 0, nil
	}
	g.came <- string(buf)
	<-g.let
	return len(buf), 0, nil
}

func (g *gated) Closed() { close(g.closed) }

// gatedPair starts a server with one connection of a client, and returns the two ends of it.
func gatedPair(t *testing.T, lim config.Conn) (*Server, net.Conn, *gated) {
	t.Helper()
	made := make(chan *gated, 1)
	s, err := Listen("127.0.0.1:0", 100, lim, NewBudget(1<<25), func(c *Conn) Handler {
		g := &gated{c: c, came: make(chan string, 10), let: make(chan bool), closed: make(chan bool)}
		made <- g
		return g
	})
	if err != nil {
		t.Fatal(err)
	}
	go s.Serve()
	t.Cleanup(s.Close)
	nc, g := dial(t, s.Addr().String()), <-made
	for ok := false; !ok; _, ok = s.conns.Load(g.c) { // until it is set up
		time.Sleep(time.Millisecond)
	}
	return s, nc, g
}

func lingering() config.Conn {
	l := lim
	l.Linger = 10 * time.Second
	return l
}

// expect reads what the peer has sent, up to its end, which must be no reset.
func expect(t *testing.T, nc net.Conn, want string) {
	t.Helper()
	if got, err := io.ReadAll(nc); err != nil || string(got) != want {
		t.Errorf("read %d bytes, %.40q, %v; want %d, %.40q, and the end", len(got), got, err, len(want), want)
	}
}

func write(t *testing.T, nc net.Conn, text string) {
	t.Helper()
	if _, err := nc.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
}

// What comes once a connection was closed is handed to nobody, also if it waited in the read buffer by then: a request that
// is read after the close would be sent on, and its answer lost.
func TestNothingIsHandedOnAfterAClose(t *testing.T) {
	for name, end := range map[string]func(*Conn){"at once": (*Conn).Close, "behind what was sent": (*Conn).CloseAfterWrites} {
		s, nc, g := gatedPair(t, lingering())
		write(t, nc, "one\n")
		<-g.came
		write(t, nc, "two\n")
		for !g.c.HasUnreadInput() { // until it has come
			time.Sleep(time.Millisecond)
		}
		end(g.c)
		g.let <- true
		nc.(*net.TCPConn).CloseWrite()
		for s.OpenConns() > 0 && len(g.came) == 0 {
			time.Sleep(time.Millisecond)
		}
		if len(g.came) > 0 {
			t.Errorf("%s: handed on %q after the close", name, <-g.came)
			g.let <- true
		}
	}
}

// A connection on which a message is being handed on does not rest, whatever else is owed on it.
func TestNoCloseUnderAMessage(t *testing.T) {
	for name, retire := range map[string]func(*Server, *Conn){
		"behind an answer": func(_ *Server, c *Conn) { c.CloseWhenIdle() },
		"idle":             func(_ *Server, c *Conn) { c.retire(closeIdleTimeout, keepPartial) },
		"half":             func(_ *Server, c *Conn) { c.retire(closeIdleTimeout, dropPartial) },
		"for a new one":    func(s *Server, _ *Conn) { s.SetMaxConns(0) },
	} {
		s, nc, g := gatedPair(t, lingering())
		write(t, nc, "one\n")
		<-g.came
		retire(s, g.c)
		g.c.AddPendingReplies(1)
		g.let <- true
		if err := g.c.Send([]byte("answer\n")); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		g.c.AddPendingReplies(-1)
		g.c.CloseWhenIdle()
		expect(t, nc, "answer\n")
	}
}

// An answer that a client has yet to read is not lost as the connection ends while the client sends on.
func TestLingeringClose(t *testing.T) {
	s, nc, g := gatedPair(t, lingering())
	write(t, nc, "one\n")
	<-g.came
	g.c.AddPendingReplies(1)
	g.let <- true
	if err := g.c.Send([]byte("answer\n")); err != nil {
		t.Fatal(err)
	}
	g.c.AddPendingReplies(-1)
	g.c.CloseAfterWrites()
	<-g.closed
	for range 20 {
		write(t, nc, "more\n") // fails once the connection is reset
		time.Sleep(time.Millisecond)
	}
	expect(t, nc, "answer\n")
	nc.Close()
	for end := time.Now().Add(20 * time.Second); s.OpenConns() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the connection stays")
		}
	}
}

// A peer that goes on and on after our end is cut off by bytes, and one that does nothing by time.
func TestLingeringEnds(t *testing.T) {
	short, long := lingering(), lingering()
	short.Linger, long.Linger = 50*time.Millisecond, time.Minute
	for name, l := range map[string]config.Conn{"sends": long, "rests": short} {
		s, nc, g := gatedPair(t, l)
		g.c.CloseAfterWrites()
		for end := time.Now().Add(20 * time.Second); s.OpenConns() > 0; time.Sleep(time.Millisecond) {
			if name == "sends" {
				_, _ = nc.Write(make([]byte, 4096)) // fails in the end
			}
			if time.Now().After(end) {
				t.Fatalf("%s: still open", name)
			}
		}
	}
}

// A server that ends writes what was sent, also to one who reads late, and ends the others; it is done as soon as they are.
func TestFinish(t *testing.T) {
	s, nc, g := gatedPair(t, lingering())
	rests := dial(t, s.Addr().String())
	write(t, nc, "one\n")
	<-g.came
	g.c.AddPendingReplies(1)
	g.let <- true
	answer := strings.Repeat("x", 1<<24) // more than the sockets hold
	if err := g.c.Send([]byte(answer)); err != nil {
		t.Fatal(err)
	}
	g.c.AddPendingReplies(-1)
	done := make(chan bool)
	go func() { s.Shutdown(clock.Now() + 20*time.Second); close(done) }()
	expect(t, rests, "")
	rests.Close()
	expect(t, nc, answer)
	nc.Close()
	<-done
	if n := s.OpenConns(); n > 0 {
		t.Errorf("%d connections are left", n)
	}
}

// Small writes go out at once, on both sides: what the system held back would be lost with a reset.
func TestNoDelay(t *testing.T) {
	s, _, g := gatedPair(t, lim)
	dialed, err := Dial(s.Addr().String(), 10*time.Second, lim, NewBudget(1<<20), func(c *Conn) Handler { return echo{c} })
	if err != nil {
		t.Fatal(err)
	}
	defer dialed.Close()
	for name, c := range map[string]*Conn{"accepted": g.c, "dialed": dialed} {
		on, err := unix.GetsockoptInt(c.transport.(interface{ Fd() int }).Fd(), unix.IPPROTO_TCP, unix.TCP_NODELAY)
		if err != nil || on != 1 {
			t.Errorf("%s: TCP_NODELAY %d, %v", name, on, err)
		}
	}
}

// A server that ends answers what was read before: also where the answer is given only once the end has begun, as by a loop
// that had no time. It was cut off: a close over an answer that is owed loses the request.
func TestFinishAnswersWhatWasRead(t *testing.T) {
	s, nc, g := gatedPair(t, lingering())
	g.c.AddPendingReplies(1)
	write(t, nc, "one\n")
	<-g.came
	g.let <- true
	done := make(chan bool)
	go func() { s.Shutdown(clock.Now() + 20*time.Second); close(done) }()
	time.Sleep(50 * time.Millisecond) // it has looked many times
	if err := g.c.Send([]byte("answer")); err != nil {
		t.Errorf("the answer can't be sent: %v", err)
	}
	g.c.AddPendingReplies(-1)
	expect(t, nc, "answer")
	nc.Close()
	<-done
}
