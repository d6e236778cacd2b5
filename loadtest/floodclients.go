package loadtest

import (
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
			_ = readResponses(f.conn, f.record)
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
