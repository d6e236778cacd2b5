package netio

import "sync/atomic"

// acceptState is whether a listener accepts connections.
type acceptState int32

const (
	// accepting: the poller calls Accept while connections wait.
	accepting acceptState = iota
	// acceptPaused: the listener is off its poller after an error, until Server.Serve goes on.
	acceptPaused
	// acceptStopped: the listener leaves new connections to others who have the same socket, for good.
	acceptStopped
)

// stopped is the state that follows from a call of stop.
func (s acceptState) stopped() acceptState { return acceptStopped }

// paused is the state that follows from an error of accept(2) that lasts.
func (s acceptState) paused() acceptState {
	if s == accepting {
		return acceptPaused
	}
	return s
}

// resumed is the state that follows from the end of a pause.
func (s acceptState) resumed() acceptState {
	if s == acceptPaused {
		return accepting
	}
	return s
}

// acceptSwitch holds the state of a listener, which any goroutine may change.
type acceptSwitch struct{ value atomic.Int32 }

func (a *acceptSwitch) load() acceptState { return acceptState(a.value.Load()) }

func (a *acceptSwitch) stop()  { a.change(acceptState.stopped) }
func (a *acceptSwitch) pause() { a.change(acceptState.paused) }

// resume ends a pause, and returns the state before.
func (a *acceptSwitch) resume() acceptState { return a.change(acceptState.resumed) }

// change moves to the next state and returns the one before.
func (a *acceptSwitch) change(next func(acceptState) acceptState) acceptState {
	for {
		before := a.load()
		after := next(before)
		if before == after || a.value.CompareAndSwap(int32(before), int32(after)) {
			return before
		}
	}
}
