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
	pipelinedMaxInFlight = 31 // requests on a connection: a client may have no more in flight
	pipelinedTimeout     = 1500 * time.Millisecond
	pipelinedItems       = 4000 // different pages
	pipelinedOrderEvery  = 20   // one request in so many is an order
	answerTimeout        = 4 * time.Second
)

// PipelinedResult is what became of requests that were sent down connections until these closed.
type PipelinedResult struct {
	Sent                     int
	Served, Rejected, Failed int
	Disconnected             int // in flight on a connection as it closed
	Unanswered               int // without an answer, on a connection that stayed open
	AnsweredTwice            int
}

// Answered is how many requests got a final answer.
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

// pipelinedLoad sends a router requests at a steady rate over one connection, whatever comes back, and checks that each gets
// one final answer. It opens a new connection when that has closed.
type pipelinedLoad struct {
	address    string
	rate       float64       // requests a second
	stopped    chan struct{} // closed by stop
	goroutines sync.WaitGroup

	conn net.Conn // of the goroutine of run; nil: none is open

	mu       sync.Mutex
	random   *rand.Rand
	inFlight map[uint64]bool // by message id
	ended    net.Conn        // the connection that was read to its end last
	result   PipelinedResult
}

// startPipelinedLoad starts to send. The requests follow from the seed. The caller ends it by stop.
func startPipelinedLoad(address string, rate float64, seed uint64) *pipelinedLoad {
	l := &pipelinedLoad{address: address, rate: rate, stopped: make(chan struct{}), random: rand.New(rand.NewPCG(seed, 3)),
		inFlight: map[uint64]bool{}}
	l.goroutines.Go(l.run)
	return l
}

// stop stops sending, waits for the answers that are due for a bounded time, and returns the counts.
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

// send sends a request, unless the router is down or too many are in flight.
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
		_ = l.conn.Close() // its reader has ended, or does now
	}
	if l.countDisconnected(l.conn) || err != nil {
		l.conn = nil
	}
}

// connect opens a connection; it reports false where the router is down.
func (l *pipelinedLoad) connect() bool {
	conn, err := net.DialTimeout("tcp", l.address, 200*time.Millisecond)
	if err != nil {
		return false
	}
	l.conn = conn
	l.goroutines.Go(func() { l.read(conn) })
	return true
}

// nextRequest draws a request and counts it as sent, unless too many are in flight.
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
		_ = l.conn.Close() // all is answered, or will never be
	}
}

// settle waits for the answers that are due, for a bounded time, and counts those that did not come.
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

// countDisconnected reports whether a connection has ended, and counts what was in flight on it since the last count.
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
	readResponses(conn, l.countAnswer)
	_ = conn.Close() // the next request comes on a new connection
	l.mu.Lock()
	l.ended = conn
	l.mu.Unlock()
	l.countDisconnected(conn)
}

// countAnswer counts one answer.
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
