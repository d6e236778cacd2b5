package loadtest

import (
	"math/rand/v2"
	"net"
	"time"

	"hillknot/internal/rpc"
)

// soakClient sends a router requests on one connection after the other. Now and then it disconnects, cancels, or sends what
// is not a message.
type soakClient struct {
	address string
	history *soakHistory
	random  *rand.Rand
	lastTxn uint64
}

const (
	soakPause          = 60 * time.Millisecond // between two requests, on average
	soakConnRequests   = 40                    // on a connection, at most
	soakItems          = 400                   // different pages
	soakMisbehaveEvery = 40                    // of so many requests, one each is followed by a kind of misbehaviour
	soakRedialPause    = 50 * time.Millisecond
	soakDialTimeout    = 200 * time.Millisecond

	soakMinTimeoutMillis    = 600 // of a request
	soakTimeoutSpreadMillis = 1800
)

// clientAction is what a client does after a request.
type clientAction int

const (
	actionDisconnect clientAction = iota // with all that is in flight
	actionCancel                         // the request
	actionMalformed                      // it sends what is not a message, which ends the connection
	actionPartial                        // it sends half of a message, and waits
	// All other numbers: nothing.
)

func newSoakClient(address string, history *soakHistory, seed uint64) *soakClient {
	return &soakClient{address: address, history: history, random: rand.New(rand.NewPCG(seed, 9)), lastTxn: seed << 24}
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

// useConn uses a connection until it ends, stop is closed, or there were enough requests.
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

// sendSteadily sends one request after the other, with pauses.
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
	readerDone chan struct{}           // closed when all answers are read

	readsSlowly bool
}

// close closes the connection, and waits for the end of its reader.
func (s *soakConn) close() {
	_ = s.conn.Close() // it may be closed already
	<-s.readerDone
}

// misbehave carries out an action, and reports whether that ends the use of the connection.
func (s *soakConn) misbehave(action clientAction, id uint64, request *soakRequest) (done bool) {
	switch action {
	case actionDisconnect:
		s.abandonAll()
		return true
	case actionCancel:
		s.cancel(id, request)
	case actionPartial:
		next := rpc.AppendRequest(nil, id+1, &rpc.Request{Method: classPage, TimeoutMillis: 1000})
		_, _ = s.conn.Write(next[:len(next)/2]) // the reader notes the end of the connection
		s.awaitAnswers()
		return true
	case actionMalformed:
		s.abandonAll()
		_, _ = s.conn.Write([]byte("\xc1 nonsense")) // as above
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
	switch c.random.IntN(8) {
	case 0:
		message.Method, message.Item, message.Body = classOrder, c.random.Uint64(), []byte("order")
	case 1:
		message.Method = classScore
	}
	request := &soakRequest{txn: message.Txn, router: c.address, class: message.Method,
		timeout: time.Duration(message.TimeoutMillis) * time.Millisecond, sent: time.Now(), readSlowly: s.readsSlowly}
	c.history.update(func() {
		c.history.requests[request.txn] = request
		s.inFlight[id] = request
		if s.connEnded { // it crosses the end, and nobody reads it
			request.disconnected = request.sent
		}
	})
	_, _ = s.conn.Write(rpc.AppendRequest(nil, id, message)) // the reader reads what has come, and notes the end
	return request
}

// abandonAll notes that nobody waits for what is in flight.
func (s *soakConn) abandonAll() {
	s.client.history.update(func() {
		for _, request := range s.inFlight {
			request.abandoned = time.Now()
		}
		clear(s.inFlight)
	})
}

// cancel cancels a request. It may still be answered.
func (s *soakConn) cancel(id uint64, request *soakRequest) {
	s.client.history.update(func() {
		if s.inFlight[id] != nil {
			request.abandoned = time.Now()
			delete(s.inFlight, id)
		}
	})
	_, _ = s.conn.Write(rpc.AppendCancel(nil, id)) // a router that has gone needs no cancel
}

// settle waits until all is answered, for a bounded time.
func (s *soakConn) awaitAnswers() {
	for end := time.Now().Add(answerTimeout); time.Now().Before(end) && s.due() > 0; {
		time.Sleep(10 * time.Millisecond)
	}
}

// due returns how many answers are still to come.
func (s *soakConn) due() (count int) {
	s.client.history.update(func() {
		for _, request := range s.inFlight {
			if len(request.answers) == 0 {
				count++
			}
		}
	})
	return count
}

// read records answers until the connection ends. An answered request stays in flight here, so that a second answer is seen.
func (s *soakConn) read() {
	defer close(s.readerDone)
	readResponses(s.conn, func(header rpc.ResponseHeader) {
		s.client.history.update(func() {
			if request := s.inFlight[header.ID]; request != nil {
				request.answers = append(request.answers, soakAnswer{received: time.Now(), code: string(header.Code)})
			}
		})
	})
	s.client.history.update(func() {
		s.connEnded = true
		for _, request := range s.inFlight {
			if len(request.answers) == 0 {
				request.disconnected = time.Now()
			}
		}
	})
}
