package loadtest

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// soakCache is a page cache, or the origin, that misbehaves on demand and writes down what it reads.
type soakCache struct {
	id      string
	ln      net.Listener
	history *soakHistory

	draining bool // guarded by the lock of the soak

	mu    sync.Mutex
	rnd   *rand.Rand
	mode  soakMode
	until time.Time // the mode is over then
	open  map[net.Conn]bool
}

// soakMode is how a page cache answers.
type soakMode uint8

const (
	soakWell   soakMode = iota
	soakHang            // it answers nothing
	soakErrors          // it answers errors, which may have run
	soakFull            // it turns away what it gets
	soakTwice           // it answers each request twice
	soakSpoilt          // its answers are cut, and the connection ends
	soakModes
)

var soakModeNames = [soakModes]string{"well", "hang", "errors", "full", "twice", "spoilt"}

func newSoakCache(id string, history *soakHistory, seed uint64) (*soakCache, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &soakCache{id: id, ln: ln, history: history, rnd: rand.New(rand.NewPCG(seed, 7)), open: map[net.Conn]bool{}}
	go c.accept()
	return c, nil
}

func (c *soakCache) addr() string { return c.ln.Addr().String() }

func (c *soakCache) close() {
	_ = c.ln.Close() // the accepts end, which is all that is wanted
	c.reset()
}

// behave sets how the page cache answers for a while.
func (c *soakCache) behave(mode soakMode, span time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mode, c.until = mode, time.Now().Add(span)
}

// reset resets all connections.
func (c *soakCache) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for nc := range c.open {
		if t, ok := nc.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // fails on a closed connection only
		}
		_ = nc.Close() // as above
	}
}

func (c *soakCache) accept() {
	for {
		nc, err := c.ln.Accept()
		if err != nil {
			return
		}
		c.mu.Lock()
		c.open[nc] = true
		c.mu.Unlock()
		go c.serve(nc)
	}
}

// draw returns how the page cache answers now, and after how long.
func (c *soakCache) draw() (soakMode, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().After(c.until) {
		c.mode = soakWell
	}
	return c.mode, time.Duration(5+c.rnd.IntN(40)) * time.Millisecond
}

// serve reads requests until the connection ends.
func (c *soakCache) serve(nc net.Conn) {
	s := &soakSession{cache: c, nc: nc, out: map[string]*soakAsk{}}
	defer s.end()
	for in := bufio.NewReader(nc); ; {
		line, err := in.ReadString('\n')
		words := strings.Fields(line)
		switch {
		case err != nil || len(words) < 2:
			return
		case words[0] == "QUIT":
			s.finish(words[1])
		case words[0] == "ASK" && len(words) == 4:
			n, err := strconv.Atoi(words[3])
			if err != nil {
				return
			}
			if _, err := io.CopyN(io.Discard, in, int64(n+2)); err != nil {
				return
			}
			s.ask(words[1], words[2])
		}
	}
}

// soakSession is one connection of a router.
type soakSession struct {
	cache *soakCache
	nc    net.Conn
	mu    sync.Mutex
	out   map[string]*soakAsk
}

func (s *soakSession) end() {
	_ = s.nc.Close() // it may be closed already
	s.cache.mu.Lock()
	delete(s.cache.open, s.nc)
	s.cache.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cache.history.change(func() {
		for _, a := range s.out {
			a.ended = time.Now()
		}
	})
}

// finish ends what is out under an id, and tells whether anything was.
func (s *soakSession) finish(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.out[id]
	delete(s.out, id)
	if a != nil {
		s.cache.history.change(func() { a.ended = time.Now() })
	}
	return a != nil
}

// ask writes a request down and answers it as the page cache's mode says.
func (s *soakSession) ask(id, fields string) {
	a := &soakAsk{cache: s.cache.id, at: time.Now()}
	a.txn, _ = strconv.ParseUint(id, 16, 64) // nonsense is no request of a client, which the judge sees
	for _, f := range strings.Split(fields, ",") {
		name, value, _ := strings.Cut(f, "=")
		switch number, _ := strconv.Atoi(value); name {
		case "kind":
			a.class = value
		case "obj":
			a.object = value
		case "fetch":
			a.source = value
		case "ms":
			a.wait = time.Duration(number) * time.Millisecond
		case "newer":
			a.newer = time.Duration(number) * time.Millisecond
		}
	}
	mode, after := s.cache.draw()
	a.ran = mode != soakFull
	s.cache.history.change(func() { s.cache.history.asks = append(s.cache.history.asks, a) })
	s.mu.Lock()
	s.out[id] = a
	s.mu.Unlock()
	if mode != soakHang {
		time.AfterFunc(after, func() { s.answer(id, mode) })
	}
}

func (s *soakSession) answer(id string, mode soakMode) {
	if !s.finish(id) {
		return
	}
	text := fmt.Sprintf("%s DONE res=cached,version=v1,stamp=%d 5\r\nhello\r\n", id, time.Now().UnixMilli())
	switch mode {
	case soakErrors:
		text = id + " BROKE - 0\r\n\r\n"
	case soakFull:
		text = id + " WAIT - 0\r\n\r\n"
	case soakTwice:
		text += text
	case soakSpoilt:
		text = text[:len(text)-4]
	}
	_, _ = io.WriteString(s.nc, text) // a router that has gone reads nothing
	if mode == soakSpoilt {
		_ = s.nc.Close()
	}
}
