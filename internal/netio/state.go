package netio

// connState is what a connection still does: whether its input reaches the handler, whether the handler may send,
// and what is to happen before it ends. Conn.mu guards it.
//
// That the transport has closed is not a state: the peer may close it in any of them. See sendQueue.closed.
type connState uint8

const (
	// stateOpen: input reaches the handler, and the handler may send.
	stateOpen connState = iota
	// stateAwaitingReplies: input is discarded. The handler may send the replies that are pending; after the last
	// of them the connection flushes.
	stateAwaitingReplies
	// stateFlushing: input is discarded, and nothing more may be sent. What is queued is written, then the
	// connection lingers.
	stateFlushing
	// stateShut: input is discarded, and nothing more may be sent. Whoever shut the connection closes it.
	stateShut
)

// closeStep is a step on the way of a connection to its end.
type closeStep uint8

const (
	stepAwaitReplies closeStep = iota // CloseAfterReplies, while replies are pending
	stepFlush                         // CloseAfterWrites
	stepShut                          // Close, the end of an idle connection, and CloseAfterReplies on its way to a flush
)

// after returns the state that follows a step.
func (s connState) after(step closeStep) connState {
	switch {
	case step == stepFlush:
		return stateFlushing
	case step == stepAwaitReplies && s != stateFlushing:
		return stateAwaitingReplies
	case step == stepShut && s == stateOpen:
		return stateShut
	}
	return s
}

// acceptsInput says whether what comes in reaches the handler.
func (s connState) acceptsInput() bool { return s == stateOpen }

// acceptsSends says whether the handler may send.
func (s connState) acceptsSends() bool { return s == stateOpen || s == stateAwaitingReplies }
