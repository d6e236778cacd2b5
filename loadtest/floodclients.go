package loadtest

import (
	"encoding/binary"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"hillknot/internal/rpc"
)

const (
	floodWriteBytes   = 64 << 10 // written at a time
	floodBodyBytes    = 40_000   // of a request with a body
	floodTimeout      = 1500 * time.Millisecond
	floodWriteTimeout = 500 * time.Millisecond // a write that takes longer looks whether the flood is to end
	floodAnswerWait   = 6 * time.Second        // for the answers that are due when the flood has ended
	floodDialTimeout  = time.Second
	floodTxnBits      = 40 // of a txn; the number of the connection is above them
)

// floodCounts counts the requests of a flood.
type floodCounts struct{ sent, answered, lost, answeredTwice int64 }

// floodCounter adds up the counts of all connections of a flood.
type floodCounter struct {
	sent, answered, lost, answeredTwice atomic.Int64
	ending                              atomic.Bool // the router was told to end
}

func (c *floodCounter) read() floodCounts {
	return floodCounts{c.sent.Load(), c.answered.Load(), c.lost.Load(), c.answeredTwice.Load()}
}

// markEnd records that the router was told to end. Requests that are sent from now on may find it gone.
func (c *floodCounter) markEnd() { c.ending.Store(true) }

// requestWriter appends the message with an id that a flood sends. It reports whether an answer to the message is due.
type requestWriter func(b []byte, conn, id uint64) ([]byte, bool)

func pageRequests(b []byte, conn, id uint64) ([]byte, bool) {
	return rpc.AppendRequest(b, id, &rpc.Request{Method: classPage, Txn: conn<<floodTxnBits | id, Item: id % steadyItems,
		TimeoutMillis: floodTimeout.Milliseconds()}), true
}

var floodBody = make([]byte, floodBodyBytes)

func bodyRequests(b []byte, conn, id uint64) ([]byte, bool) {
	return rpc.AppendRequest(b, id, &rpc.Request{Method: classOrder, Txn: conn<<floodTxnBits | id, Item: id,
		TimeoutMillis: floodTimeout.Milliseconds(), Body: floodBody}), true
}

func healthRequests(b []byte, _, id uint64) ([]byte, bool) {
	return rpc.AppendHealthRequest(b, id), true
}

// cancelNotifications sends each request with its cancellation and nine cancellations of nothing.
func cancelNotifications(b []byte, conn, id uint64) ([]byte, bool) {
	b, _ = pageRequests(b, conn, id)
	for i := range uint64(10) {
		b = rpc.AppendCancel(b, id+i)
	}
	return b, false
}

// startFloodClients returns the start of a flood from a number of connections, which write without waiting for answers.
func startFloodClients(conns int, write requestWriter, readsAnswers bool) func(*floodRun) *sync.WaitGroup {
	return func(run *floodRun) *sync.WaitGroup {
		var senders sync.WaitGroup
		for i := range conns {
			senders.Go(func() { run.keepFlooding(uint64(i+1), write, readsAnswers) })
		}
		return &senders
	}
}

// keepFlooding floods the router over one connection after another until the flood is to end.
func (run *floodRun) keepFlooding(number uint64, write requestWriter, readsAnswers bool) {
	for round := uint64(0); ; round++ {
		if conn, err := net.DialTimeout("tcp", run.router.ListenAddress, floodDialTimeout); err == nil {
			f := &floodConn{run: run, conn: conn, number: round<<10 | number, readsAnswers: readsAnswers}
			f.flood(write)
			_ = conn.Close() // its answers are counted
		}
		select {
		case <-run.stop:
			return
		case <-time.After(floodDialTimeout / 20):
		}
	}
}

// floodConn is one connection of a flood.
type floodConn struct {
	run          *floodRun
	conn         net.Conn
	number       uint64
	readsAnswers bool

	mu       sync.Mutex
	answered []bool // by message id, which counts from 1
	due      int64  // requests without an answer
}

// flood writes until the flood is to end or the connection ends, and then waits for the answers that are due.
func (f *floodConn) flood(write requestWriter) {
	ended := make(chan struct{})
	if f.readsAnswers {
		go func() {
			defer close(ended)
			readResponses(f.conn, f.record)
		}()
	}
	f.writeAll(write, ended)
	if !f.readsAnswers {
		return
	}
	f.awaitAnswers(ended)
}

// writeAll writes messages until the flood is to end or the connection ends. Only messages that were written in full count.
func (f *floodConn) writeAll(write requestWriter, ended <-chan struct{}) {
	for id := uint64(1); ; {
		var chunk []byte
		var requests int64
		for len(chunk) < floodWriteBytes {
			var due bool
			chunk, due = write(chunk, f.number, id)
			id++
			if due {
				requests++
			}
		}
		f.addDue(requests, int(id))
		for len(chunk) > 0 {
			select {
			case <-f.run.stop:
				f.removePartlyWritten(requests)
				return
			case <-ended:
				return
			default:
			}
			_ = f.conn.SetWriteDeadline(time.Now().Add(floodWriteTimeout)) // fails only on a closed connection
			n, err := f.conn.Write(chunk)
			chunk = chunk[n:]
			if err != nil && !isTimeout(err) {
				f.removePartlyWritten(requests)
				return
			}
		}
	}
}

