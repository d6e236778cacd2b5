// Package fakes plays the parties that a router and its clients talk to, on loopback, as the tests and the
// laboratory script them: page caches, the journal service, a router, and a relay that breaks what passes it.
package fakes

import (
	"net"
	"sync"
	"sync/atomic"
)

// listener accepts connections until it is closed, and closes them with it.
type listener struct {
	ln   net.Listener
	mu   sync.Mutex
	open map[net.Conn]bool
	done bool
	work sync.WaitGroup

	accepted atomic.Int64
}

// Accepted is how many connections were accepted so far.
func (l *listener) Accepted() int64 { return l.accepted.Load() }

func listen(addr string, serve func(net.Conn)) (*listener, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	l := &listener{ln: ln, open: map[net.Conn]bool{}}
	l.work.Go(func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			l.accepted.Add(1)
			if !l.add(nc) {
				_ = nc.Close() // it came as the listener was closed
				return
			}
			l.work.Go(func() {
				defer l.drop(nc)
				serve(nc)
			})
		}
	})
	return l, nil
}

func (l *listener) add(nc net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.done {
		l.open[nc] = true
	}
	return !l.done
}

func (l *listener) drop(nc net.Conn) {
	_ = nc.Close() // mostly it is closed already
	l.mu.Lock()
	delete(l.open, nc)
	l.mu.Unlock()
}

// Addr is where it listens.
func (l *listener) Addr() string { return l.ln.Addr().String() }

// Close closes the listener and all that it accepted.
func (l *listener) Close() {
	_ = l.ln.Close() // the accepts end, which is all that is wanted
	l.Break(false)
	l.mu.Lock()
	l.done = true
	l.mu.Unlock()
	l.Break(false)
	l.work.Wait()
}

// Break closes the open connections, with a reset if that is asked for.
func (l *listener) Break(reset bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for nc := range l.open {
		end(nc, reset)
	}
}

// end closes a connection, with a reset if that is asked for.
func end(nc net.Conn, reset bool) {
	if t, ok := nc.(*net.TCPConn); ok && reset {
		_ = t.SetLinger(0) // fails on a closed connection only
	}
	_ = nc.Close() // it may be closed already
}
