package msgpackrpc

import (
	"errors"
	"maps"
	"slices"
	"sync/atomic"

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

// errTooManyAtShutdown is returned for a request of a client that has sent too many since Server.Shutdown was called.
var errTooManyAtShutdown = errors.New("too many requests during a shutdown")

// errDuplicateID is returned for a request whose message id belongs to another one that has no answer yet.
var errDuplicateID = errors.New("duplicate message id")

// conn is a client's connection. Only the core's goroutine uses the fields from openRequests on.
type conn struct {
	server    *Server
	transport *netio.Conn
	admission *admission
	refusals  refusals
	closed    atomic.Bool // the connection has ended; no answer can be delivered

	atShutdown int // requests that were read since Server.Shutdown was called; only Consume uses it

	openRequests map[uint64]openRequest // requests without an answer, by the client's message id
	badRequests  int                    // invalid requests so far
}

// openRequest is a request that the core has taken.
type openRequest struct {
	id     balancer.RequestID
	ticket ticket
}

var _ netio.InputErrorHandler = (*conn)(nil)

func (s *Server) newConn(transport *netio.Conn) *conn {
	return &conn{server: s, transport: transport, admission: newAdmission(&s.admission, admissionFactor*s.limits.OpenPerConn),
		openRequests: map[uint64]openRequest{}}
}

// Consume implements netio.Handler.
func (c *conn) Consume(buf []byte) (used, needed int, err error) {
	if c.transport.PeerClosed() { // nothing is owed for what a client sent before it left
		c.transport.Close()
		return len(buf), 0, nil
	}
	defer c.sendRefusals()
	for {
		m, progress, err := rpc.ParseMessage(buf[used:], c.server.limits.MessageBytes)
		if err != nil {
			log.Debug("client message malformed", logging.KeyClient, c.transport.RemoteAddr(), logging.KeyError, err)
		}
		if err != nil || progress.Consumed == 0 {
			return used, progress.Needed, err
		}
		used += progress.Consumed
		if err := c.handle(m); err != nil {
			return used, 0, err
		}
	}
}

// Closed implements netio.Handler. It cancels the open requests, as their answers can't be delivered any more.
func (c *conn) Closed() {
	c.closed.Store(true)
	if c.admission.isEmpty() { // a client that only connects and leaves costs the core nothing
		return
	}
	c.server.core.Post(func() {
		for _, open := range c.openRequests {
			c.server.core.CancelRequest(open.id)
			c.admission.release(open.ticket)
		}
		clear(c.openRequests)
	})
}

// InputFailed implements netio.InputErrorHandler. After malformed input, it aborts the open requests, so that the client
// gets their answers at once.
func (c *conn) InputFailed() {
	if !c.admission.isEmpty() {
		c.server.core.Post(c.abortOpen)
	}
}

// abortOpen aborts all open requests, in the order of their message ids. The core answers each as rejected or failed.
func (c *conn) abortOpen() {
	for _, messageID := range slices.Sorted(maps.Keys(c.openRequests)) {
		if open, isOpen := c.openRequests[messageID]; isOpen {
			c.server.core.AbortRequest(open.id)
		}
	}
}

// handle passes a message on to the core's goroutine, or refuses it. After an error, nothing more is read.
func (c *conn) handle(m rpc.Message) error {
	if m.Kind == rpc.KindNotification {
		if string(m.Method) == methodCancel {
			c.handleCancel(m.IDs)
		}
		return nil
	}
	if c.server.isClosing.Load() {
		if c.atShutdown++; c.atShutdown > c.server.limits.OpenPerConn {
			c.transport.CloseAfterReplies(netio.CloseTooManyAtShutdown)
			return errTooManyAtShutdown
		}
	}
	if c.admission.contains(m.ID) || c.refusals.contains(m.ID) { // the client could not tell two answers with one id apart
		c.transport.CloseAfterReplies(netio.CloseDuplicateID)
		return errDuplicateID
	}
	ticket, refused, admitted := c.admission.admit(m.ID, len(m.Body)+requestOverheadBytes)
	if !admitted {
		return c.refuse(m, refused)
	}
	c.transport.AddPendingReplies(1)
	if string(m.Method) == methodHealth {
		c.server.core.Post(func() { c.answerHealth(ticket) })
		return nil
	}
	request, code := c.server.newRequest(m)
	request.ArrivedAt = c.server.core.EarliestArrival()
	request.ClientDisconnected = c.transport.PeerClosed
	c.server.core.Post(func() { c.submit(ticket, request, code) })
	return nil
}

// handleCancel passes on the cancellation of the requests that are in the core or on their way to it.
func (c *conn) handleCancel(messageIDs []uint64) {
	if cancelled := c.admission.cancel(messageIDs); len(cancelled) > 0 {
		c.server.core.Post(func() { c.cancel(cancelled) })
	}
}

// refuse refuses a message without the core: no answer of it is worth the work.
func (c *conn) refuse(m rpc.Message, reason core.RefusalReason) error {
	verdict, code := c.server.refusal(string(m.Method), len(m.Fields.ResumedTxn) > 0)
	if err := c.refusals.add(m.ID, code); err != nil {
		c.transport.CloseAfterReplies(netio.CloseTooManyRefusals)
		return err
	}
	c.transport.AddPendingReplies(1)
	c.server.core.CountRefusal(reason)
	c.server.core.CountAnswer(string(m.Method), verdict)
	return nil
}

// refusal returns the answer to a request that is not taken. It is rejected, but a claim fails: its order may have run at the router that
// the client has lost.
func (s *Server) refusal(class string, resumes bool) (verdict core.Verdict, code string) {
	if resumes && s.classes[class].Idempotency != balancer.Idempotent {
		return core.Failed, codeFailed
	}
	return core.Rejected, rpc.CodeThrottled
}

// answerHealth answers a health check.
func (c *conn) answerHealth(t ticket) {
	c.admission.release(t)
	ready := c.server.core.Snapshot().Phase == core.Serving
	_ = c.send(rpc.AppendHealthResponse(nil, t.messageID, ready)) // send logs errors
}

// submit submits a request to the core, or answers it at once: with the error code of newRequest, or as rejected if the
// connection has too many open requests.
func (c *conn) submit(t ticket, request core.Request, code string) {
	_, duplicate := c.openRequests[t.messageID]
	switch {
	case c.closed.Load(): // the request was read as the connection ended: its answer could not be delivered
		c.admission.release(t)
	case duplicate: // the request with the same id was cancelled, and its cancellation was not read in time
		c.admission.release(t)
		c.closeOnFault(netio.CloseDuplicateID)
	case code != "":
		c.rejectMalformed(t, request.Class, code)
	case len(c.openRequests) >= c.server.limits.OpenPerConn:
		c.reject(t, &request, core.RefusedTooManyOnConnection)
	default:
		id := c.server.core.NewID()
		c.openRequests[t.messageID] = openRequest{id, t}
		request.Reply = func(a core.Answer) core.Verdict {
			delete(c.openRequests, t.messageID)
			c.admission.release(t)
			return c.reply(t.messageID, a)
		}
		c.server.core.Submit(id, request)
	}
}

// reject answers a request that is not taken.
func (c *conn) reject(t ticket, request *core.Request, reason core.RefusalReason) {
	verdict, code := c.server.refusal(request.Class, request.ResumesTxn != "")
	c.admission.release(t)
	c.server.core.CountRefusal(reason)
	c.server.core.CountAnswer(request.Class, verdict)
	_ = c.send(rpc.AppendErrorResponse(nil, t.messageID, code)) // send logs errors
}

// rejectMalformed answers an invalid request with an error code. It closes the connection of a client that has sent too
// many of them.
func (c *conn) rejectMalformed(t ticket, class, code string) {
	c.admission.release(t)
	if c.badRequests++; c.badRequests > c.server.limits.BadRequests {
		c.closeOnFault(netio.CloseTooManyBadRequests)
		return
	}
	c.server.core.CountRefusal(core.RefusedMalformed)
	c.server.core.CountAnswer(class, core.Failed)
	_ = c.send(rpc.AppendErrorResponse(nil, t.messageID, code)) // send logs errors
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
		if open, isOpen := c.openRequests[messageID]; isOpen {
			delete(c.openRequests, messageID)
			c.admission.release(open.ticket)
			c.transport.AddPendingReplies(-1)
			c.server.core.CancelRequest(open.id)
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
	c.finishReplies(1, err)
	return verdict
}

// send sends the response to one request. It fails if the connection is closed, or if the response exceeds what is left
// of the memory budget.
func (c *conn) send(response []byte) error {
	err := c.queueResponse(response)
	c.finishReplies(1, err)
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

// finishReplies counts pending replies as given. err is the error of queueing them. A draining router closes the connection
// once no more replies are pending.
func (c *conn) finishReplies(count int, err error) {
	c.transport.AddPendingReplies(-count)
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
