package discovery

import (
	"slices"
	"time"

	"hillknot/internal/clock"
	"hillknot/internal/logging"
)

// callSet holds the open calls to one address of the discovery service.
//
// The service may take long to answer a call, and may never answer one of them. Neither shows before the other, so as long as no
// call is answered, the callSet starts a further call at regular intervals and leaves the earlier ones open. Once a call is
// answered, the callSet follows its stream and ends the other calls. Only the goroutine of Watcher.Run uses it.
type callSet struct {
	watcher *Watcher
	service target
	updated chan struct{} // holds a value if the status of a call has changed since it was last read
	open    []*call       // the earliest first; at most limits.DiscoveryCalls
	latest  *call         // the call that was started last, which may have ended; nil: none
	retry   backoff
	pause   time.Duration // between the end of latest, or the end of the time in which it should be answered, and the next call
}

func (w *Watcher) newCallSet(service target) *callSet {
	return &callSet{
		watcher: w,
		service: service,
		updated: make(chan struct{}, 1),
		retry:   newBackoff(w.limits.DiscoveryBackoffMin, w.limits.DiscoveryBackoffMax),
	}
}

// run calls the service until its address changes or stop is closed, and returns after all calls have ended.
func (s *callSet) run(stop <-chan struct{}) {
	defer s.close()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-s.updated:
		case <-timer.C:
		case <-s.service.changed:
			return
		case <-stop:
			return
		}
		now := clock.Now()
		timer.Reset(s.update(now) - now)
	}
}

// close ends all calls.
func (s *callSet) close() {
	s.watcher.setStream(nil)
	for _, c := range s.open {
		c.end(errCallDropped)
	}
}

// update starts and ends calls as their status requires, and returns when it is to be called next if no status changes.
func (s *callSet) update(now time.Duration) (next time.Duration) {
	s.endOverdue(now)
	s.removeEnded(now)
	if stream := s.answered(); stream != nil {
		s.follow(stream)
		return stream.silentAt(now)
	}
	s.watcher.setStream(nil)
	next = s.nextCallAt(now)
	if now >= next {
		if !s.watcher.queue.mayResume() {
			return now + s.watcher.limits.DiscoveryBackoffMin
		}
		s.start(now)
		next = s.nextCallAt(now)
	}
	for _, c := range s.open {
		next = min(next, c.startedAt+s.watcher.limits.DiscoveryCallTimeout)
	}
	return next
}

// endOverdue ends streams that have fallen silent and calls that were not answered for too long.
func (s *callSet) endOverdue(now time.Duration) {
	for _, c := range s.open {
		answered := c.status().phase == callAnswered
		switch {
		case answered && now >= c.silentAt(now):
			c.end(c.silenceError())
		case !answered && now >= c.startedAt+s.watcher.limits.DiscoveryCallTimeout:
			c.end(errUnanswered)
		}
	}
}

// removeEnded removes the calls that have ended, and logs why.
func (s *callSet) removeEnded(now time.Duration) {
	s.open = slices.DeleteFunc(s.open, func(c *call) bool {
		status := c.status()
		if status.phase != callEnded {
			return false
		}
		log.Warn("discovery connection lost", logging.KeyAddress, c.address, logging.KeyPosition, status.position,
			"reached_position", s.watcher.Position(), logging.KeyDuration, now-c.startedAt, logging.KeyError, status.err)
		return true
	})
}

// answered returns the earliest call that is answered; nil: none is.
func (s *callSet) answered() *call {
	for _, c := range s.open {
		if c.status().phase == callAnswered {
			return c
		}
	}
	return nil
}

// follow makes an answered call the stream of the watcher, and ends all other calls.
func (s *callSet) follow(stream *call) {
	for _, c := range s.open {
		if c != stream {
			c.end(errCallDropped)
		}
	}
	s.open, s.latest = append(s.open[:0], stream), stream
	s.watcher.setStream(stream)
}

// nextCallAt returns when the next call is due if no call is answered before: a pause after the latest call has ended, or should
// have opened its connection, or should have received something.
func (s *callSet) nextCallAt(now time.Duration) time.Duration {
	if s.latest == nil {
		return now
	}
	status := s.latest.status()
	pause := s.pause
	if status.received {
		pause = s.retry.reset()
	}
	switch status.phase {
	case callDialing:
		return status.progressAt + s.watcher.limits.ConnectTimeout + pause
	case callEnded:
		return status.progressAt + pause
	}
	return s.latest.silentAt(now) + pause
}

// start starts a call. If too many are open, it ends the second earliest: the earliest has waited longest for its answer, and is
// kept until limits.DiscoveryCallTimeout has passed, in case the service takes that long.
func (s *callSet) start(now time.Duration) {
	if len(s.open) > 0 {
		log.Warn("discovery call unanswered", logging.KeyAddress, s.service.address, logging.KeyDuration, now-s.open[0].startedAt,
			"open_calls", len(s.open))
	}
	if len(s.open) >= s.watcher.limits.DiscoveryCalls {
		s.open[1].end(errCallDropped)
		s.open = slices.Delete(s.open, 1, 2)
	}
	s.pause = s.retry.next()
	s.latest = s.watcher.startCall(s.service.address, s.updated)
	s.open = append(s.open, s.latest)
}
