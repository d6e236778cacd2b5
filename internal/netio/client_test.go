package netio

import (
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// blackhole returns an address to which connections are never established, as if the machine had vanished.
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
	for range 3 { // fills the queue of connections that wait to be accepted
		if c, err := net.DialTimeout("tcp", addr, 100*time.Millisecond); err == nil {
			t.Cleanup(func() { c.Close() })
		}
	}
	return addr
}

// Dials that time out do not affect the poller or other connections.
func TestDialTimeoutLeavesOtherConnectionsAlone(t *testing.T) {
	s := serve(t, 100, testLimits, newEcho)
	exchange(t, s.Addr().String())
	addr := blackhole(t)
	var wg sync.WaitGroup
	for range 20 {
		wg.Go(func() {
			for range 3 {
				if c, err := Dial(addr, 20*time.Millisecond, testLimits, NewBudget(1<<20), newEcho); err == nil {
					c.Close()
					t.Error("the dial succeeded, want a timeout")
				}
			}
		})
	}
	wg.Wait()
	exchange(t, s.Addr().String())
}

// A write to a connection that the peer has just closed returns an error. Earlier it panicked in netpoll, which frees its
// buffers when the connection closes.
func TestWriteAfterPeerClosedFails(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	for range 20 {
		ended := make(chan bool)
		c, err := Dial(ln.Addr().String(), 10*time.Second, testLimits, NewBudget(1<<20),
			func(*Conn) Handler { return closeReporter{ended} })
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
			t.Error("the write to a closed connection succeeded")
		}
	}
}

// closeReporter is a handler that discards its input, and closes a channel when it is closed.
type closeReporter struct{ ended chan bool }

func (e closeReporter) Consume(buf []byte) (int, int, error) { return len(buf), 0, nil }
func (e closeReporter) Closed()                              { close(e.ended) }

// Small writes are sent without delay on both sides: bytes that the system holds back would be lost if the connection is
// reset.
func TestNoDelayIsSet(t *testing.T) {
	s, _, g := newGatedPair(t, testLimits)
	dialed, err := Dial(s.Addr().String(), 10*time.Second, testLimits, NewBudget(1<<20), newEcho)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(dialed.Close)
	for name, c := range map[string]*Conn{"accepted": g.c, "dialed": dialed} {
		on, err := unix.GetsockoptInt(c.transport.(interface{ Fd() int }).Fd(), unix.IPPROTO_TCP, unix.TCP_NODELAY)
		if err != nil || on != 1 {
			t.Errorf("%s: TCP_NODELAY is %d, error %v; want 1", name, on, err)
		}
	}
}
