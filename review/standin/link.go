package main

import (
	"net"
	"sync"
	"time"
)

// link stands for the network between clients and one router: it passes bytes on, each a fixed time after they came. When it
// is cut, it passes nothing more in either direction and gives no sign of that.
type link struct {
	address string // at which clients reach the router
	target  string // at which the router listens
	delay   time.Duration
	mute    bool // what the router sends is lost

	mu  sync.Mutex
	cut bool
}

func newLink(target string, delay time.Duration, mute bool) (*link, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{address: ln.Addr().String(), target: target, delay: delay, mute: mute}
	go func() {
		for {
			near, err := ln.Accept()
			if err != nil {
				return
			}
			far, err := net.DialTimeout("tcp", target, time.Second)
			if err != nil {
				_ = near.Close()
				continue
			}
			go l.pass(near, far, false)
			go l.pass(far, near, mute)
		}
	}()
	return l, nil
}

// setCut cuts the link for good.
func (l *link) setCut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = true
}

func (l *link) isCut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut
}

// piece holds bytes under way; none at the end of the stream.
type piece struct {
	due   time.Time
	bytes []byte
}

// pass passes the bytes of one direction on, or loses them.
func (l *link) pass(from, to net.Conn, lose bool) {
	pieces := make(chan piece, 1024)
	go func() {
		defer close(pieces)
		for {
			buffer := make([]byte, 4096)
			n, err := from.Read(buffer)
			pieces <- piece{time.Now().Add(l.delay), buffer[:n]}
			if err != nil {
				return
			}
		}
	}()
	for p := range pieces {
		time.Sleep(time.Until(p.due))
		switch {
		case l.isCut():
			continue
		case len(p.bytes) == 0:
			_ = to.Close()
			continue
		case lose:
			continue
		}
		_, _ = to.Write(p.bytes) // the router or the client may have closed the connection
	}
}
