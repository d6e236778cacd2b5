package loadtest

import (
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"hillknot/internal/rpc"
)

// soakClient sends requests to a router on one connection after another. Now and then it disconnects, cancels a request, or
// sends bytes that are not a message.
type soakClient struct {
	address string
	history *soakHistory
	random  *rand.Rand
	lastTxn uint64

	sendsKeyed bool          // it also sends requests of classKeyed
	maxTimeout time.Duration // of a request; 0: that of soakMinTimeoutMillis and soakTimeoutSpreadMillis
}

const (
	soakPause          = 60 * time.Millisecond // between two requests, on average
	soakConnRequests   = 40                    // on a connection, at most
	soakItems          = 400                   // number of different pages
	soakMisbehaveEvery = 40                    // each kind of misbehaviour follows one request in this many, on average
	soakRedialPause    = 50 * time.Millisecond
	soakDialTimeout    = 200 * time.Millisecond

	soakMinTimeoutMillis    = 600 // of a request
	soakTimeoutSpreadMillis = 1800
)

// clientAction is what a client does after a request.
type clientAction int

const (
	actionDisconnect clientAction = iota // it disconnects, with all requests in flight
	actionCancel                         // it cancels the request
	actionMalformed                      // it sends bytes that are not a message, which ends the connection
	actionPartial                        // it sends half of a message, and waits for the answers that are due
	// All other values mean that the client does nothing.
)

func newSoakClient(address string, history *soakHistory, seed uint64, maxTimeout time.Duration) *soakClient {
	return &soakClient{address: address, history: history, random: rand.New(rand.NewPCG(seed, 9)), lastTxn: seed << 24,
		maxTimeout: maxTimeout}
}

// run sends requests until stop is closed, and then waits for the answers that are due.
func (c *soakClient) run(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		conn, err := net.DialTimeout("tcp", c.address, soakDialTimeout)
		if err != nil {
			time.Sleep(soakRedialPause)
			continue
		}
		c.useConn(conn, stop)
	}
}

// useConn uses a connection until it ends, stop is closed, or enough requests are sent.
func (c *soakClient) useConn(conn net.Conn, stop <-chan struct{}) {
	usage := c.drawUsage()
	s := &soakConn{conn: conn, client: c, inFlight: map[uint64]*soakRequest{}, readerDone: make(chan struct{})}
	if usage == usageSlowReader {
		s.conn, s.readsSlowly = slowReader{conn}, true
	}
	go s.read()
	defer s.close()
	s.use(usage, stop)
}

// sendSteadily sends one request after another, with pauses.
func (s *soakConn) sendSteadily(stop <-chan struct{}) {
	random := s.client.random
	for id := uint64(1); id <= soakConnRequests; id++ {
		if !s.wait(soakPause/2+time.Duration(random.Int64N(int64(soakPause))), stop) {
			break
		}
		request := s.send(id)
		if action := clientAction(random.IntN(soakMisbehaveEvery)); s.misbehave(action, id, request) {
			return
		}
	}
	s.awaitAnswers()
}

// soakConn is one connection of a client.
type soakConn struct {
	conn       net.Conn
	client     *soakClient
	inFlight   map[uint64]*soakRequest // by message id; guarded by the history's lock
	connEnded  bool                    // the connection has ended; guarded by the history's lock
	readerDone chan struct{}           // closed when the reader has ended

	readsSlowly bool
}

// close closes the connection, and waits until its reader has ended.
func (s *soakConn) close() {
	_ = s.conn.Close() // it may be closed already
	<-s.readerDone
}

// misbehave carries out an action, and reports whether the action ends the use of the connection.
func (s *soakConn) misbehave(action clientAction, id uint64, request *soakRequest) (done bool) {
	switch action {
	case actionDisconnect:
		s.abandonAll(func() { _ = s.conn.Close() }) // it may have ended already
		return true
	case actionCancel:
		s.cancel(id, request)
	case actionPartial:
		next := rpc.AppendRequest(nil, id+1, &rpc.Request{Method: classPage, TimeoutMillis: 1000})
		_, _ = s.conn.Write(next[:len(next)/2]) // the reader records the end of the connection
		s.awaitAnswers()
		return true
	case actionMalformed:
		s.abandonAll(func() { _, _ = s.conn.Write([]byte("\xc1 nonsense")) }) // the reader records the end here, too
		return true
	}
	return false
}

