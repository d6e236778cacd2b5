package client

import (
	"slices"

	"hillknot/internal/rpc"
)

const (
	// maxBatchBytes is the size of a write, in bytes, from which on no more messages are added to it.
	maxBatchBytes = 64 << 10

	// requestOverhead is the approximate size of a request without its body, in bytes.
	requestOverhead = 200
)

// message is a message to be written to a router.
type message struct {
	kind      messageKind
	call      *pendingCall // of a request
	requestID uint32       // id of a request, or of the request to cancel
	retry     bool         // of a request
}

type messageKind uint8

const (
	requestMessage messageKind = iota
	cancelNotice
	healthCheck
)

// outbox holds what a connection has to write. The client's lock guards it.
type outbox struct {
	messages []message
	wake     chan struct{} // holds an element when there are messages or the connection is closing
	batch    []batchedCall // calls in the write in progress
}

// batchedCall is a call in a batch.
type batchedCall struct {
	requestID uint32
	start     int // offset of its first byte in the batch
}

// remove removes a call that is not in a batch yet. It returns false if the call is in a batch, or not in the outbox.
func (o *outbox) remove(call *pendingCall) bool {
	i := slices.IndexFunc(o.messages, func(m message) bool { return m.kind == requestMessage && m.call == call })
	if i < 0 {
		return false
	}
	o.messages = slices.Delete(o.messages, i, i+1)
	return true
}

// unsentCalls returns the ids of the calls of which certainly no byte was written: the calls that were never in a
// batch and, if the write of a batch failed, the calls of that batch after the written bytes. Nothing is certain
// about the calls of a write in progress.
func (o *outbox) unsentCalls(failure *writeFailure) map[uint32]bool {
	unsent := map[uint32]bool{}
	for _, m := range o.messages {
		if m.kind == requestMessage {
			unsent[m.requestID] = true
		}
	}
	if failure != nil {
		for _, batched := range o.batch {
			if batched.start >= failure.written {
				unsent[batched.requestID] = true
			}
		}
	}
	return unsent
}

// writeLoop writes queued messages until the connection ends.
func (conn *routerConn) writeLoop() {
	defer conn.client.goroutines.Done()
	var buf []byte
	for range conn.outbox.wake {
		for {
			var open bool
			if buf, open = conn.nextBatch(buf[:0]); !open {
				return
			}
			if len(buf) == 0 {
				break
			}
			if !conn.writeBatch(buf) {
				return
			}
		}
	}
}

// writeBatch writes a batch. It returns false if the write failed, which ends the connection.
func (conn *routerConn) writeBatch(batch []byte) bool {
	c := conn.client
	start := c.now()
	written, err := conn.netConn.Write(batch)
	if err != nil {
		conn.end(err, &writeFailure{written: written})
		return false
	}
	took := c.now() - start
	c.mu.Lock()
	if conn.state != connEnded {
		conn.policyConn.WriteCompleted(len(batch), took)
	}
	conn.outbox.batch = conn.outbox.batch[:0]
	c.mu.Unlock()
	return true
}

// nextBatch encodes queued messages into bytes; open is false if the connection is closing.
func (conn *routerConn) nextBatch(buf []byte) (batch []byte, open bool) {
	c := conn.client
	c.mu.Lock()
	defer c.unlock()
	if conn.state.isClosing() {
		return buf, false
	}
	messages := conn.outbox.messages
	taken := 0
	for taken < len(messages) && len(buf) < maxBatchBytes {
		buf = conn.appendMessage(buf, messages[taken])
		taken++
	}
	rest := copy(messages, messages[taken:])
	clear(messages[rest:]) // otherwise the array would keep their calls reachable
	conn.outbox.messages = messages[:rest]
	c.runActions()
	return buf, true
}

func (conn *routerConn) appendMessage(buf []byte, m message) []byte {
	switch m.kind {
	case healthCheck:
		conn.lastID++
		return rpc.AppendHealthRequest(buf, uint64(conn.lastID))
	case cancelNotice:
		return rpc.AppendCancel(buf, uint64(m.requestID))
	default:
		return conn.appendRequest(buf, m)
	}
}

// appendRequest appends a request unless its call has ended or has too little time left.
func (conn *routerConn) appendRequest(buf []byte, m message) []byte {
	c, call := conn.client, m.call
	if conn.calls[m.requestID] != call {
		return buf
	}
	limit, ok := c.policy.PrepareWrite(c.now(), call.policyCall, len(buf)+len(call.request.Body)+requestOverhead)
	if !ok {
		return buf
	}
	conn.outbox.batch = append(conn.outbox.batch, batchedCall{requestID: m.requestID, start: len(buf)})
	call.txn = c.txnSource.Uint64()
	resumedTxn := uint64(0)
	if call.policyCall.IsClaim() {
		resumedTxn = call.claimedTxn
	}
	return rpc.AppendRequest(buf, uint64(m.requestID), &rpc.Request{
		Method:        c.classes.list[call.class].name,
		Txn:           call.txn,
		ResumedTxn:    resumedTxn,
		Account:       c.config.Account,
		TimeoutMillis: max(limit.Milliseconds(), 1),
		Retry:         m.retry,
		Item:          call.request.Item,
		Nth:           call.request.Part,
		Batch:         call.request.Group,
		CachedTag:     call.request.Have,
		Body:          call.request.Body,
	})
}
