package netio

import (
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"hillknot/internal/config"
)

var lim = config.Conn{Pending: 1 << 20, Read: 10 * time.Second, Write: 10 * time.Second, Idle: time.Minute}

type echo struct{ c *Conn }

func (e echo) Take(buf []byte) (int, int, error) {
	return len(buf), 0, e.c.Send(append([]byte(nil), buf...))
}
func (e echo) Closed() {}

func listen(t *testing.T) *Server {
	t.Helper()
	s, err := Listen("127.0.0.1:0", 100, lim, &Budget{Max: 1 << 20}, func(c *Conn) Handler { return echo{c} })
	if err != nil {
		t.Fatal(err)
	}
	go s.Serve()
	t.Cleanup(s.Close)
	return s
}

func exchange(t *testing.T, addr string) {
	t.Helper()
	c, err := net.DialTimeout("tcp", addr, 10*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(10 * time.Second))
	buf := make([]byte, 2)
	if _, err := c.Write([]byte("hi")); err != nil {
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
	s := listen(t)
	exchange(t, s.Addr().String())
	addr := blackhole(t)
	var wg sync.WaitGroup
	for range 20 {
		wg.Go(func() {
			for range 3 {
				if c, err := Dial(addr, 20*time.Millisecond, lim, &Budget{Max: 1 << 20}, func(c *Conn) Handler { return echo{c} }); err == nil {
					c.Close()
					t.Error("connected to nowhere")
				}
			}
		})
	}
	wg.Wait()
	exchange(t, s.Addr().String())
}
