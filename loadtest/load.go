package loadtest

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"hillknot/internal/rpc"
)

// Load sends a router requests at a steady pace over one connection, whatever comes back, and holds each against its one
// final answer.
type Load struct {
	addr string
	rate float64 // a second
	stop chan struct{}
	work sync.WaitGroup

	mu                                              sync.Mutex
	rnd                                             *rand.Rand
	open                                            map[uint64]time.Time // by the connection's ids
	gone                                            net.Conn             // the connection that died last
	Sent, Served, Rejected                          int
	Failed, AnsweredTwice, Disconnected, Unanswered int // answered with an error; more than once; on a connection that died; never
}

// NewLoad begins. The requests follow from the seed.
func NewLoad(addr string, rate float64, seed uint64) *Load {
	l := &Load{addr: addr, rate: rate, stop: make(chan struct{}), rnd: rand.New(rand.NewPCG(seed, 3)), open: map[uint64]time.Time{}}
	l.work.Go(l.run)
	return l
}

// End stops sending, waits for what is owed for a bounded time, and counts what never came.
func (l *Load) Stop() {
	close(l.stop)
	l.work.Wait()
}

func (l *Load) run() {
	tick := time.NewTicker(time.Duration(float64(time.Second) / l.rate))
	defer tick.Stop()
	var nc net.Conn
	for id := uint64(1); ; id++ {
		select {
		case <-l.stop:
			if nc == nil || !l.lost(nc) {
				l.settle()
			}
			if nc != nil {
				_ = nc.Close() // all is answered, or will never be
			}
			return
		case <-tick.C:
		}
		if nc == nil {
			var err error
			if nc, err = net.DialTimeout("tcp", l.addr, 200*time.Millisecond); err != nil {
				nc = nil // it is down, and gets no requests
				continue
			}
			l.work.Go(func() { l.read(nc) })
		}
		q := &rpc.Request{Method: "part-page", TimeoutMillis: 1500}
		l.mu.Lock()
		q.Txn, q.Item = l.rnd.Uint64(), l.rnd.Uint64N(4000)
		if l.rnd.IntN(20) == 0 {
			q.Method, q.Item, q.Body = "new-arrange", l.rnd.Uint64(), []byte("order")
		}
		l.open[id] = time.Now()
		l.Sent++
		full := len(l.open) >= 32 // as a client may have open on one connection
		if full {
			delete(l.open, id)
			l.Sent--
		}
		l.mu.Unlock()
		if full {
			continue
		}
		_, err := nc.Write(rpc.AppendRequest(nil, id, q))
		if err != nil {
			_ = nc.Close() // its reader has ended, or does now
		}
		if l.lost(nc) || err != nil {
			nc = nil
		}
	}
}

// lost tells whether a connection has died, and counts what was sent on it since.
func (l *Load) lost(nc net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.gone != nc {
		return false
	}
	l.Disconnected += len(l.open)
	clear(l.open)
	return true
}

// settle waits for the answers that are still owed.
func (l *Load) settle() {
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		l.mu.Lock()
		n := len(l.open)
		l.mu.Unlock()
		if n == 0 {
			return
		}
	}
	l.mu.Lock()
	l.Unanswered += len(l.open)
	clear(l.open)
	l.mu.Unlock()
}

func (l *Load) read(nc net.Conn) {
	defer func() {
		_ = nc.Close() // the next request comes on a new connection
		l.mu.Lock()
		l.gone = nc
		l.mu.Unlock()
		l.lost(nc)
	}()
	readAnswers(nc, l.answered)
}

// readAnswers hands on the head of each answer that comes on a connection, until that ends or brings nonsense.
func readAnswers(nc net.Conn, answered func(rpc.ResponseHeader)) {
	buf := make([]byte, 0, 256<<10)
	for {
		n, err := nc.Read(buf[len(buf):cap(buf)])
		if err != nil {
			return
		}
		buf = buf[:len(buf)+n]
		for {
			h, progress, err := rpc.ParseResponseHeader(buf, 4<<10, 64<<10)
			if err != nil {
				return
			}
			used := progress.Consumed
			if used == 0 {
				break
			}
			if h.Kind == rpc.ResponseBody {
				if len(buf) < used+h.BodySize {
					break
				}
				_, trailer, err := rpc.ParseResponseTrailer(buf[used+h.BodySize:], 4<<10)
				if err != nil {
					return
				}
				if trailer.Consumed == 0 {
					break
				}
				used += h.BodySize + trailer.Consumed
			}
			answered(h)
			buf = buf[:copy(buf, buf[used:])]
		}
	}
}

func (l *Load) answered(h rpc.ResponseHeader) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.open[h.ID]; !ok {
		l.AnsweredTwice++
		return
	}
	delete(l.open, h.ID)
	switch {
	case h.Kind == rpc.ResponseBody:
		l.Served++
	case string(h.Code) == rpc.CodeThrottled:
		l.Rejected++
	default:
		l.Failed++
	}
}
