package main

import (
	"errors"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"hillknot/internal/clock"
	"hillknot/internal/core"
)

// signals are the signals that a router acts on. Each kind has a channel of its own, so that no series of one displaces
// the other. A channel holds one signal: a second one that waits would ask for nothing more.
type signals struct {
	terminate chan os.Signal
	reload    chan os.Signal
}

func newSignals() signals {
	return signals{terminate: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
}

// notifySignals returns the signals that this process receives from now on.
func notifySignals() signals {
	s := newSignals()
	signal.Notify(s.terminate, syscall.SIGTERM, os.Interrupt)
	signal.Notify(s.reload, syscall.SIGHUP)
	return s
}

// keySignal is the key of the signal that ended the process in log lines.
const keySignal = "signal"

// errTerminated says that SIGTERM or SIGINT ended a process before it served anybody.
var errTerminated = errors.New("terminated before serving")

// termination is the request to end the process. It is heard whatever the process waits for.
type termination struct {
	requested chan struct{} // closed once it has come
	// Valid once requested is closed.
	signal      os.Signal
	requestedAt time.Duration // the earliest moment at which it may have come, on package clock

	core atomic.Pointer[core.Core] // knows whether the process stood still; nil: it is not made yet
}

func newTermination() *termination { return &termination{requested: make(chan struct{})} }

// watch waits for the request until stop is closed.
func (t *termination) watch(terminate <-chan os.Signal, stop <-chan struct{}) {
	select {
	case sig := <-terminate:
		t.signal, t.requestedAt = sig, clock.Now()
		if c := t.core.Load(); c != nil {
			t.requestedAt = c.EarliestSignal()
		}
		close(t.requested)
	case <-stop:
	}
}
