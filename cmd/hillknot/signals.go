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

// signals holds the channels of the signals that a router acts on. Each kind has its own channel, so that a series of one
// kind does not displace the other. A channel holds one signal, because a second one that waits would request nothing more.
type signals struct {
	terminate chan os.Signal
	reload    chan os.Signal
}

func newSignals() signals {
	return signals{terminate: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
}

// notifySignals returns channels that get the signals that this process receives from now on.
func notifySignals() signals {
	s := newSignals()
	signal.Notify(s.terminate, syscall.SIGTERM, os.Interrupt)
	signal.Notify(s.reload, syscall.SIGHUP)
	return s
}

// keySignal is the log attribute key for the signal that ended the process.
const keySignal = "signal"

// errTerminated is returned when SIGTERM or SIGINT ends a process before it has served a client.
var errTerminated = errors.New("terminated before serving")

// termination is the request to end the process. A goroutine of its own waits for the signal, so that the request is
// noticed while other goroutines wait.
type termination struct {
	requested chan struct{} // closed once the signal has arrived
	// Valid once requested is closed.
	signal      os.Signal
	requestedAt time.Duration // earliest time at which the signal may have arrived, on package clock

	core atomic.Pointer[core.Core] // knows whether the process was paused; nil until the core is created
}

func newTermination() *termination { return &termination{requested: make(chan struct{})} }

// watch waits for a signal on terminate and then marks the termination as requested. It returns early if stop is closed.
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
