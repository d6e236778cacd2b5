package loadtest

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"hillknot/internal/testutil/fakes"
)

// soakCache is a page cache, or the origin, that misbehaves on demand and records the attempts that it receives.
type soakCache struct {
	*fakes.Server
	name    string
	cell    int
	history *soakHistory

	mu      sync.Mutex
	random  *rand.Rand
	mode    cacheMode
	modeEnd time.Time // after this time the mode is healthy again
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

// String returns the name of the mode.
func (m cacheMode) String() string { return cacheModeNames[m] }

// The time that an answer takes: the minimum, and the bound of the random time that is added.
const (
	soakMinAnswerMillis    = 5
	soakAnswerSpreadMillis = 40
)

// newSoakCache starts a page cache. The caller closes it.
func newSoakCache(name string, cell int, history *soakHistory, seed uint64) (*soakCache, error) {
	c := &soakCache{name: name, cell: cell, history: history, random: rand.New(rand.NewPCG(seed, 7))}
	var err error
	c.Server, err = fakes.Listen("127.0.0.1:0", func(conn net.Conn) { newSoakSession(c, conn).serve() })
	return c, err
}

// listEntry returns the page cache as the discovery service lists it.
func (c *soakCache) listEntry(state string) endpoint {
	e := newEndpoint(c.name, c.Addr(), state)
	e.Cell = c.cell
	return e
}

// misbehave sets how the page cache answers for a length of time.
func (c *soakCache) misbehave(mode cacheMode, length time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mode, c.modeEnd = mode, time.Now().Add(length)
}

// drawAnswer returns how the page cache answers a request that arrives now, and the random delay of the answer.
func (c *soakCache) drawAnswer() (cacheMode, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().After(c.modeEnd) {
		c.mode = modeHealthy
	}
	return c.mode, time.Duration(soakMinAnswerMillis+c.random.IntN(soakAnswerSpreadMillis)) * time.Millisecond
}
