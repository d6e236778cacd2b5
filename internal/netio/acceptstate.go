package netio

import "sync/atomic"

// acceptState is whether a listener accepts connections.
type acceptState int32

const (
	// accepting: the poller calls Accept while connections wait.
	accepting acceptState = iota
	// acceptPaused: the listener is off its poller after an error. Netpoll's next call of Accept, in a goroutine of
	// its own, is the one that is to have it back.
	acceptPaused
	// acceptStopped: the listener leaves new connections to others who have the same socket, for good.
	acceptStopped
	// acceptStoppedPaused: it was stopped while it was paused. Netpoll has to be told to have it back before it can
	// be told that it is closed.
	acceptStoppedPaused
)

// stopped is the state that follows from a call of stop.
func (s acceptState) stopped() acceptState {
	if s == acceptPaused || s == acceptStoppedPaused {
		return acceptStoppedPaused
	}
	return acceptStopped
}

// paused is the state that follows from an error of accept(2) that lasts.
func (s acceptState) paused() acceptState {
	if s == acceptStopped || s == acceptStoppedPaused {
		return acceptStoppedPaused
	}
	return acceptPaused
}

// resumed is the state that follows from a call of Accept.
func (s acceptState) resumed() acceptState {
	switch s {
	case acceptPaused:
		return accepting
	case acceptStoppedPaused:
		return acceptStopped
	}
	return s
}

// acceptSwitch holds the state of a listener, which any goroutine may change.
type acceptSwitch struct{ value atomic.Int32 }

func (a *acceptSwitch) load() acceptState { return acceptState(a.value.Load()) }

// isStopped says whether stop was called.
func (a *acceptSwitch) isStopped() bool {
	s := a.load()
	return s == acceptStopped || s == acceptStoppedPaused
}

func (a *acceptSwitch) stop()  { a.change(acceptState.stopped) }
func (a *acceptSwitch) pause() { a.change(acceptState.paused) }

// resume ends a pause and returns the state before.
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
