package main

import (
	"time"

	"hillknot/internal/clock"
	"hillknot/internal/logging"
	"hillknot/internal/resources"
)

// shutdownPollInterval is the interval at which a shutdown checks whether every request is answered.
const shutdownPollInterval = 10 * time.Millisecond

// shutDown keeps accepting connections for Limits.ShutdownGrace, because clients that do not yet know of the shutdown still
// send requests. Then it waits until every request has its final answer, but for no longer than Limits.ShutdownTimeout in
// all. The timeout counts from start, a reading of package clock that may lie in the past, and the grace from now: a signal that
// waited for a process that was stopped has not been heard by clients either. If a successor has taken over, shutDown leaves new
// connections to it at once, and the open connections close as on standby.
func (r *router) shutDown(start time.Duration) {
	limits := r.cfg.Limits
	graceEnd := clock.Now() + limits.ShutdownGrace
	end := start + limits.ShutdownTimeout
	r.core.Post(func() { r.core.BeginShutdown(start) })
	for clock.Now() < end && !r.finishIfNothingOpen(graceEnd, end) {
		time.Sleep(shutdownPollInterval)
	}
	if !r.callCore(end+limits.ShutdownFlush, r.core.CloseCredit) {
		log.Error("event loop does not answer", logging.KeyDuration, clock.Now()-start)
	}
	log.Info("shutdown finished", append(usageAttributes(resources.Read()),
		logging.KeyDuration, clock.Now()-start, "has_successor", r.core.Snapshot().HasSuccessor)...)
	r.clients.Shutdown(end + limits.ShutdownFlush)
}

// finishIfNothingOpen reports whether a shutdown may end: every request has its final answer, and the grace is over or, with a
// successor, all client connections are closed. If so, the core rejects every request from then on. It waits for the core until
// end at the longest.
func (r *router) finishIfNothingOpen(graceEnd, end time.Duration) bool {
	if r.core.Snapshot().HasSuccessor {
		r.clients.StopAccepting()
		if r.clients.OpenConns() > 0 {
			return false
		}
	} else if clock.Now() <= graceEnd {
		return false
	}
	closed := make(chan bool, 1)
	return r.callCore(end, func() { closed <- r.core.CloseIfNothingOpen() }) && <-closed
}

// callCore has the core's goroutine call f, and reports whether the call has returned by a deadline, a reading of package clock.
func (r *router) callCore(deadline time.Duration, f func()) bool {
	returned := make(chan struct{})
	r.core.Post(func() {
		f()
		close(returned)
	})
	timeout := time.NewTimer(max(deadline-clock.Now(), 0))
	defer timeout.Stop()
	select {
	case <-returned:
		return true
	case <-timeout.C:
		return false
	}
}
