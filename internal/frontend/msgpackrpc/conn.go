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

// Methods of the protocol besides the names of classes.
const (
	methodCancel = "cancel"
	methodHealth = "health"
)

// conn is a client's connection. Only the core's goroutine uses the fields from openRequests on.
type conn struct {
	server    *Server
	transport *netio.Conn

	openRequests map[uint64]balancer.RequestID // requests without an answer, by the client's message id
	badRequests  int                           // invalid requests so far
	closed       bool                          // the connection has ended; no answer can be delivered
}

var _ netio.InputErrorHandler = (*conn)(nil)

// Consume implements netio.Handler.
func (c *conn) Consume(buf []byte) (used, needed int, err error) {
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

// Closed implements netio.Handler. It cancels the open requests, as their answers can't be delivered any more.
func (c *conn) Closed() {
	c.server.core.Post(func() {
		c.closed = true
		for _, id := range c.openRequests {
			c.server.core.CancelRequest(id)
		}
		clear(c.openRequests)
	})
}

// InputFailed implements netio.InputErrorHandler. After malformed input, it aborts the open requests, so that the client
// gets their answers at once.
func (c *conn) InputFailed() { c.server.core.Post(c.abortOpen) }

// abortOpen aborts all open requests, in the order of their message ids. The core answers each as rejected or failed.
func (c *conn) abortOpen() {
	for _, messageID := range slices.Sorted(maps.Keys(c.openRequests)) {
		c.server.core.AbortRequest(c.openRequests[messageID])
	}
}

// handle passes a message on to the core's goroutine.
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
			_ = c.send(rpc.AppendHealthResponse(nil, m.ID, ready)) // send logs errors
		})
	default:
		c.transport.AddPendingReplies(1)
		request, code := c.server.newRequest(m)
		request.ArrivedAt = c.server.core.EarliestArrival()
		c.server.core.Post(func() { c.submit(m.ID, request, code) })
	}
}

// submit submits a request to the core, or answers it at once: with the error code of newRequest, or as rejected if the
// connection has too many open requests or the router too many unsent answers.
func (c *conn) submit(messageID uint64, request core.Request, code string) {
	_, duplicate := c.openRequests[messageID]
	switch {
	case c.closed: // the request was read as the connection ended: its answer could not be delivered
	case duplicate: // the client could not tell two answers with one id apart: this request gets none
		c.closeOnFault(netio.CloseDuplicateID)
	case code != "":
		c.rejectMalformed(messageID, request.Class, code)
	case len(c.openRequests) >= c.server.limits.OpenPerConn:
		c.reject(messageID, request.Class, core.RefusedTooManyOnConnection)
	case c.server.budget.AboveHighWater():
		c.reject(messageID, request.Class, core.RefusedMemory)
	default:
		id := c.server.core.NewID()
		c.openRequests[messageID] = id
		request.Reply = func(a core.Answer) core.Verdict {
			delete(c.openRequests, messageID)
			return c.reply(messageID, a)
		}
		c.server.core.Submit(id, request)
	}
}

// reject answers a request that is not taken, and that may be sent again.
func (c *conn) reject(messageID uint64, class string, reason core.RefusalReason) {
	c.server.core.CountRefusal(reason)
	c.server.core.CountAnswer(class, core.Rejected)
	_ = c.send(rpc.AppendErrorResponse(nil, messageID, rpc.CodeThrottled)) // send logs errors
}

// rejectMalformed answers an invalid request with an error code. It closes the connection of a client that has sent too
// many of them.
func (c *conn) rejectMalformed(messageID uint64, class, code string) {
	if c.badRequests++; c.badRequests > c.server.limits.BadRequests {
		c.closeOnFault(netio.CloseTooManyBadRequests)
		return
	}
	c.server.core.CountRefusal(core.RefusedMalformed)
	c.server.core.CountAnswer(class, core.Failed)
	_ = c.send(rpc.AppendErrorResponse(nil, messageID, code)) // send logs errors
}

// closeOnFault closes the connection of a client that violated the protocol, once its open requests are answered. The
// request that violated the protocol gets no answer.
func (c *conn) closeOnFault(reason netio.CloseReason) {
	c.transport.AddPendingReplies(-1)
	c.transport.CloseAfterReplies(reason)
	c.abortOpen()
}

// cancel cancels the open requests with the given message ids. Unknown ids are ignored.
func (c *conn) cancel(messageIDs []uint64) {
	for _, messageID := range messageIDs {
		if id, ok := c.openRequests[messageID]; ok {
			delete(c.openRequests, messageID)
			c.transport.AddPendingReplies(-1)
			c.server.core.CancelRequest(id)
		}
	}
}

// reply sends an answer and returns the verdict that the client gets. If the answer exceeds the memory budget of unsent
// answers, the request fails, as closing the connection would lose all other requests on it. The reply stays pending
// until either the answer or the failure is queued, so that a connection that is closing waits for it.
func (c *conn) reply(messageID uint64, a core.Answer) core.Verdict {
	verdict := a.Verdict
	err := c.queueResponse(appendAnswer(nil, messageID, a))
	if errors.Is(err, netio.ErrBudgetExceeded) {
		verdict = core.Failed
		err = c.queueResponse(rpc.AppendErrorResponse(nil, messageID, codeFailed))
	}
	c.finishReply(err)
	return verdict
}

// send sends the response to one request. It fails if the connection is closed, or if the response exceeds what is left
// of the memory budget.
func (c *conn) send(response []byte) error {
	err := c.queueResponse(response)
	c.finishReply(err)
	return err
}

// queueResponse queues a response, and logs an error.
func (c *conn) queueResponse(response []byte) error {
	err := c.transport.Send(response)
	if err != nil {
		log.Debug("response not sent", logging.KeyClient, c.transport.RemoteAddr(), logging.KeyError, err)
	}
	return err
}

// finishReply counts one pending reply as given. err is the error of queueing it. A draining router closes the connection
// once no more replies are pending.
func (c *conn) finishReply(err error) {
	c.transport.AddPendingReplies(-1)
	if err == nil && c.server.core.DrainStage() >= core.CloseAfterResponse {
		c.transport.CloseWhenIdle()
	}
}

// codeFailed is the error code of a failed request, which may have run.
const codeFailed = "Failed"

// appendAnswer appends the response that holds an answer of the core.
func appendAnswer(b []byte, messageID uint64, a core.Answer) []byte {
	const overhead = 32 // largest number of bytes of a response besides its body
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