// send sends one request.
func (s *soakConn) send(id uint64) *soakRequest {
	c := s.client
	c.lastTxn++
	message := &rpc.Request{Method: classPage, Txn: c.lastTxn, Item: c.random.Uint64N(soakItems)}
	message.TimeoutMillis = soakMinTimeoutMillis + c.random.Int64N(soakTimeoutSpreadMillis)
	if c.maxTimeout > 0 { // a router accepts no longer one
		message.TimeoutMillis = min(message.TimeoutMillis, c.maxTimeout.Milliseconds())
	}
	switch draw := c.random.IntN(8); {
	case draw == 0:
		message.Method, message.Item, message.Body = classOrder, c.random.Uint64(), []byte("order")
	case draw == 1:
		message.Method = classScore
	case c.sendsKeyed && draw <= soakKeyedDraws+1:
		message.Method = classKeyed
	}
	request := &soakRequest{txn: message.Txn, router: c.address, class: message.Method,
		timeout: time.Duration(message.TimeoutMillis) * time.Millisecond, readSlowly: s.readsSlowly}
	encoded := rpc.AppendRequest(nil, id, message)
	c.history.update(func() {
		c.history.requests[request.txn] = request
		s.inFlight[id] = request
		request.sent = time.Now() // the wait for the lock is over
		if s.connEnded {          // the request crosses the end of the connection, so that the router does not read it
			request.disconnected = request.sent
		}
	})
	if _, err := s.conn.Write(encoded); err != nil {
		s.recordEnd(time.Now()) // the reader may find the end later
	}
	return request
}

// abandon records that the client no longer waits for the requests that take returns, and acts so that its router can know. No
// answer is due from before the act; the router can know from after it.
func (s *soakConn) abandon(take func() []*soakRequest, act func()) {
	var requests []*soakRequest
	record := func() {
		now := time.Now()
		for _, request := range requests {
			request.abandoned = now
		}
	}
	s.client.history.update(func() {
		requests = take()
		record()
	})
	act()
	s.client.history.update(record)
}

// abandonAll abandons the requests in flight by an action on the connection.
func (s *soakConn) abandonAll(act func()) {
	s.abandon(func() []*soakRequest {
		requests := slices.Collect(maps.Values(s.inFlight))
		clear(s.inFlight)
		return requests
	}, act)
}

// cancel cancels a request, which may still be answered.
func (s *soakConn) cancel(id uint64, request *soakRequest) {
	s.abandon(func() []*soakRequest {
		if s.inFlight[id] == nil {
			return nil
		}
		delete(s.inFlight, id)
		return []*soakRequest{request}
	}, func() { _, _ = s.conn.Write(rpc.AppendCancel(nil, id)) }) // a router that has ended needs no cancel
}

// awaitAnswers waits up to answerTimeout until all requests are answered.
func (s *soakConn) awaitAnswers() {
	for end := time.Now().Add(answerTimeout); time.Now().Before(end) && s.countDueAnswers() > 0; {
		time.Sleep(10 * time.Millisecond)
	}
}

// countDueAnswers returns how many answers are still due.
func (s *soakConn) countDueAnswers() (count int) {
	s.client.history.update(func() {
		for _, request := range s.inFlight {
			if len(request.answers) == 0 {
				count++
			}
		}
	})
	return count
}

// read records answers until the connection ends. An answered request stays in inFlight, so that a second answer is recorded
// as well.
func (s *soakConn) read() {
	defer close(s.readerDone)
	_ = readResponses(s.conn, func(header rpc.ResponseHeader) {
		received := time.Now()
		s.client.history.update(func() {
			if request := s.inFlight[header.ID]; request != nil {
				request.answers = append(request.answers, soakAnswer{received: received, code: string(header.Code)})
			}
		})
	})
	s.recordEnd(time.Now())
}

// recordEnd records that the connection had ended at a time. The first report counts. Answers that are still to be read count,
// too.
func (s *soakConn) recordEnd(at time.Time) {
	s.client.history.update(func() {
		if s.connEnded {
			return
		}
		s.connEnded = true
		for _, request := range s.inFlight {
			if len(request.answers) == 0 {
				request.disconnected = at
			}
		}
	})
}
