package netio

import (
	"context"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/netpoll"

	"hillknot/internal/clock"
	"hillknot/internal/logging"
)

// This file makes netpoll's poller wait for the handlers of its connections.
//
// Netpoll reads a socket whenever bytes have arrived, into a buffer without a limit, and runs the handler in another
// goroutine. A peer that sends faster than the handler works would fill the memory. With the gate, the poller reads nothing
// while a handler works, so a connection holds no more than one read, and what can't be taken yet stays in the sender's socket.

// The poller waits for a handler for maxHandlerChecks times handlerCheckInterval at most. Handlers don't block, so that only
// bounds the harm of one that does. Checks are counted instead of the time, so that a stop of the process counts as one of them.
const (
	handlerCheckInterval = 100 * time.Millisecond
	maxHandlerChecks     = 10
)

// handlerPanics counts the panics of handlers.
var handlerPanics atomic.Uint64

// HandlerPanics returns how many handlers have panicked in this process. Each panic ended one connection.
func HandlerPanics() uint64 { return handlerPanics.Load() }

// gate is the gate of the poller of this process.
var gate pollerGate

// init configures netpoll, which must happen before its poller starts. A single poller runs all connections, as the gate
// requires.
func init() {
	err := netpoll.Configure(netpoll.Config{PollerNum: 1, Runner: gate.run, LoggerOutput: netpollLog{}})
	if err != nil {
		panic(err) // can't happen: one poller is a valid number
	}
}

// pollerGate runs the tasks that netpoll starts for its connections, and makes the poller wait for each. A task calls the handler
// of one connection, and runs netpoll's cleanup if the connection has closed.
type pollerGate struct {
	mu      sync.Mutex
	current *gateTask // the latest task; nil: no connection may claim it any more
	latest  *gateTask // the latest task, which may still close its connection
}

// gateTask is a task that the poller waits for.
type gateTask struct {
	released    chan struct{} // closed when the poller may go on
	releaseOnce sync.Once
	ended       chan struct{} // closed when the task has ended
}

// yieldAfter is the time that a task may take before the poller lets other goroutines run: the core and the writers must not wait
// for a whole series of long tasks.
const yieldAfter = 200 * time.Microsecond

// release makes the poller go on.
func (t *gateTask) release() { t.releaseOnce.Do(func() { close(t.released) }) }

// run runs a task in a goroutine of its own, and returns when the task has ended or was released. Before that, it waits for the
// end of the task before: connections must not be accepted faster than they are closed.
func (g *pollerGate) run(_ context.Context, task func()) {
	begun := clock.Now()
	t := &gateTask{released: make(chan struct{}), ended: make(chan struct{})}
	g.mu.Lock()
	previous := g.latest
	g.current, g.latest = t, t
	g.mu.Unlock()
	if previous != nil {
		await(previous.ended)
	}
	go func() {
		defer close(t.ended)
		defer t.release()
		defer recoverHandler()
		task()
	}()
	await(t.released)
	t.release()
	if clock.Now()-begun > yieldAfter {
		runtime.Gosched()
	}
}

// await waits until a channel is closed, or for handlerCheckInterval maxHandlerChecks times.
func await(closed <-chan struct{}) {
	select {
	case <-closed:
		return
	default:
	}
	timeout := time.NewTimer(handlerCheckInterval)
	defer timeout.Stop()
	for range maxHandlerChecks {
		select {
		case <-closed:
			return
		case <-timeout.C:
			timeout.Reset(handlerCheckInterval)
		}
	}
}

// claim returns the task that the calling handler runs in, or nil if that is not known. The poller starts one task after the
// other, so the first handler that runs after the start of a task belongs to it, unless an earlier task was released before its
// end.
func (g *pollerGate) claim() *gateTask {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.current
	g.current = nil
	return t
}

// recoverHandler logs and counts a panic of a handler. Netpoll has closed its connection by then, so the other connections are
// served on.
func recoverHandler() {
	if cause := recover(); cause != nil {
		reportHandlerPanic(cause)
	}
}

// recoverAndClose is recoverHandler for a goroutine that netpoll does not know.
func (c *Conn) recoverAndClose() {
	if cause := recover(); cause != nil {
		reportHandlerPanic(cause)
		c.Close()
	}
}

func reportHandlerPanic(cause any) {
	handlerPanics.Add(1)
	log.Error("connection handler panicked", logging.KeyError, cause, "stack", string(debug.Stack()))
}