// isTimeout reports whether an error is a timeout of the connection.
func isTimeout(err error) bool {
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}

// addDue counts requests, whose ids are below nextID, before they are written.
func (f *floodConn) addDue(requests int64, nextID int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.due += requests
	for len(f.answered) < nextID {
		f.answered = append(f.answered, false)
	}
	f.run.counts.sent.Add(requests)
}

// removePartlyWritten stops counting the requests of the last chunk, of which the router may have read only a part.
func (f *floodConn) removePartlyWritten(requests int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.due -= requests
	f.run.counts.sent.Add(-requests)
}

// record counts an answer.
func (f *floodConn) record(header rpc.ResponseHeader) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case header.ID >= uint64(len(f.answered)) || f.answered[header.ID]:
		f.run.counts.answeredTwice.Add(1)
	default:
		f.answered[header.ID] = true
		f.due--
		f.run.counts.answered.Add(1)
	}
}

// awaitAnswers waits for the answers that are due, and counts those that do not come as lost. A router that was told to end may
// leave unread what was sent after that, so nothing is lost then.
func (f *floodConn) awaitAnswers(ended <-chan struct{}) {
	for end := time.Now().Add(floodAnswerWait); time.Now().Before(end); time.Sleep(steadyInterval) {
		f.mu.Lock()
		due := f.due
		f.mu.Unlock()
		select {
		case <-ended:
			f.countLost()
			return
		default:
		}
		if due <= 0 {
			return
		}
	}
	f.countLost()
}

func (f *floodConn) countLost() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.due > 0 && !f.run.counts.ending.Load() {
		f.run.counts.lost.Add(f.due)
	}
}

// startHalfMessages returns the start of a flood of connections that each send half of a large message and stay.
func startHalfMessages(conns int) func(*floodRun) *sync.WaitGroup {
	return startConns(conns, func(_ *floodRun, conn net.Conn) {
		message, _ := bodyRequests(nil, 1, 1)
		_, _ = conn.Write(message[:len(message)-1]) // the router ends the connection after a while
		_, _ = io.Copy(io.Discard, conn)
	})
}

// startChurn returns the start of a flood of connections that send many requests and are reset at once.
func startChurn(conns int) func(*floodRun) *sync.WaitGroup {
	return startConns(conns, func(_ *floodRun, conn net.Conn) {
		var messages []byte
		number := rand.Uint64N(1 << 20)
		for id := uint64(1); id <= 64; id++ {
			messages, _ = pageRequests(messages, number, id)
		}
		_, _ = conn.Write(messages)          // the router may have closed the connection
		_ = conn.(*net.TCPConn).SetLinger(0) // the close is a reset
		time.Sleep(time.Duration(rand.IntN(2)) * time.Millisecond)
	})
}

// startMalformed returns the start of a flood of connections that send what is no message.
func startMalformed(conns int) func(*floodRun) *sync.WaitGroup {
	return startConns(conns, func(_ *floodRun, conn net.Conn) {
		_, _ = conn.Write([]byte("\xc1 nonsense")) // the router ends the connection
		_ = conn.(*net.TCPConn).SetLinger(0)       // the close is a reset
	})
}

// startConns returns the start of a flood of connections to the clients' address: each is used and closed, and another follows.
func startConns(conns int, use func(*floodRun, net.Conn)) func(*floodRun) *sync.WaitGroup {
	return func(run *floodRun) *sync.WaitGroup { return run.startConnsTo(run.router.ListenAddress, conns, use) }
}

func (run *floodRun) startConnsTo(address string, conns int, use func(*floodRun, net.Conn)) *sync.WaitGroup {
	var users sync.WaitGroup
	for range conns {
		users.Go(func() {
			for {
				select {
				case <-run.stop:
					return
				default:
				}
				conn, err := net.DialTimeout("tcp", address, floodDialTimeout)
				if err != nil {
					time.Sleep(floodDialTimeout / 20)
					continue
				}
				closeAtStop := run.closeAtStop(conn)
				use(run, conn)
				closeAtStop()
			}
		})
	}
	return &users
}

// closeAtStop closes a connection when the flood is to end. The result closes it earlier.
func (run *floodRun) closeAtStop(conn net.Conn) (closeNow func()) {
	done := make(chan struct{})
	go func() {
		select {
		case <-run.stop:
		case <-done:
		}
		_ = conn.Close() // the router may have closed it
	}()
	return func() { close(done) }
}

// startStoppedLoad returns the start of clients that keep to the protocol, with as many requests of full size in flight as it
// allows, to a router that is stopped every other second.
func startStoppedLoad(conns int) func(*floodRun) *sync.WaitGroup {
	return func(run *floodRun) *sync.WaitGroup {
		var users sync.WaitGroup
		for i := range conns {
			users.Go(func() { run.sendInWindows(uint64(i + 1)) })
		}
		users.Go(func() {
			for {
				select {
				case <-run.stop:
					return
				case <-time.After(time.Second):
				}
				if run.counts.ending.Load() {
					return
				}
				run.router.stopFor(400 * time.Millisecond)
			}
		})
		return &users
	}
}

