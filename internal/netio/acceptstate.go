package netio

import "sync/atomic"

// acceptState is the state of a listener with respect to new connections.
type acceptState int32

const (
	// accepting: the poller calls Accept while connections are waiting.
	accepting acceptState = iota
	// acceptPaused: the listener was removed from its poller after an error, until Server.Serve resumes it.
	acceptPaused
	// acceptStopped: the listener accepts no more connections, and leaves them to other processes that share the socket.
	// This state is final.
	acceptStopped
)

// stopped returns the state that follows a call of stop.
func (s acceptState) stopped() acceptState { return acceptStopped }

// paused returns the state that follows a persistent error of accept(2).
func (s acceptState) paused() acceptState {
	if s == accepting {
		return acceptPaused
	}
	return s
}

// resumed returns the state that follows the end of a pause.
func (s acceptState) resumed() acceptState {
	if s == acceptPaused {
		return accepting
	}
	return s
}

// atomicAcceptState holds the state of a listener. Any goroutine may read or change it.
type atomicAcceptState struct{ value atomic.Int32 }

func (a *atomicAcceptState) load() acceptState { return acceptState(a.value.Load()) }

func (a *atomicAcceptState) stop()  { a.change(acceptState.stopped) }
func (a *atomicAcceptState) pause() { a.change(acceptState.paused) }

// resume ends a pause, and returns the state from before the call.
func (a *atomicAcceptState) resume() acceptState { return a.change(acceptState.resumed) }

// change replaces the state with the result of next, and returns the state from before the call.
func (a *atomicAcceptState) change(next func(acceptState) acceptState) acceptState {
	for {
		before := a.load()
		after := next(before)
		if before == after || a.value.CompareAndSwap(int32(before), int32(after)) {
			return before
		}
	}
}
