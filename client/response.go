package client

import (
	"errors"
	"net"
	"time"

	"hillknot/client/policy"
	"hillknot/internal/rpc"
)

// errUnknownID ends a connection on which a response has an id that was never used.
var errUnknownID = errors.New("an answer under an id that was never used")

// usedID says whether an id was used on the connection. The lock is held.
func (conn *routerConn) usedID(id uint64) bool { return id > 0 && id <= uint64(conn.lastID) }

// reportBytesReceived reports to the policy that bytes came in.
func (conn *routerConn) reportBytesReceived() {
	c := conn.client
	c.mu.Lock()
	if conn.state != connEnded {
		c.policy.BytesReceived(c.now(), conn.policyConn)
	}
	c.mu.Unlock()
}

// beginResponse records that the body of a response begins, and returns its call; nil where the call has ended.
func (conn *routerConn) beginResponse(id uint64) (*pendingCall, error) {
	conn.client.mu.Lock()
	defer conn.client.mu.Unlock()
	if !conn.usedID(id) {
		return nil, errUnknownID
	}
	call := conn.calls[uint32(id)]
	if call != nil && call.stream.enabled() {
		call.stream.begin()
	}
	return call, nil
}

// publishProgress publishes to a call with Request.To what has come of its response. The call may be nil.
func (conn *routerConn) publishProgress(call *pendingCall, body []byte, received int) {
	if call == nil || !call.stream.enabled() {
		return
	}
	conn.client.mu.Lock()
	if call.conn == conn { // it may have ended meanwhile
		call.stream.update(body, received)
	}
	conn.client.mu.Unlock()
}

// handleResponse takes a complete response. An error ends the connection.
func (conn *routerConn) handleResponse(header rpc.ResponseHeader, body []byte) error {
	c := conn.client
	c.mu.Lock()
	defer c.unlock()
	if conn.state == connEnded {
		return net.ErrClosed
	}
	if !conn.usedID(header.ID) {
		return errUnknownID
	}
	if header.Kind == rpc.ResponseHealth {
		conn.handleHealth(header.Ready)
		return nil
	}
	call := conn.calls[uint32(header.ID)]
	if call == nil { // its call has ended, or it is a second response
		c.counters.strays++
		c.policy.BytesReceived(c.now(), conn.policyConn)
		return nil
	}
	conn.handleCallResponse(call, header, body)
	return nil
}

// handleHealth takes the response to a health check. The lock is held.
func (conn *routerConn) handleHealth(ready bool) {
	c := conn.client
	if !ready {
		c.observer.add(Observation{What: Drained, Router: conn.address})
	}
	c.policy.HealthReceived(c.now(), conn.policyConn, ready)
	c.runActions()
}

// handleCallResponse takes the response to a call that waits for it. The lock is held.
func (conn *routerConn) handleCallResponse(call *pendingCall, header rpc.ResponseHeader, body []byte) {
	c := conn.client
	conn.detach(call)
	call.response.Router = conn.address
	result, retryAfter := policy.ResultServed, time.Duration(0)
	if header.Kind == rpc.ResponseError {
		call.errorText = string(header.Code)
		result = errorResult(call.errorText)
		if result == policy.ResultRejected {
			retryAfter = time.Duration(header.Fields.RetryAfterMillis()) * time.Millisecond
		}
	} else {
		call.recordServed(body, header.Fields.IsNotModified())
	}
	c.observer.add(Observation{
		What:   Answered,
		Router: conn.address,
		Class:  c.classes.list[call.class].name,
		Result: result,
		Wait:   retryAfter,
	})
	c.policy.ResponseReceived(c.now(), call.policyCall, result, retryAfter)
	c.runActions()
}

// errorResult is what a router's error says of the attempt.
func errorResult(routerError string) policy.Result {
	switch routerError {
	case rpc.CodeThrottled:
		return policy.ResultRejected
	case rpc.CodeBadRequest, rpc.CodeNoSuchMethod:
		return policy.ResultInvalid
	default:
		return policy.ResultFailed
	}
}

// recordServed keeps the response of a call that was served. The lock is held.
func (call *pendingCall) recordServed(body []byte, unchanged bool) {
	call.response.Unchanged, call.response.Size = unchanged, len(body)
	if call.request.To == nil {
		call.response.Body = body
	} else {
		call.stream.body, call.stream.received = body, len(body)
	}
}
