package loadtest

import (
	"net"
	"sync"
	"time"

	"hillknot/internal/rpc"
)

// newConnInterval is the time between two requests of a newConnClient.
const newConnInterval = 25 * time.Millisecond

// newConnTxns is below the txns of all requests of a newConnClient, and above those of a flood and of a steadyClient.
const newConnTxns = 1 << 61

// newConnResult counts the outcomes of the requests of a newConnClient.
type newConnResult struct {
	sent, answered int
	late           int           // answered later than timeout and tolerance allow
	unanswered     int           // the connection was not accepted, or ended without an answer
	longest        time.Duration // until an answer
}

// newConnClient sends each request on a new connection, as many clients do that come once.
type newConnClient struct {
	address  string
	stopped  chan struct{}
	requests sync.WaitGroup

	mu     sync.Mutex
	result newConnResult
}

// startNewConnClient starts to send. The caller ends the client with stop.
func startNewConnClient(address string) *newConnClient {
	c := &newConnClient{address: address, stopped: make(chan struct{})}
	c.requests.Go(c.run)
	return c
}

// stop stops sending, waits for the answers that are due and returns the counts. It may be called once.
func (c *newConnClient) stop() newConnResult {
	close(c.stopped)
	c.requests.Wait()
	return c.result
}

func (c *newConnClient) run() {
	for id := uint64(1); ; id++ {
		select {
		case <-c.stopped:
			return
		case <-time.After(newConnInterval):
			c.requests.Go(func() { c.request(id) })
		}
	}
}

// request connects, sends a request and waits for its answer.
func (c *newConnClient) request(id uint64) {
	begun := time.Now()
	err := c.exchange(id, begun.Add(steadyTimeout+steadyTolerance))
	elapsed := time.Since(begun)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.result.sent++
	switch {
	case err == nil:
		c.result.answered++
		c.result.longest = max(c.result.longest, elapsed)
	case elapsed >= steadyTimeout+steadyTolerance:
		c.result.late++
	default:
		c.result.unanswered++
	}
}

func (c *newConnClient) exchange(id uint64, deadline time.Time) error {
	conn, err := net.DialTimeout("tcp", c.address, time.Until(deadline))
	if err != nil {
		return err
	}
	defer conn.Close()
	request := &rpc.Request{Method: classPage, Txn: newConnTxns | id, Item: id % steadyItems, TimeoutMillis: steadyTimeout.Milliseconds()}
	_, err = exchange(conn, request, deadline)
	return err
}
