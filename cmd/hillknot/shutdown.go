package main

import (
	"time"

	"hillknot/internal/clock"
	"hillknot/internal/logging"
)

// shutdownPollInterval is how often a shutdown looks whether all is answered.
const shutdownPollInterval = 10 * time.Millisecond

// shutDown goes on accepting for the grace period, in which clients that have not yet heard of the end still send
// requests. Then it waits until every request has its final answer, for Limits.ShutdownTimeout in all. Both count from start,
// which may be over. Where a successor has taken over, new connections are left to it at once, and the open ones close as on
// standby.
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
	log.Info("shutdown finished", logging.KeyDuration, clock.Now()-start, "has_successor", r.core.Snapshot().HasSuccessor)
	r.clients.Shutdown(start + limits.ShutdownTimeout + limits.ShutdownFlush)
}

// finishIfNothingOpen tells whether a shutdown that began at start may end: nothing more is owed to any client.
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
