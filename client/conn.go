package client

import (
	"context"
	"errors"
	"io"
	"maps"
	"net"
	"slices"
	"time"

	"hillknot/client/policy"
	"hillknot/internal/rpc"
)

const (
	headMost  = 4 << 10  // bytes of an answer without its body
	readSize  = 16 << 10 // bytes read at a time
	batchMost = 64 << 10 // bytes written at a time
)

// conn is a connection to a router. A goroutine writes what is queued, another reads; all else is under the
// client's lock.
type conn struct {
	c    *Client
	pn   *policy.Conn
	addr string
	nc   net.Conn

	out    []item
	wake   chan struct{}
	calls  map[uint32]*call // whose answer is owed
	nextID uint32
	down   bool // nothing more is written or read
	taken  []written
}

// item is something to be written.
type item struct {
	kind   itemKind
	call   *call
	id     uint32
	second bool
}

type itemKind uint8

const (
	sendCall itemKind = iota
	sendCancel
	sendCheck
)

// written is a call in the bytes of the latest write.
type written struct {
	id    uint32
	start int // of its bytes
}

// queue has something written. The lock is held.
func (n *conn) queue(i item) {
	if n.down {
		return
	}
	n.out = append(n.out, i)
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// cancel tells that nobody waits for a call any more, or keeps it from being written at all.
func (n *conn) cancel(q *call) {
	n.forget(q)
	for i, it := range n.out {
		if it.kind == sendCall && it.call == q {
			n.out = slices.Delete(n.out, i, i+1)
			return
		}
	}
	n.queue(item{kind: sendCancel, id: q.id})
}

// forget takes a call off the connection: an answer to it is passed over.
func (n *conn) forget(q *call) {
	if q.wire == n {
		delete(n.calls, q.id)
		q.wire = nil
	}
}

// shut ends the connection. The lock is held.
func (n *conn) shut() {
	n.down = true
	select {
	case n.wake <- struct{}{}:
	default:
	}
	if n.nc != nil {
		_ = n.nc.Close() // it is of no more use, whatever comes back
	}
}

// run opens the connection and serves it until it ends.
func (n *conn) run() {
	c := n.c
	defer c.work.Done()
	ctx, cancel := context.WithTimeout(c.ctx, c.set.DialWait)
	nc, err := c.cfg.Dial(ctx, n.addr)
	cancel()
	c.mu.Lock()
	switch {
	case err != nil:
		n.down = true
		c.observe(Observation{What: DialFailed, Router: n.addr, Err: err})
		c.pol.DialFailed(c.now(), n.pn)
		c.settle()
	case n.down: // given up meanwhile
		_ = nc.Close()
	default:
		n.nc = nc
		c.observe(Observation{What: Connected, Router: n.addr})
		c.pol.Connected(c.now(), n.pn)
		c.settle()
	}
	up := n.nc != nil
	c.unlock()
	if !up {
		return
	}
	c.work.Add(1)
	go n.write()
	n.end(n.read(), 0, false)
}

// end takes the end of the connection, by whichever side comes first. Of the latest write so many bytes went out,
// if that is what failed.
func (n *conn) end(err error, wrote int, failed bool) {
	c := n.c
	c.mu.Lock()
	defer c.unlock()
	if n.pn == nil {
		return
	}
	pn := n.pn
	n.pn = nil
	n.shut()
	// Surely unsent is what was never handed to the socket, and of a write that failed what lies behind the bytes
	// that went out. A write that is under way may have been read.
	sure := map[uint32]bool{}
	for _, i := range n.out {
		if i.kind == sendCall {
			sure[i.id] = true
		}
	}
	if failed {
		for _, w := range n.taken {
			if w.start >= wrote {
				sure[w.id] = true
			}
		}
	}
	n.out = nil
	var unsent, lost []*policy.Call
	for _, id := range slices.Sorted(maps.Keys(n.calls)) {
		q := n.calls[id]
		n.forget(q)
		if sure[id] {
			unsent = append(unsent, q.pc)
		} else {
			lost = append(lost, q.pc)
			if q.lost == 0 { // a claim that is lost itself names the same
				q.lost = q.txn
			}
		}
	}
	c.observe(Observation{What: Disconnected, Router: n.addr, Err: err})
	c.pol.ConnectionClosed(c.now(), pn, unsent, lost)
	c.settle()
}

// write writes what is queued until the connection ends.
func (n *conn) write() {
	c := n.c
	defer c.work.Done()
	var buf []byte
	for range n.wake {
		for {
			var stop bool
			if buf, stop = n.take(buf[:0]); stop {
				return
			}
			if len(buf) == 0 {
				break
			}
			began := c.now()
			wrote, err := n.nc.Write(buf)
			if err != nil {
				n.end(err, wrote, true)
				return
			}
			took := c.now() - began
			c.mu.Lock()
			if n.pn != nil {
				n.pn.WriteCompleted(len(buf), took)
			}
			n.taken = n.taken[:0]
			c.unlock()
		}
	}
}

// take turns what is queued into bytes, up to a batch. A call whose time has gone by while it waited is left out.
func (n *conn) take(buf []byte) (_ []byte, stop bool) {
	c := n.c
	c.mu.Lock()
	defer c.unlock()
	if n.down {
		return buf, true
	}
	i := 0
	for ; i < len(n.out) && len(buf) < batchMost; i++ {
		switch it := n.out[i]; it.kind {
		case sendCheck:
			n.nextID++
			buf = rpc.AppendHealthRequest(buf, uint64(n.nextID))
		case sendCancel:
			buf = rpc.AppendCancel(buf, uint64(it.id))
		default:
			buf = n.appendCall(buf, it)
		}
	}
	rest := copy(n.out, n.out[i:])
	clear(n.out[rest:])
	n.out = n.out[:rest]
	c.settle()
	return buf, false
}

func (n *conn) appendCall(buf []byte, it item) []byte {
	q := it.call
	if n.calls[it.id] != q { // withdrawn meanwhile
		return buf
	}
	limit, ok := n.c.pol.PrepareWrite(n.c.now(), q.pc, len(buf)+len(q.req.Body)+200)
	if !ok {
		return buf
	}
	n.taken = append(n.taken, written{id: it.id, start: len(buf)})
	q.txn = n.c.txns.Uint64()
	resumes := uint64(0)
	if q.pc.IsClaim() {
		resumes = q.lost
	}
	return rpc.AppendRequest(buf, uint64(it.id), &rpc.Request{Method: n.c.names[q.class], Txn: q.txn, ResumedTxn: resumes, Account: n.c.cfg.Account,
		TimeoutMillis: max(limit.Milliseconds(), 1), Retry: it.second, Item: q.req.Item, Nth: q.req.Part, Batch: q.req.Group,
		CachedTag: q.req.Have, Body: q.req.Body})
}

// errStray says that a router answers what nobody asked.
var errStray = errors.New("an answer under an id that was never used")

// read reads answers until the connection ends, and returns why.
func (n *conn) read() error {
	space := make([]byte, readSize)
	fill := 0
	for {
		buf := space[:fill] // what has come and is not used up
		for len(buf) > 0 {
			h, progress, err := rpc.ParseResponseHeader(buf, headMost, n.c.cfg.MaxAnswer)
			if err != nil {
				return err
			}
			if progress.Consumed == 0 {
				break
			}
			buf = buf[progress.Consumed:]
			if h.Kind != rpc.ResponseBody {
				if err := n.answered(h, nil); err != nil {
					return err
				}
				continue
			}
			if buf, err = n.readBody(h, buf, space); err != nil {
				return err
			}
		}
		fill = copy(space, buf)
		m, err := n.nc.Read(space[fill:])
		fill += m
		if m > 0 {
			n.heard()
			continue
		}
		if err != nil {
			return err
		}
	}
}

func (n *conn) heard() {
	n.c.mu.Lock()
	if n.pn != nil {
		n.c.pol.BytesReceived(n.c.now(), n.pn)
	}
	n.c.mu.Unlock()
}

// readBody reads the body and the tail of an answer, of which buf has come already. It returns what is behind them.
func (n *conn) readBody(h rpc.ResponseHeader, buf, space []byte) (rest []byte, err error) {
	q, err := n.begin(h)
	if err != nil {
		return nil, err
	}
	body := make([]byte, h.BodySize) // its length is bounded
	have := copy(body, buf)
	buf = buf[have:]
	n.progress(q, body, have)
	for have < len(body) {
		m, err := n.nc.Read(body[have:])
		have += m
		if m > 0 {
			n.heard()
			n.progress(q, body, have)
		} else if err != nil {
			return nil, cut(err)
		}
	}
	for {
		f, progress, err := rpc.ParseResponseTrailer(buf, headMost)
		if err != nil {
			return nil, err
		}
		if progress.Consumed > 0 {
			h.Fields = f
			err = n.answered(h, body)
			return buf[progress.Consumed:], err
		}
		fill := copy(space, buf)
		m, err := n.nc.Read(space[fill:])
		if buf = space[:fill+m]; m == 0 && err != nil {
			return nil, cut(err)
		}
	}
}

// cut is the error of a connection that ends inside an answer.
func cut(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// begin finds the call that an answer is for; nil where nobody waits for it any more.
func (n *conn) begin(h rpc.ResponseHeader) (*call, error) {
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	if h.ID == 0 || h.ID > uint64(n.nextID) {
		return nil, errStray
	}
	q := n.calls[uint32(h.ID)]
	if q != nil && q.more != nil {
		q.try++
		q.body, q.have = nil, 0
	}
	return q, nil
}

// progress tells a call with a sink how much of its answer has come.
func (n *conn) progress(q *call, body []byte, have int) {
	if q == nil || q.more == nil {
		return
	}
	n.c.mu.Lock()
	if q.wire == n {
		q.body, q.have = body, have
		select {
		case q.more <- struct{}{}:
		default:
		}
	}
	n.c.mu.Unlock()
}

// answered takes a whole answer.
func (n *conn) answered(h rpc.ResponseHeader, body []byte) error {
	c := n.c
	c.mu.Lock()
	defer c.unlock()
	if n.pn == nil {
		return net.ErrClosed
	}
	if h.ID == 0 || h.ID > uint64(n.nextID) {
		return errStray
	}
	if h.Kind == rpc.ResponseHealth {
		if !h.Ready {
			c.observe(Observation{What: Drained, Router: n.addr})
		}
		c.pol.HealthReceived(c.now(), n.pn, h.Ready)
		c.settle()
		return nil
	}
	q := n.calls[uint32(h.ID)]
	if q == nil { // its caller has gone, or it is a second answer
		c.stats.strays++
		c.pol.BytesReceived(c.now(), n.pn)
		return nil
	}
	n.forget(q)
	res, wait := policy.ResultServed, time.Duration(0)
	if h.Kind == rpc.ResponseError {
		q.word = string(h.Code)
		switch q.word {
		case rpc.CodeThrottled:
			res, wait = policy.ResultRejected, time.Duration(h.Fields.RetryAfterMillis())*time.Millisecond
		case rpc.CodeBadRequest, rpc.CodeNoSuchMethod:
			res = policy.ResultInvalid
		default:
			res = policy.ResultFailed
		}
	}
	q.resp.Router = n.addr
	if res == policy.ResultServed {
		q.resp.Unchanged, q.resp.Size = h.Fields.IsNotModified(), len(body)
		if q.req.To == nil {
			q.resp.Body = body
		} else {
			q.body, q.have = body, len(body)
		}
	}
	c.observe(Observation{What: Answered, Router: n.addr, Class: c.names[q.class], Result: res, Wait: wait})
	c.pol.AnswerReceived(c.now(), q.pc, res, wait)
	c.settle()
	return nil
}
