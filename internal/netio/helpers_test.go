package netio

import (
	"io"
	"net"
	"testing"
	"time"

	"hillknot/internal/config"
)

// testLimits holds the limits that most tests use.
var testLimits = config.ConnLimits{MaxPendingBytes: 1 << 20, ReadTimeout: 10 * time.Second, WriteTimeout: 10 * time.Second,
	IdleTimeout: time.Minute, SilentTimeout: time.Minute}

// echo is a handler that sends its input back.
type echo struct{ c *Conn }

func (e echo) Consume(buf []byte) (int, int, error) {
	return len(buf), 0, e.c.Send(append([]byte(nil), buf...))
}
func (e echo) Closed() {}

func newEcho(c *Conn) Handler { return echo{c} }

// serve starts a server on the loopback interface. The server is closed when the test ends.
func serve(t *testing.T, maxConns int, limits config.ConnLimits, newHandler func(*Conn) Handler) *Server {
	t.Helper()
	return serveWithBudget(t, maxConns, limits, NewBudget(1<<20), newHandler)
}

// serveWithBudget is like serve, for tests that queue more than a megabyte.
func serveWithBudget(
	t *testing.T, maxConns int, limits config.ConnLimits, budget *Budget, newHandler func(*Conn) Handler,
) *Server {
	t.Helper()
	s, err := Listen("127.0.0.1:0", maxConns, limits, budget, newHandler)
	if err != nil {
		t.Fatal(err)
	}
	go s.Serve()
	t.Cleanup(s.Close)
	return s
}

// dial connects to a server as a client does.
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

// exchange connects to a server, sends a line and reads its echo.
func exchange(t *testing.T, addr string) {
	t.Helper()
	expectEcho(t, dial(t, addr))
}

// expectEcho sends a line on an open connection and reads its echo.
func expectEcho(t *testing.T, c net.Conn) {
	t.Helper()
	buf := make([]byte, 3)
	if _, err := c.Write([]byte("hi\n")); err != nil {
		t.Fatal(err)
	}
	if n, err := c.Read(buf); n == 0 || err != nil {
		t.Fatalf("echo of %d bytes: %v", n, err)
	}
}

// expectClosed waits until the server closes the connection. The test fails if the server sends something instead or if
// the connection's deadline expires.
func expectClosed(t *testing.T, c net.Conn) {
	t.Helper()
	_, err := c.Read(make([]byte, 1))
	if e, timeout := err.(net.Error); err == nil || timeout && e.Timeout() {
		t.Errorf("the connection is still open: %v", err)
	}
}

// lineEcho is a handler that sends back complete lines only.
type lineEcho struct{ echo }

func newLineEcho(c *Conn) Handler { return lineEcho{echo{c}} }

func (l lineEcho) Consume(buf []byte) (int, int, error) {
	if buf[len(buf)-1] != '\n' {
		return 0, 0, nil
	}
	return l.echo.Consume(buf)
}

// gatedHandler is a handler that consumes complete lines. It reports each input on received and waits for release before
// it consumes the input.
type gatedHandler struct {
	c        *Conn
	received chan string
	release  chan bool
	closed   chan bool
}

func (g *gatedHandler) Consume(buf []byte) (int, int, error) {
	if buf[len(buf)-1] != '\n' {
		return 0, 0, nil
	}
	g.received <- string(buf)
	<-g.release
	return len(buf), 0, nil
}

func (g *gatedHandler) Closed() { close(g.closed) }

// newGatedPair starts a server with one connection of a client. It returns the server, the client's end of the connection
// and the handler at the server's end.
func newGatedPair(t *testing.T, limits config.ConnLimits) (*Server, net.Conn, *gatedHandler) {
	t.Helper()
	made := make(chan *gatedHandler, 1)
	s := serveWithBudget(t, 100, limits, NewBudget(1<<25), func(c *Conn) Handler {
		g := &gatedHandler{c: c, received: make(chan string, 10), release: make(chan bool), closed: make(chan bool)}
		made <- g
		return g
	})
	nc, g := dial(t, s.Addr().String()), <-made
	for ok := false; !ok; _, ok = s.conns.Load(g.c) { // until the server has stored the connection
		time.Sleep(time.Millisecond)
	}
	return s, nc, g
}

// lingeringLimits returns testLimits with a linger timeout.
func lingeringLimits() config.ConnLimits {
	l := testLimits
	l.LingerTimeout = 10 * time.Second
	return l
}

// expectThenEnd reads everything that the peer sends until it closes the connection. A reset instead of a close fails the
// test.
func expectThenEnd(t *testing.T, nc net.Conn, want string) {
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
