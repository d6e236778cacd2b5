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
// all. Both times count from start, a reading of package clock that may lie in the past. If a successor has taken over,
// shutDown leaves new connections to it at once, and the open connections close as on standby.
func (r *router) shutDown(start time.Duration) {
	limits := r.cfg.Limits
	r.core.Post(func() { r.core.BeginShutdown(start) })
	for clock.Now()-start < limits.ShutdownTimeout && !r.finishIfNothingOpen(start) {
		time.Sleep(shutdownPollInterval)
	}
	closed := make(chan struct{})
	r.core.Post(func() {
		r.core.CloseCredit()
		close(closed)
	})
	<-closed
	log.Info("shutdown finished", append(usageAttributes(resources.Read()),
		logging.KeyDuration, clock.Now()-start, "has_successor", r.core.Snapshot().HasSuccessor)...)
	r.clients.Shutdown(start + limits.ShutdownTimeout + limits.ShutdownFlush)
}

// finishIfNothingOpen reports whether a shutdown that began at start may end: every request has its final answer, and
// Limits.ShutdownGrace is over or, with a successor, all client connections are closed. If so, the core rejects every
// request from then on.
func (r *router) finishIfNothingOpen(start time.Duration) bool {
	if r.core.Snapshot().HasSuccessor {
		r.clients.StopAccepting()
		if r.clients.OpenConns() > 0 {
			return false
		}
	} else if clock.Now()-start <= r.cfg.Limits.ShutdownGrace {
		return false
	}
	idle := make(chan bool, 1)
	r.core.Post(func() { idle <- r.core.CloseIfNothingOpen() })
	return <-idle
}
