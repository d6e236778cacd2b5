package netio

// connState is the state of a connection on this side: whether its input reaches the handler, whether the handler may
// send, and what has to happen before the connection closes. Conn.mu guards it.
//
// There is no state for a closed transport, because the peer may close it in any state. See sendQueue.closed.
type connState uint8

const (
	// stateOpen: input reaches the handler, and the handler may send.
	stateOpen connState = iota
	// stateAwaitingReplies: input is discarded. The handler may send the pending replies; after the last one the
	// connection flushes.
	stateAwaitingReplies
	// stateFlushing: input is discarded, and nothing more may be sent. The queued messages are written, then the
	// connection lingers.
	stateFlushing
	// stateClosing: input is discarded, and nothing more may be sent. The caller that set this state closes the
	// connection.
	stateClosing
)

// closeStep is a step in closing a connection.
type closeStep uint8

const (
	stepAwaitReplies closeStep = iota // CloseAfterReplies, while replies are pending
	stepFlush                         // CloseAfterWrites
	stepClose                         // Close, the closing of an idle connection, and CloseAfterReplies before it flushes
)

// after returns the state that follows a step.
func (s connState) after(step closeStep) connState {
	switch {
	case step == stepFlush:
		return stateFlushing
	case step == stepAwaitReplies && s != stateFlushing:
		return stateAwaitingReplies
	case step == stepClose && s == stateOpen:
		return stateClosing
	}
	return s
}

// acceptsInput reports whether input reaches the handler.
func (s connState) acceptsInput() bool { return s == stateOpen }

// acceptsSends reports whether the handler may send.
func (s connState) acceptsSends() bool { return s == stateOpen || s == stateAwaitingReplies }
