package core

import (
	"sync"
	"time"
)

// stallMonitor detects stalls of the process: it was stopped, got no processor time, or collected garbage. The loop
// iterates at regular intervals, so an iteration that comes too late shows a stall. Input that is read from sockets after
// a stall may have arrived at any time during it.
//
// Any goroutine may call its methods. All times are readings of the core's clock.
type stallMonitor struct {
	threshold time.Duration // iterations that lie further apart show a stall
	recovery  time.Duration // how long after a stall sockets may still hold input from it

	mu           sync.Mutex
	lastTick     time.Duration // the latest iteration
	stalledSince time.Duration // the last iteration before the latest stall
	unreadUntil  time.Duration // input that is read until then may have arrived during that stall
	detectedAt   time.Duration // when that stall was detected, which counts as its end
	seen         StallStatistics
}

// StallStatistics counts the stalls of the process.
type StallStatistics struct {
	Count           uint64
	Latest, Longest time.Duration
}

// isLate reports whether the process has stalled since the latest iteration, and records nothing.
func (m *stallMonitor) isLate(now time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return now-m.lastTick > m.threshold
}

// detect reports whether the process has stalled since the latest iteration, and records the stall.
func (m *stallMonitor) detect(now time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now-m.lastTick <= m.threshold {
		return false
	}
	if now > m.unreadUntil { // otherwise the stall before this one counts, as its input may still be unread
		m.stalledSince = m.lastTick
	}
	m.unreadUntil, m.detectedAt = now+m.recovery, now
	m.seen.Count++
	m.seen.Latest = now - m.lastTick
	m.seen.Longest = max(m.seen.Longest, m.seen.Latest)
	return true
}

// statistics returns the stalls that were detected so far.
func (m *stallMonitor) statistics() StallStatistics {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.seen
}

// endRecovery records that all input that arrived during the latest stall has been read.
func (m *stallMonitor) endRecovery(now time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unreadUntil = min(m.unreadUntil, now)
}

// tick records an iteration of the loop.
func (m *stallMonitor) tick(now time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastTick = now
}

// earliestSignal returns the earliest time at which a signal that is delivered now may have arrived. A signal does not
// wait in a socket, and how soon it is delivered after a stall is not known.
func (m *stallMonitor) earliestSignal(now time.Duration) time.Duration {
	m.mu.Lock()
	stalledSince, detectedAt := m.stalledSince, m.detectedAt
	m.mu.Unlock()
	if detectedAt > 0 && now <= detectedAt+m.recovery {
		return stalledSince
	}
	return m.earliestArrival(now)
}

// earliestArrival returns the earliest time at which input that is read now may have arrived.
func (m *stallMonitor) earliestArrival(now time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case now <= m.unreadUntil:
		return m.stalledSince
	case now-m.lastTick > m.threshold:
		return m.lastTick
	}
	return now
}
