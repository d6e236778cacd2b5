package loadtest

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// soakCache is a page cache, or the origin, that misbehaves on demand and records the attempts that it reads.
type soakCache struct {
	name       string
	listener   net.Listener
	history    *soakHistory
	goroutines sync.WaitGroup

	mu     sync.Mutex
	random *rand.Rand
	mode   cacheMode
	until  time.Time // after it the mode is healthy again
	conns  map[net.Conn]bool
	closed bool
}

// cacheMode is how a page cache answers.
type cacheMode uint8

const (
	modeHealthy   cacheMode = iota
	modeHang                // it does not answer
	modeErrors              // it answers with errors, after which a request may have run
	modeFull                // it rejects all requests
	modeTwice               // it answers each request twice
	modeTruncated           // its answers are incomplete, and the connection ends
	modeCount
)

var cacheModeNames = [modeCount]string{"well", "hang", "errors", "full", "twice", "spoilt"}

// String names the mode.
func (m cacheMode) String() string { return cacheModeNames[m] }

// The time that an answer takes.
const (
	soakMinAnswerMillis    = 5
	soakAnswerSpreadMillis = 40
)

// newSoakCache starts a page cache. The caller closes it.
func newSoakCache(id string, history *soakHistory, seed uint64) (*soakCache, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &soakCache{name: id, listener: listener, history: history, random: rand.New(rand.NewPCG(seed, 7)), conns: map[net.Conn]bool{}}
	c.goroutines.Go(c.accept)
	return c, nil
}

func (c *soakCache) address() string { return c.listener.Addr().String() }

// close closes the listener and all connections, and waits for the end of their goroutines.
func (c *soakCache) close() {
	_ = c.listener.Close() // this ends accept, and nothing else depends on it
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.resetConns()
	c.goroutines.Wait()
}

// misbehave sets how the page cache answers for a time.
func (c *soakCache) misbehave(mode cacheMode, length time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mode, c.until = mode, time.Now().Add(length)
}

// resetConns resets all connections.
func (c *soakCache) resetConns() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // fails on a closed connection only
		}
		_ = conn.Close() // it may be closed already
	}
}

// accept serves connections until the listener is closed.
func (c *soakCache) accept() {
	for {
		conn, err := c.listener.Accept()
		if err != nil {
			return
		}
		if !c.add(conn) {
			_ = conn.Close() // accepted while the page cache was being closed
			return
		}
		c.goroutines.Go(func() { newSoakSession(c, conn).serve() })
	}
}

// add registers a connection; it reports false where the page cache is closed.
func (c *soakCache) add(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.conns[conn] = true
	return true
}

// remove closes a connection and forgets it.
func (c *soakCache) remove(conn net.Conn) {
	_ = conn.Close() // it may be closed already
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.conns, conn)
}

// drawAnswer returns how the page cache answers a request now, and after how long.
func (c *soakCache) drawAnswer() (cacheMode, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().After(c.until) {
		c.mode = modeHealthy
	}
	return c.mode, time.Duration(soakMinAnswerMillis+c.random.IntN(soakAnswerSpreadMillis)) * time.Millisecond
}
