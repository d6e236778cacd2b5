package loadtest

import (
	"math/rand/v2"
	"net"
	"time"

	"hillknot/internal/rpc"
)

// soakClient sends a router requests on one connection after the other, and leaves, cancels and writes nonsense now and
// then.
type soakClient struct {
	addr    string
	history *soakHistory
	rnd     *rand.Rand
	base    uint64 // of its txns
}

const (
	soakPause   = 60 * time.Millisecond // between two requests, about
	soakPerConn = 40                    // requests on a connection, at most
)

func newSoakClient(addr string, history *soakHistory, seed uint64) *soakClient {
	return &soakClient{addr: addr, history: history, rnd: rand.New(rand.NewPCG(seed, 9)), base: seed << 24}
}

// run asks until stop is closed, and then waits for what is owed.
func (c *soakClient) run(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		nc, err := net.DialTimeout("tcp", c.addr, 200*time.Millisecond)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		c.use(nc, stop)
	}
}

// use sends requests on a connection until it has done so often enough, or is to leave it.
func (c *soakClient) use(nc net.Conn, stop <-chan struct{}) {
	open := &soakConn{nc: nc, client: c, open: map[uint64]*soakRequest{}, ended: make(chan struct{})}
	go open.read()
	defer func() { _ = nc.Close() }()
	for id := uint64(1); id <= soakPerConn; id++ {
		select {
		case <-stop:
			open.settle()
			return
		case <-open.ended:
			return
		case <-time.After(soakPause/2 + time.Duration(c.rnd.Int64N(int64(soakPause)))):
		}
		r := open.send(id)
		switch c.rnd.IntN(40) {
		case 0: // it leaves with all that is open
			open.leave()
			return
		case 1:
			open.cancel(id, r)
		case 3: // it stops in the middle of the next request, and waits
			next := rpc.AppendRequest(nil, id+1, &rpc.Request{Method: "part-page", TimeoutMillis: 1000})
			_, _ = nc.Write(next[:len(next)/2]) // its reader notes the end
			open.settle()
			return
		case 2:
			open.leave()
			_, _ = nc.Write([]byte("\xc1 nonsense")) // it ends the connection
			return
		}
	}
	open.settle()
}

// soakConn is one connection of a client.
type soakConn struct {
	nc     net.Conn
	client *soakClient
	open   map[uint64]*soakRequest // by message id; guarded by the history's lock
	ended  chan struct{}
}

// send sends one request.
func (o *soakConn) send(id uint64) *soakRequest {
	c := o.client
	c.base++
	q := &rpc.Request{Method: "part-page", Txn: c.base, Item: c.rnd.Uint64N(400), TimeoutMillis: 600 + c.rnd.Int64N(1800)}
	switch c.rnd.IntN(8) {
	case 0:
		q.Method, q.Item, q.Body = "new-arrange", c.rnd.Uint64(), []byte("order")
	case 1:
		q.Method = "full-score"
	}
	r := &soakRequest{txn: q.Txn, router: c.addr, class: q.Method, limit: time.Duration(q.TimeoutMillis) * time.Millisecond, sent: time.Now()}
	c.history.change(func() {
		c.history.requests[r.txn] = r
		o.open[id] = r
	})
	if _, err := o.nc.Write(rpc.AppendRequest(nil, id, q)); err != nil {
		_ = o.nc.Close() // its reader ends, and notes it
	}
	return r
}

// leave notes that nobody waits for what is open.
func (o *soakConn) leave() {
	o.client.history.change(func() {
		for _, r := range o.open {
			r.left = time.Now()
		}
		clear(o.open)
	})
}

func (o *soakConn) cancel(id uint64, r *soakRequest) {
	o.client.history.change(func() {
		if o.open[id] != nil {
			r.left = time.Now()
			delete(o.open, id)
		}
	})
	_, _ = o.nc.Write(rpc.AppendCancel(nil, id)) // a router that has gone needs no cancel
}

// settle waits until all is answered, for a bounded time.
func (o *soakConn) settle() {
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		left := 0
		o.client.history.change(func() {
			for _, r := range o.open {
				if len(r.answers) == 0 {
					left++
				}
			}
		})
		if left == 0 {
			return
		}
	}
}

// read takes answers until the connection ends. A cancelled request may still be answered.
func (o *soakConn) read() {
	defer close(o.ended)
	readAnswers(o.nc, func(h rpc.ResponseHeader) {
		o.client.history.change(func() {
			if r := o.open[h.ID]; r != nil {
				r.answers = append(r.answers, soakAnswer{at: time.Now(), word: string(h.Code)})
				// It stays, so that a second answer is seen, until the connection ends or it is long over.
			}
		})
	})
	o.client.history.change(func() {
		for _, r := range o.open {
			if len(r.answers) == 0 {
				r.cut = time.Now()
			}
		}
	})
}