// sendInWindows sends 32 requests with bodies at once, waits for their answers, and starts again, on one connection after
// another.
func (run *floodRun) sendInWindows(number uint64) {
	for round := uint64(0); ; round++ {
		select {
		case <-run.stop:
			return
		default:
		}
		conn, err := net.DialTimeout("tcp", run.router.ListenAddress, floodDialTimeout)
		if err != nil {
			time.Sleep(floodDialTimeout / 20)
			continue
		}
		closeNow := run.closeAtStop(conn)
		run.sendWindow(conn, round<<10|number)
		closeNow()
	}
}

const floodWindow = 32 // requests on a connection; the protocol allows no more

func (run *floodRun) sendWindow(conn net.Conn, number uint64) {
	answers := make(chan struct{}, 2*floodWindow)
	go func() {
		defer close(answers)
		readResponses(conn, func(rpc.ResponseHeader) { answers <- struct{}{} })
	}()
	for id := uint64(1); id <= floodWindow; id++ {
		message, _ := bodyRequests(nil, number, id)
		if _, err := conn.Write(message); err != nil {
			return
		}
		run.counts.sent.Add(1)
	}
	timeout := time.NewTimer(floodAnswerWait)
	defer timeout.Stop()
	for got := range floodWindow {
		select {
		case _, ok := <-answers:
			if ok {
				run.counts.answered.Add(1)
				continue
			}
		case <-timeout.C:
		}
		if !run.counts.ending.Load() {
			run.counts.lost.Add(int64(floodWindow - got))
		}
		return
	}
}

// startDNSDatagrams returns the start of a flood of DNS queries over UDP, whose answers nobody reads.
func startDNSDatagrams(sockets int) func(*floodRun) *sync.WaitGroup {
	return func(run *floodRun) *sync.WaitGroup {
		var senders sync.WaitGroup
		for range sockets {
			senders.Go(func() {
				conn, err := net.Dial("udp", run.router.addressOf(floodDNSPort))
				if err != nil {
					return
				}
				defer conn.Close()
				for id := uint16(1); ; id++ {
					select {
					case <-run.stop:
						return
					default:
						_, _ = conn.Write(appendQuery(nil, id)) // fails for as long as the router is down
					}
				}
			})
		}
		return &senders
	}
}

// startDNSConnections returns the start of a flood of DNS queries over TCP, whose answers nobody reads.
func startDNSConnections(conns int) func(*floodRun) *sync.WaitGroup {
	return func(run *floodRun) *sync.WaitGroup {
		address := run.router.addressOf(floodDNSPort)
		return run.startConnsTo(address, conns, func(_ *floodRun, conn net.Conn) {
			var queries []byte
			for id := range uint16(1000) {
				query := appendQuery(nil, id)
				queries = append(binary.BigEndian.AppendUint16(queries, uint16(len(query))), query...)
			}
			writeUntilError(conn, queries)
		})
	}
}

// writeUntilError writes the same bytes until the connection ends.
func writeUntilError(conn net.Conn, b []byte) {
	for {
		if _, err := conn.Write(b); err != nil {
			return
		}
	}
}

// appendQuery appends a DNS query for the addresses of floodZone, RFC 1035.
func appendQuery(b []byte, id uint16) []byte {
	b = binary.BigEndian.AppendUint16(b, id)
	b = append(b, 1, 0, 0, 1, 0, 0, 0, 0, 0, 0) // recursion desired, one question
	for _, label := range []string{"flood", "example", "org"} {
		b = append(append(b, byte(len(label))), label...)
	}
	return append(b, 0, 0, 1, 0, 1) // type A, class IN
}

// startAdminRequests returns the start of a flood of requests to the operators' address, whose answers are read in part.
func startAdminRequests(conns int) func(*floodRun) *sync.WaitGroup {
	return func(run *floodRun) *sync.WaitGroup {
		address := run.router.addressOf(adminPort)
		return run.startConnsTo(address, conns, func(_ *floodRun, conn net.Conn) {
			path := []string{"GET /status/metrics", "POST /active"}[rand.IntN(2)]
			request := []byte(path + " HTTP/1.1\r\nHost: x\r\n\r\n")
			for range 100 {
				if _, err := conn.Write(request); err != nil {
					return
				}
			}
			_, _ = io.CopyN(io.Discard, conn, 100)
		})
	}
}

// startAgentChecks returns the start of a flood of agent checks, on which bytes are sent without end.
func startAgentChecks(conns int) func(*floodRun) *sync.WaitGroup {
	return func(run *floodRun) *sync.WaitGroup {
		address := run.router.addressOf(floodAgentCheckPort)
		return run.startConnsTo(address, conns, func(_ *floodRun, conn net.Conn) {
			writeUntilError(conn, make([]byte, floodWriteBytes))
		})
	}
}
