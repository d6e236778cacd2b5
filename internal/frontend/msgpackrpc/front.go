// Package msgpackrpc is the front for clients that speak MessagePack-RPC over TCP. It only turns messages into
// the core's requests and the core's answers into messages.
package msgpackrpc

import (
	"bytes"
	"errors"
	"log/slog"
	"maps"
	"slices"
	"strconv"
	"time"

	"hillknot/balancer"
	"hillknot/internal/config"
	"hillknot/internal/core"
	"hillknot/internal/netio"
	"hillknot/internal/rpc"
)

// Core is what the front submits to. Its methods Submit, Withdraw and Count are called on the core's goroutine.
type Core interface {
	Post(f func())
	NewID() balancer.RequestID
	EarliestArrival() time.Duration
	Submit(id balancer.RequestID, q core.Request)
	CancelRequest(id balancer.RequestID)
	AbortRequest(id balancer.RequestID)
	CountAnswer(class string, v core.Verdict)
	Snapshot() *core.Snapshot
	DrainStage() core.DrainStage
}

// Front serves clients on one address.
type Front struct {
	core    Core
	lim     config.Limits
	classes map[string]balancer.Class
	budget  *netio.Budget
	*netio.Server
}

// Listen opens the listener, or takes the one that the process inherited under a descriptor above 0. The budget
// bounds the answers that wait for slow clients, all together.
func Listen(addr string, inherited int, c Core, lim config.Limits, classes []balancer.Class, budget *netio.Budget) (*Front, error) {
	f := &Front{core: c, lim: lim, classes: map[string]balancer.Class{}, budget: budget}
	for _, k := range classes {
		f.classes[k.Name] = k
	}
	handler := func(nc *netio.Conn) netio.Handler { return &conn{f: f, nc: nc, open: map[uint64]balancer.RequestID{}} }
	var err error
	if inherited > 0 {
		f.Server, err = netio.ListenInherited(inherited, lim.ClientConns, lim.Client, budget, handler)
	} else {
		f.Server, err = netio.Listen(addr, lim.ClientConns, lim.Client, budget, handler)
	}
	if err != nil {
		return nil, err
	}
	f.Server.IdleTimeouts = f.patience
	return f, nil
}

// patience is how long clients may hold connections that owe nothing. One that leaves its clients waits for a
// request that is being written, but not up to the moment at which the front takes it to be empty.
func (f *Front) patience() (idle, half time.Duration) {
	switch f.core.DrainStage() {
	case core.CloseIdle:
		return f.lim.LeavePause, f.lim.Client.Whole
	case core.RejectNew:
		return 0, f.lim.Client.Whole
	case core.CloseAll:
		return 0, 0
	}
	return f.lim.Client.Idle, f.lim.Client.Whole
}

// conn is a client's connection. Its open requests, and all below them, belong to the core's goroutine.
type conn struct {
	f      *Front
	nc     *netio.Conn
	open   map[uint64]balancer.RequestID // by the client's message id
	faults int                           // calls that could not be used
	gone   bool                          // nothing is owed any more
}

// Consume implements netio.Handler.
func (c *conn) Consume(buf []byte) (used, want int, err error) {
	for {
		m, progress, err := rpc.ParseMessage(buf[used:], c.f.lim.Message)
		if err != nil {
			slog.Debug("client connection closed", "remote", c.nc.RemoteAddr(), "err", err)
		}
		if err != nil || progress.Consumed == 0 {
			return used, progress.Needed, err
		}
		used += progress.Consumed
		c.message(m)
	}
}

// Closed implements netio.Handler: nothing is owed any more.
func (c *conn) Closed() {
	c.f.core.Post(func() {
		c.gone = true
		for _, id := range c.open {
			c.f.core.CancelRequest(id)
		}
		clear(c.open)
	})
}

// InputFailed implements netio.InputErrorHandler: who sends what can't be read is told at once that nothing comes of the rest.
func (c *conn) InputFailed() { c.f.core.Post(c.abandonOpen) }

var _ netio.InputErrorHandler = (*conn)(nil)

func (c *conn) abandonOpen() {
	for _, msg := range slices.Sorted(maps.Keys(c.open)) {
		c.f.core.AbortRequest(c.open[msg])
	}
}

func (c *conn) message(m rpc.Message) {
	switch {
	case m.Kind == rpc.KindNotification:
		if string(m.Method) == "cancel" {
			c.f.core.Post(func() { c.cancel(m.IDs) })
		}
	case string(m.Method) == "health":
		c.nc.AddPendingReplies(1)
		c.f.core.Post(func() { _ = c.send(rpc.AppendHealthResponse(nil, m.ID, c.f.core.Snapshot().Phase == core.Serving)) })
	default:
		c.nc.AddPendingReplies(1)
		q, word := c.request(m)
		q.ArrivedAt = c.f.core.EarliestArrival()
		c.f.core.Post(func() { c.submit(m.ID, q, word) })
	}
}

