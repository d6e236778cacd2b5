package fakes

import (
	"io"
	"net"
	"sync"
	"syscall"
)

// Flaw says what goes wrong on a connection.
type Flaw struct {
	Read  int  // bytes that can be read before it goes wrong; under 0: all
	Write int  // bytes that can be written before it goes wrong; under 0: all
	Stall bool // then nothing more passes, and the connection stays; else it is reset
}

// Flawed returns a connection that goes wrong as told.
func Flawed(nc net.Conn, f Flaw) net.Conn {
	return &flawed{Conn: nc, flaw: f, ended: make(chan struct{})}
}

type flawed struct {
	net.Conn
	mu    sync.Mutex
	flaw  Flaw
	wrong bool
	ended chan struct{}
	once  sync.Once
}

func (f *flawed) Read(b []byte) (int, error) {
	f.mu.Lock()
	left, wrong := f.flaw.Read, f.wrong
	f.mu.Unlock()
	if left == 0 || wrong {
		return 0, f.fail()
	}
	if left > 0 && len(b) > left {
		b = b[:left]
	}
	n, err := f.Conn.Read(b)
	f.mu.Lock()
	if f.flaw.Read > 0 {
		f.flaw.Read -= n
	}
	if f.wrong { // it went wrong while we waited
		n, err = 0, io.EOF
	}
	f.mu.Unlock()
	if n == 0 && err != nil {
		err = f.fail()
	}
	return n, err
}

func (f *flawed) Write(b []byte) (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.flaw.Write < 0 {
		return f.Conn.Write(b)
	}
	if len(b) <= f.flaw.Write && !f.wrong {
		n, err := f.Conn.Write(b)
		f.flaw.Write -= n
		return n, err
	}
	n := 0
	if !f.wrong {
		n, _ = f.Conn.Write(b[:f.flaw.Write]) // its error is of no matter: the next is ours
	}
	f.flaw.Write, f.wrong = 0, true
	if f.flaw.Stall {
		return len(b), nil // into the void
	}
	end(f.Conn, true)
	return n, syscall.ECONNRESET
}

// fail breaks the connection, or stalls until it is closed.
func (f *flawed) fail() error {
	f.mu.Lock()
	stall := f.flaw.Stall
	f.wrong = true
	f.mu.Unlock()
	if stall {
		<-f.ended
		return net.ErrClosed
	}
	end(f.Conn, true)
	return syscall.ECONNRESET
}

// Close implements net.Conn.
func (f *flawed) Close() error {
	f.once.Do(func() { close(f.ended) })
	return f.Conn.Close()
}
