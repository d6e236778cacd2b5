package loadtest

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"hillknot/internal/rpc"
)

const (
	steadyInterval    = 20 * time.Millisecond // between two requests
	steadyTimeout     = 1500 * time.Millisecond
	steadyTolerance   = 500 * time.Millisecond // an answer may come this long after the timeout, and only earns nothing
	steadyMaxInFlight = 16
	steadyItems       = 50
	steadyDialTimeout = 2 * time.Second
)

// steadyResult counts the outcomes of the requests of a client that keeps to the protocol.
type steadyResult struct {
	sent, served, refused, failed int
	late                          int // answered later than timeout and tolerance allow
	lost                          int // without an answer
	answeredTwice                 int
	lostDetails                   []string // a description of each lost request
}

func (r steadyResult) answered() int { return r.served + r.refused + r.failed }

// steadyClient sends one request after another over one connection, and connects again when the router closes it.
type steadyClient struct {
	address string
	stopped chan struct{}
	settled atomic.Bool // the client opens no further connection
	sender  sync.WaitGroup

	mu         sync.Mutex
	inFlight   map[uint64]steadyRequest // by message id
	answeredAt time.Time                // the latest answer on the current connection
	result     steadyResult
}

// steadyRequest is a request without an answer.
type steadyRequest struct {
	begun   time.Time // before it was written
	written time.Time // its last byte, from which on the router has to answer it; zero: not yet
}

// connEnd is the end of a connection as its reader saw it.
type connEnd struct {
	at  time.Time
	err error // of the read
}

// startSteadyClient starts to send. The caller ends the client with stop.
func startSteadyClient(address string) *steadyClient {
	c := &steadyClient{address: address, stopped: make(chan struct{}), inFlight: map[uint64]steadyRequest{}}
	c.sender.Go(c.run)
	return c
}

// stop stops sending, waits for the answers that are due and returns the counts.
func (c *steadyClient) stop() steadyResult {
	close(c.stopped)
	c.sender.Wait()
	return c.result
}

// stopConnecting has the client open no further connection, as clients do soon after their router was told to end.
func (c *steadyClient) stopConnecting() { c.settled.Store(true) }

// run uses one connection after another until the client is stopped. A router that does not accept has ended.
func (c *steadyClient) run() {
	for id := uint64(1); ; {
		if !c.settled.Load() {
			if conn, err := net.DialTimeout("tcp", c.address, steadyDialTimeout); err == nil {
				id = c.use(conn, id)
			}
		}
		select {
		case <-c.stopped:
			return
		case <-time.After(steadyInterval):
		}
	}
}

// use sends requests on a connection until it ends or the client is stopped. It returns the next message id.
func (c *steadyClient) use(conn net.Conn, id uint64) uint64 {
	ended := make(chan connEnd, 1)
	go func() {
		err := readResponses(conn, c.record)
		ended <- connEnd{time.Now(), err}
	}()
	ticker := time.NewTicker(steadyInterval)
	defer ticker.Stop()
	for {
		if c.begin(id) {
			_, _ = conn.Write(rpc.AppendRequest(nil, id, &rpc.Request{Method: classPage, Txn: id, Item: id % steadyItems,
				TimeoutMillis: steadyTimeout.Milliseconds()})) // the reader notices the end of the connection
			c.noteWritten(id, time.Now())
			id++
		}
		select {
		case end := <-ended:
			_ = conn.Close() // the router has closed it
			c.finish(end)
			return id
		case <-c.stopped:
			c.awaitAnswers(ended)
			_ = conn.Close() // no further answer is expected
			return id
		case <-ticker.C:
		}
	}
}

// begin records that a request is sent, unless too many are in flight.
func (c *steadyClient) begin(id uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.inFlight) >= steadyMaxInFlight {
		return false
	}
	c.inFlight[id] = steadyRequest{begun: time.Now()}
	c.result.sent++
	return true
}

// noteWritten records when the last byte of a request was written, unless it is answered already.
func (c *steadyClient) noteWritten(id uint64, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if request, found := c.inFlight[id]; found {
		request.written = at
		c.inFlight[id] = request
	}
}

// record counts an answer.
func (c *steadyClient) record(header rpc.ResponseHeader) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answeredAt = time.Now()
	request, known := c.inFlight[header.ID]
	if !known {
		c.result.answeredTwice++
		return
	}
	delete(c.inFlight, header.ID)
	if time.Since(request.begun) > steadyTimeout+steadyTolerance {
		c.result.late++
	}
	switch err := responseError(header); {
	case err == nil:
		c.result.served++
	case errors.Is(err, errRejected):
		c.result.refused++
	default:
		c.result.failed++
	}
}

// steadyCrossing is how long before the end of a connection the last byte of a request may have been written for the request to count
// as crossing that end.
const steadyCrossing = 50 * time.Millisecond

// finish counts the requests that were in flight on a connection that ended. A request that crossed the end is not lost, as the
// client would send it again.
func (c *steadyClient) finish(end connEnd) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, request := range c.inFlight {
		if !request.written.IsZero() && end.at.Sub(request.written) > steadyCrossing {
			c.result.lost++
			c.result.lostDetails = append(c.result.lostDetails, fmt.Sprintf(
				"request %d of %d, begun %v and written %v before its connection ended with %v, at %v; latest answer on it %v before that end",
				id, c.result.sent, end.at.Sub(request.begun), end.at.Sub(request.written), end.err, end.at.Format("15:04:05.000"),
				end.at.Sub(c.answeredAt)))
		}
	}
	clear(c.inFlight)
}

// awaitAnswers waits for the answers that are due, and counts those that do not come as lost.
func (c *steadyClient) awaitAnswers(ended <-chan connEnd) {
	for end := time.Now().Add(steadyTimeout + steadyTolerance); time.Now().Before(end); time.Sleep(steadyInterval) {
		select {
		case end := <-ended:
			c.finish(end)
			return
		default:
		}
		c.mu.Lock()
		due := len(c.inFlight)
		c.mu.Unlock()
		if due == 0 {
			return
		}
	}
	c.finish(connEnd{time.Now(), errAnswerTimeout})
}

// errAnswerTimeout is the end of a connection on which answers that are due did not come in time.
var errAnswerTimeout = errors.New("no answer in time")
