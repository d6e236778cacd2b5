package loadtest

import (
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"hillknot/internal/rpc"
)

const (
	pipelinedMaxInFlight = 31 // requests on a connection; a client may not have more in flight
	pipelinedTimeout     = 1500 * time.Millisecond
	pipelinedItems       = 4000 // number of different pages
	pipelinedOrderEvery  = 20   // one request in this many is an order
	answerTimeout        = 4 * time.Second
)

// PipelinedResult counts the outcomes of requests that were sent on connections until these closed.
type PipelinedResult struct {
	Sent                     int
	Served, Rejected, Failed int
	Disconnected             int // in flight on a connection when it closed
	Unanswered               int // without an answer, on a connection that stayed open
	AnsweredTwice            int
}

// Answered returns how many requests got a final answer.
func (r PipelinedResult) Answered() int { return r.Served + r.Rejected + r.Failed }

// add adds the counts of another result.
func (r *PipelinedResult) add(other PipelinedResult) {
	r.Sent += other.Sent
	r.Served += other.Served
	r.Rejected += other.Rejected
	r.Failed += other.Failed
	r.Disconnected += other.Disconnected
	r.Unanswered += other.Unanswered
	r.AnsweredTwice += other.AnsweredTwice
}

// pipelinedLoad sends requests to a router at a steady rate over one connection, without waiting for answers, and checks that
// each request gets one final answer. When the connection has closed, it opens a new one.
type pipelinedLoad struct {
	address    string
	rate       float64       // requests a second
	stopped    chan struct{} // closed by stop
	goroutines sync.WaitGroup

	conn net.Conn // used only by the goroutine of run; nil: none is open

	mu       sync.Mutex
	random   *rand.Rand
	inFlight map[uint64]bool // by message id
	ended    net.Conn        // the last connection that was read to its end
	result   PipelinedResult
}

// startPipelinedLoad starts to send requests, which follow from the seed. The caller ends the load with stop.
func startPipelinedLoad(address string, rate float64, seed uint64) *pipelinedLoad {
	l := &pipelinedLoad{address: address, rate: rate, stopped: make(chan struct{}), random: rand.New(rand.NewPCG(seed, 3)),
		inFlight: map[uint64]bool{}}
	l.goroutines.Go(l.run)
	return l
}

// stop stops sending, waits up to answerTimeout for the answers that are due, and returns the counts.
func (l *pipelinedLoad) stop() PipelinedResult {
	close(l.stopped)
	l.goroutines.Wait()
	return l.result
}

// run sends until the load is stopped.
func (l *pipelinedLoad) run() {
	ticker := time.NewTicker(time.Duration(float64(time.Second) / l.rate))
	defer ticker.Stop()
	for id := uint64(1); ; id++ {
		select {
		case <-l.stopped:
			l.finish()
			return
		case <-ticker.C:
			l.send(id)
		}
	}
}

// send sends a request, unless the router is down or too many requests are in flight.
func (l *pipelinedLoad) send(id uint64) {
	if l.conn == nil && !l.connect() {
		return
	}
	request, admitted := l.nextRequest(id)
	if !admitted {
		return
	}
	_, err := l.conn.Write(rpc.AppendRequest(nil, id, request))
	if err != nil {
		_ = l.conn.Close() // so that its reader ends, if it has not yet
	}
	if l.countDisconnected(l.conn) || err != nil {
		l.conn = nil
	}
}

// connect opens a connection, and reports whether the router accepted it.
func (l *pipelinedLoad) connect() bool {
	conn, err := net.DialTimeout("tcp", l.address, 200*time.Millisecond)
	if err != nil {
		return false
	}
	l.conn = conn
	l.goroutines.Go(func() { l.read(conn) })
	return true
}

// nextRequest draws a request and counts it as sent, unless too many requests are in flight.
func (l *pipelinedLoad) nextRequest(id uint64) (request *rpc.Request, admitted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	request = &rpc.Request{Method: classPage, Txn: l.random.Uint64(), Item: l.random.Uint64N(pipelinedItems),
		TimeoutMillis: pipelinedTimeout.Milliseconds()}
	if l.random.IntN(pipelinedOrderEvery) == 0 {
		request.Method, request.Item, request.Body = classOrder, l.random.Uint64(), []byte("order")
	}
	if len(l.inFlight) >= pipelinedMaxInFlight {
		return nil, false
	}
	l.inFlight[id] = true
	l.result.Sent++
	return request, true
}

// finish waits for the answers that are due on the open connection, and closes it.
func (l *pipelinedLoad) finish() {
	if l.conn == nil || !l.countDisconnected(l.conn) {
		l.awaitAnswers()
	}
	if l.conn != nil {
		_ = l.conn.Close() // no further answer is expected
	}
}

// awaitAnswers waits up to answerTimeout for the answers that are due, and counts the requests that got none.
func (l *pipelinedLoad) awaitAnswers() {
	for end := time.Now().Add(answerTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		l.mu.Lock()
		due := len(l.inFlight)
		l.mu.Unlock()
		if due == 0 {
			return
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.result.Unanswered += len(l.inFlight)
	clear(l.inFlight)
}

// countDisconnected reports whether a connection has ended. If so, it counts the requests that were in flight on it since the
// last count.
func (l *pipelinedLoad) countDisconnected(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended != conn {
		return false
	}
	l.result.Disconnected += len(l.inFlight)
	clear(l.inFlight)
	return true
}

// read counts the answers on a connection until it ends.
func (l *pipelinedLoad) read(conn net.Conn) {
	_ = readResponses(conn, l.countAnswer)
	_ = conn.Close() // the next request is sent on a new connection
	l.mu.Lock()
	l.ended = conn
	l.mu.Unlock()
	l.countDisconnected(conn)
}

// countAnswer counts an answer. An answer without a request in flight counts as a second answer to it.
func (l *pipelinedLoad) countAnswer(header rpc.ResponseHeader) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.inFlight[header.ID] {
		l.result.AnsweredTwice++
		return
	}
	delete(l.inFlight, header.ID)
	switch err := responseError(header); {
	case err == nil:
		l.result.Served++
	case errors.Is(err, errRejected):
		l.result.Rejected++
	default:
		l.result.Failed++
	}
}