// request turns a call into a request, or names the error that answers it. What it keeps is copied.
func (c *conn) request(m rpc.Message) (q core.Request, word string) {
	class, ok := c.f.classes[string(m.Method)]
	if !ok {
		return q, rpc.CodeNoSuchMethod
	}
	q.Class = class.Name
	f := m.Fields
	limit, limitOK := number(f.Timeout, 31)
	object, objectOK := hexID(f.Item)
	part, partOK := number(f.Nth, 63)
	group, groupOK := number(f.Batch, 8)
	_, txnOK := hexID(f.Txn)
	if len(f.ResumedTxn) > 0 {
		_, lostOK := hexID(f.ResumedTxn)
		txnOK = txnOK && lostOK
	}
	if !limitOK || !objectOK || !partOK || !groupOK || !txnOK || len(f.Timeout) == 0 || !tag(f.CachedTag) || !tag(f.IdempotencyKey) || len(f.Account) > accountMost {
		return q, rpc.CodeBadRequest
	}
	wait := time.Duration(limit) * time.Millisecond
	if class.Deadline > 0 && wait > class.Deadline || len(m.Body) > c.f.lim.WriteBody {
		return q, rpc.CodeBadRequest // no client of the class waits so long or brings so much
	}
	nth := string(f.Nth)
	if nth == "" {
		nth = "0"
	}
	return core.Request{Txn: string(f.Txn), ObjectText: string(f.Item), PartText: nth, Class: string(m.Method), Object: object,
		Part: part, Group: group, Timeout: wait, ETag: string(f.CachedTag), IdempotencyKey: string(f.IdempotencyKey), Body: bytes.Clone(m.Body), Write: class.Write,
		Retry: string(f.Retry) == "1", ResumesTxn: string(f.ResumedTxn), Account: string(f.Account)}, ""
}

// accountMost bounds an account's name.
const accountMost = 128

// number reads a whole number; an absent one is 0.
func number(b []byte, bits int) (uint64, bool) {
	if len(b) == 0 {
		return 0, true
	}
	n, err := strconv.ParseUint(string(b), 10, bits)
	return n, err == nil
}

// hexID reads 16 hex digits.
func hexID(b []byte) (uint64, bool) {
	n, err := strconv.ParseUint(string(b), 16, 64)
	return n, err == nil && len(b) == 16
}

// tag tells whether a tag can be passed on as a word of a line.
func tag(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c >= 0x7f || c == ',' || c == '=' {
			return false
		}
	}
	return len(b) <= 64
}

func (c *conn) submit(msg uint64, q core.Request, word string) {
	_, twice := c.open[msg]
	switch {
	case c.gone: // it was read as the connection ended, and nobody could be told what came of it
	case twice: // two answers under one id could not be told apart: this one gets none
		c.nc.AddPendingReplies(-1)
		c.nc.CloseAfterReplies(netio.CloseDuplicateID)
		c.abandonOpen()
	case word != "":
		if c.faults++; c.faults > c.f.lim.Faults { // it goes on for as long as it is answered
			c.nc.AddPendingReplies(-1)
			c.nc.CloseAfterReplies(netio.CloseTooManyBadRequests)
			c.abandonOpen()
			return
		}
		c.f.core.CountAnswer(q.Class, core.Failed)
		_ = c.send(rpc.AppendErrorResponse(nil, msg, word))
	case len(c.open) >= c.f.lim.OpenPerConn || c.f.budget.AboveHighWater():
		c.f.core.CountAnswer(q.Class, core.Rejected)
		_ = c.send(rpc.AppendErrorResponse(nil, msg, rpc.CodeThrottled))
	default:
		id := c.f.core.NewID()
		c.open[msg] = id
		q.Reply = func(a core.Answer) core.Verdict {
			delete(c.open, msg)
			return c.reply(msg, a)
		}
		c.f.core.Submit(id, q)
	}
}

func (c *conn) cancel(ids []uint64) {
	for _, msg := range ids {
		if id, ok := c.open[msg]; ok {
			delete(c.open, msg)
			c.nc.AddPendingReplies(-1)
			c.f.core.CancelRequest(id)
		}
	}
}

// reply passes an answer on, and returns what the client is told: where the memory for answers is used up, that
// the request failed. To close the connection would lose all else on it.
func (c *conn) reply(msg uint64, a core.Answer) core.Verdict {
	if err := c.send(appendAnswer(nil, msg, a)); !errors.Is(err, netio.ErrBudgetExceeded) {
		return a.Verdict
	}
	c.nc.AddPendingReplies(1) // the answer is still owed
	_ = c.send(rpc.AppendErrorResponse(nil, msg, "Failed"))
	return core.Failed
}

// send sends the answer to one call. An answer that is not sent is for a client that has gone, or too long for the
// memory that is left.
func (c *conn) send(b []byte) error {
	err := c.nc.Send(b)
	if err != nil {
		slog.Debug("answer not sent", "remote", c.nc.RemoteAddr(), "err", err)
	}
	c.nc.AddPendingReplies(-1)
	if err == nil && c.f.core.DrainStage() >= core.CloseAfterResponse {
		c.nc.CloseWhenIdle()
	}
	return err
}

func appendAnswer(b []byte, id uint64, a core.Answer) []byte {
	switch a.Verdict {
	case core.Served:
		return rpc.AppendBodyResponse(make([]byte, 0, len(a.Body)+32), id, a.Body)
	case core.NotModified:
		return rpc.AppendBodyResponse(b, id, nil, rpc.Field{Name: rpc.FieldNotModified, Value: "1"})
	case core.Rejected:
		return rpc.AppendThrottledResponse(b, id, a.RetryAfter.Milliseconds(), a.Reason)
	}
	return rpc.AppendErrorResponse(b, id, a.Reason)
}
