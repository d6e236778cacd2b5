package msgpackrpc

import (
	"errors"
	"maps"
	"slices"

	"hillknot/balancer"
	"hillknot/internal/core"
	"hillknot/internal/logging"
	"hillknot/internal/netio"
	"hillknot/internal/rpc"
)

// Methods of the protocol beside the names of classes.
const (
	methodCancel = "cancel"
	methodHealth = "health"
)

// conn is a client's connection. Its fields from open on belong to the core's goroutine.
type conn struct {
	server    *Server
	transport *netio.Conn

	open        map[uint64]balancer.RequestID // requests without an answer, by the client's message id
	badRequests int                           // requests that could not be used
	closed      bool                          // nothing is owed any more
}

var _ netio.InputErrorHandler = (*conn)(nil)

// Consume implements netio.Handler.
func (c *conn) Consume(buf []byte) (used, want int, err error) {
	for {
		m, progress, err := rpc.ParseMessage(buf[used:], c.server.limits.MessageBytes)
		if err != nil {
			log.Debug("client message malformed", logging.KeyClient, c.transport.RemoteAddr(), logging.KeyError, err)
		}
		if err != nil || progress.Consumed == 0 {
			return used, progress.Needed, err
		}
		used += progress.Consumed
		c.handle(m)
	}
}

// Closed implements netio.Handler: no answer can be delivered any more.
func (c *conn) Closed() {
	c.server.core.Post(func() {
		c.closed = true
		for _, id := range c.open {
			c.server.core.CancelRequest(id)
		}
		clear(c.open)
	})
}

// InputFailed implements netio.InputErrorHandler: a client that sends what can't be read is told at once that nothing
// comes of its open requests.
func (c *conn) InputFailed() { c.server.core.Post(c.abortOpen) }

// abortOpen answers all open requests as failed, in the order of their message ids.
func (c *conn) abortOpen() {
	for _, messageID := range slices.Sorted(maps.Keys(c.open)) {
		c.server.core.AbortRequest(c.open[messageID])
	}
}

func (c *conn) handle(m rpc.Message) {
	switch {
	case m.Kind == rpc.KindNotification:
		if string(m.Method) == methodCancel {
			c.server.core.Post(func() { c.cancel(m.IDs) })
		}
	case string(m.Method) == methodHealth:
		c.transport.AddPendingReplies(1)
		c.server.core.Post(func() {
			ready := c.server.core.Snapshot().Phase == core.Serving
			_ = c.send(rpc.AppendHealthResponse(nil, m.ID, ready)) // send has logged an error
		})
	default:
		c.transport.AddPendingReplies(1)
		request, code := c.server.newRequest(m)
		request.ArrivedAt = c.server.core.EarliestArrival()
		c.server.core.Post(func() { c.submit(m.ID, request, code) })
	}
}

// submit hands a request to the core, or answers it at once: with an error code of newRequest, or as rejected where the
// connection or the router has too much open.
func (c *conn) submit(messageID uint64, request core.Request, code string) {
	_, duplicate := c.open[messageID]
	switch {
	case c.closed: // it was read as the connection ended: nobody could be told what came of it
	case duplicate: // two answers under one id could not be told apart: this one gets none
		c.closeOnFault(netio.CloseDuplicateID)
	case code != "":
		c.rejectMalformed(messageID, request.Class, code)
	case len(c.open) >= c.server.limits.OpenPerConn || c.server.budget.AboveHighWater():
		c.server.core.CountAnswer(request.Class, core.Rejected)
		_ = c.send(rpc.AppendErrorResponse(nil, messageID, rpc.CodeThrottled)) // send has logged an error
	default:
		id := c.server.core.NewID()
		c.open[messageID] = id
		request.Reply = func(a core.Answer) core.Verdict {
			delete(c.open, messageID)
			return c.reply(messageID, a)
		}
		c.server.core.Submit(id, request)
	}
}

// rejectMalformed answers a request that can't be used. A client that sends too many loses its connection.
func (c *conn) rejectMalformed(messageID uint64, class, code string) {
	if c.badRequests++; c.badRequests > c.server.limits.BadRequests {
		c.closeOnFault(netio.CloseTooManyBadRequests)
		return
	}
	c.server.core.CountAnswer(class, core.Failed)
	_ = c.send(rpc.AppendErrorResponse(nil, messageID, code)) // send has logged an error
}

// closeOnFault closes the connection of a client that breaks the protocol, once its open requests are answered. The
// request that showed the fault gets no answer.
func (c *conn) closeOnFault(reason netio.CloseReason) {
	c.transport.AddPendingReplies(-1)
	c.transport.CloseAfterReplies(reason)
	c.abortOpen()
}

func (c *conn) cancel(messageIDs []uint64) {
	for _, messageID := range messageIDs {
		if id, ok := c.open[messageID]; ok {
			delete(c.open, messageID)
			c.transport.AddPendingReplies(-1)
			c.server.core.CancelRequest(id)
		}
	}
}

// reply delivers an answer and returns the verdict that the client is told. Where the memory for waiting answers is used
// up, the request fails: to close the connection would lose all other requests on it. The reply is pending until one of
// the two is sent, so that a connection that is closing waits for it.
func (c *conn) reply(messageID uint64, a core.Answer) core.Verdict {
	verdict := a.Verdict
	err := c.write(appendAnswer(nil, messageID, a))
	if errors.Is(err, netio.ErrBudgetExceeded) {
		verdict = core.Failed
		err = c.write(rpc.AppendErrorResponse(nil, messageID, codeFailed))
	}
	c.replied(err)
	return verdict
}

// send sends the response to one request. It fails where the client has closed the connection, or where the response
// is too long for the memory that is left.
func (c *conn) send(response []byte) error {
	err := c.write(response)
	c.replied(err)
	return err
}

// write queues a response.
func (c *conn) write(response []byte) error {
	err := c.transport.Send(response)
	if err != nil {
		log.Debug("response not sent", logging.KeyClient, c.transport.RemoteAddr(), logging.KeyError, err)
	}
	return err
}

// replied counts the reply to one request as given, with the error of writing it.
func (c *conn) replied(err error) {
	c.transport.AddPendingReplies(-1)
	if err == nil && c.server.core.DrainStage() >= core.CloseAfterResponse {
		c.transport.CloseWhenIdle()
	}
}

// codeFailed is the error code of a request that may have run.
const codeFailed = "Failed"

func appendAnswer(b []byte, messageID uint64, a core.Answer) []byte {
	const overhead = 32 // bytes of a response beside its body, at most
	switch a.Verdict {
	case core.Served:
		return rpc.AppendBodyResponse(make([]byte, 0, len(a.Body)+overhead), messageID, a.Body)
	case core.NotModified:
		return rpc.AppendBodyResponse(b, messageID, nil, rpc.Field{Name: rpc.FieldNotModified, Value: "1"})
	case core.Rejected:
		return rpc.AppendThrottledResponse(b, messageID, a.RetryAfter.Milliseconds(), a.Reason)
	}
	return rpc.AppendErrorResponse(b, messageID, a.Reason)
}
