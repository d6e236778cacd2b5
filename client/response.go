package client

import (
	"errors"
	"net"
	"time"

	"hillknot/client/policy"
	"hillknot/internal/rpc"
)

// errUnknownID ends a connection on which a response has an id that was never used.
var errUnknownID = errors.New("response with an id that was never used")

// usedID reports whether an id was used on the connection. The lock is held.
func (conn *routerConn) usedID(id uint64) bool { return id > 0 && id <= uint64(conn.lastID) }

// reportBytesReceived reports to the policy that bytes were received.
func (conn *routerConn) reportBytesReceived() {
	c := conn.client
	c.mu.Lock()
	if conn.state != connEnded {
		c.policy.BytesReceived(c.now(), conn.policyConn)
	}
	c.mu.Unlock()
}

// beginResponse records the start of a response body and returns its call, or nil if the call has ended.
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

// publishProgress passes the received part of a response on to its call if that has a Request.To. The call may be
// nil.
func (conn *routerConn) publishProgress(call *pendingCall, body []byte, received int) {
	if call == nil || !call.stream.enabled() {
		return
	}
	conn.client.mu.Lock()
	if call.conn == conn { // the call may have ended meanwhile
		call.stream.update(body, received)
	}
	conn.client.mu.Unlock()
}

// handleResponse handles a complete response. An error ends the connection.
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
	if call == nil { // the call has ended, or this is a second response
		c.counters.strays++
		c.policy.BytesReceived(c.now(), conn.policyConn)
		return nil
	}
	conn.handleCallResponse(call, header, body)
	return nil
}

// handleHealth handles the response to a health check. The lock is held.
func (conn *routerConn) handleHealth(ready bool) {
	c := conn.client
	if !ready {
		c.observer.add(Observation{What: Drained, Router: conn.address})
	}
	c.policy.HealthReceived(c.now(), conn.policyConn, ready)
	c.runActions()
}

// handleCallResponse handles the response to a call in flight. The lock is held.
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

// errorResult returns the result of an attempt to which a router responded with an error.
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

// recordServed stores the response of a call that was served. The lock is held.
func (call *pendingCall) recordServed(body []byte, unchanged bool) {
	call.response.Unchanged, call.response.Size = unchanged, len(body)
	if call.request.To == nil {
		call.response.Body = body
	} else {
		call.stream.body, call.stream.received = body, len(body)
	}
}
