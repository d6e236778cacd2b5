package client

import (
	"context"
	"maps"
	"net"
	"slices"

	"hillknot/client/policy"
)

// routerConn is a connection to a router. One goroutine dials it and then reads responses, another writes the queued
// messages. Both end when the connection ends; Client.goroutines counts them. The client's lock guards all fields
// except client, address, policyConn and netConn, which don't change once the goroutines that use them run.
type routerConn struct {
	client     *Client
	address    string
	policyConn *policy.Conn
	netConn    net.Conn // nil until the connection is up

	state  connState
	calls  map[uint32]*pendingCall // in flight, by id
	lastID uint32                  // latest id of a call or health check
	outbox outbox
}

// connState is the state of a connection.
type connState uint8

const (
	connDialing connState = iota
	connOpen
	connClosing // closed on this side, but its end is not yet reported to the policy
	connEnded   // its end was reported to the policy
)

// isClosing reports whether nothing more may be written.
func (s connState) isClosing() bool { return s >= connClosing }

// openConn starts a connection. The lock is held.
func (c *Client) openConn(action policy.Action) {
	conn := &routerConn{
		client:     c,
		address:    c.config.Routers[action.Router],
		policyConn: action.Conn,
		calls:      map[uint32]*pendingCall{},
		outbox:     outbox{wake: make(chan struct{}, 1)},
	}
	action.Conn.UserData = conn
	c.goroutines.Add(1)
	go conn.run()
}

// run serves a connection from the dial to its end.
func (conn *routerConn) run() {
	c := conn.client
	defer c.goroutines.Done()
	if !conn.dial() {
		return
	}
	c.goroutines.Add(1)
	go conn.writeLoop()
	reader := responseReader{conn: conn, buffer: make([]byte, readBufferBytes)}
	conn.end(reader.run(), nil)
}

// dial opens the connection and reports the result to the policy. It returns false if the dial failed or the
// connection is no longer wanted.
func (conn *routerConn) dial() bool {
	c := conn.client
	ctx, cancel := context.WithTimeout(c.dialContext, c.settings.DialWait)
	netConn, err := c.config.Dial(ctx, conn.address)
	cancel()

	c.mu.Lock()
	defer c.unlock()
	if err != nil {
		conn.state = connEnded
		c.observer.add(Observation{What: DialFailed, Router: conn.address, Err: err})
		c.policy.DialFailed(c.now(), conn.policyConn)
		c.runActions()
		return false
	}
	if conn.state.isClosing() {
		_ = netConn.Close() // nothing was written to it
		return false
	}
	conn.state, conn.netConn = connOpen, netConn
	c.observer.add(Observation{What: Connected, Router: conn.address})
	c.policy.Connected(c.now(), conn.policyConn)
	c.runActions()
	return true
}

// beginClose closes the connection, which ends its goroutines. The lock is held.
func (conn *routerConn) beginClose() {
	if conn.state < connClosing {
		conn.state = connClosing
	}
	wake(conn.outbox.wake)
	if conn.netConn != nil {
		_ = conn.netConn.Close() // an error does not matter: the connection is no longer used
	}
}

// writeFailure describes a failed write.
type writeFailure struct {
	written int // bytes of the batch that were written
}

// end closes the connection and reports its end to the policy. The reader and the writer both call it with the reason
// for which they ended; only the first call has an effect. The writer also passes its failure.
func (conn *routerConn) end(err error, failure *writeFailure) {
	c := conn.client
	c.mu.Lock()
	defer c.unlock()
	if conn.state == connEnded {
		return
	}
	conn.beginClose()
	conn.state = connEnded
	unsentIDs := conn.outbox.unsentCalls(failure)
	conn.outbox.messages = nil
	var unsent, lost []*policy.Call
	for _, id := range slices.Sorted(maps.Keys(conn.calls)) {
		call := conn.calls[id]
		conn.detach(call)
		if unsentIDs[id] {
			unsent = append(unsent, call.policyCall)
			continue
		}
		lost = append(lost, call.policyCall)
		if call.claimedTxn == 0 { // a lost claim does not change which transaction is claimed
			call.claimedTxn = call.txn
		}
	}
	c.observer.add(Observation{What: Disconnected, Router: conn.address, Err: err})
	c.policy.ConnectionClosed(c.now(), conn.policyConn, unsent, lost)
	c.runActions()
}

// send queues a call under a new request id. The lock is held.
func (conn *routerConn) send(call *pendingCall, retry bool) {
	conn.lastID++
	call.conn, call.requestID = conn, conn.lastID
	conn.calls[call.requestID] = call
	conn.enqueue(message{kind: requestMessage, call: call, requestID: call.requestID, retry: retry})
}

// cancel tells the router that the caller no longer waits for a call, or removes the call from the outbox if it is
// not in a batch yet. The lock is held.
func (conn *routerConn) cancel(call *pendingCall) {
	conn.detach(call)
	if !conn.outbox.remove(call) {
		conn.enqueue(message{kind: cancelNotice, requestID: call.requestID})
	}
}

// detach removes a call from the connection, so that a response to it is ignored. The lock is held.
func (conn *routerConn) detach(call *pendingCall) {
	if call.conn == conn {
		delete(conn.calls, call.requestID)
		call.conn = nil
	}
}

// enqueue queues a message to be written, unless the connection is closing. The lock is held.
func (conn *routerConn) enqueue(m message) {
	if !conn.state.isClosing() {
		conn.outbox.messages = append(conn.outbox.messages, m)
		wake(conn.outbox.wake)
	}
}
