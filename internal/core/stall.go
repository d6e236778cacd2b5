package core

import (
	"sync"
	"time"
)

// stallMonitor detects that the process stood still: it was stopped, got no processor time, or collected garbage.
// The loop iterates at regular intervals; an iteration that comes too late shows a stall. What is read from sockets
// after a stall may have come in at any time during it.
//
// Any goroutine may call its methods. All times are readings of the core's clock.
type stallMonitor struct {
	threshold time.Duration // iterations that lie further apart show a stall
	recovery  time.Duration // how long after a stall sockets may still hold what came in during it

	mu           sync.Mutex
	lastTick     time.Duration // the latest iteration
	stalledSince time.Duration // the last iteration before the latest stall
	unreadUntil  time.Duration // what is read until then may have come in during that stall
	detectedAt   time.Duration // when that stall was detected, which is its end
}

// detect reports whether the process stood still since the latest iteration.
func (m *stallMonitor) detect(now time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now-m.lastTick <= m.threshold {
		return false
	}
	if now > m.unreadUntil { // else the stall before this one counts, as its input may be unread still
		m.stalledSince = m.lastTick
	}
	m.unreadUntil, m.detectedAt = now+m.recovery, now
	return true
}

// endRecovery notes that all that came in during the latest stall has been read.
func (m *stallMonitor) endRecovery(now time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unreadUntil = min(m.unreadUntil, now)
}

// tick notes an iteration of the loop.
func (m *stallMonitor) tick(now time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastTick = now
}

// earliestSignal returns the earliest moment at which a signal may have come that is handed on now. A signal waits
// in no socket, and how soon it is handed on after a stall is not known.
func (m *stallMonitor) earliestSignal(now time.Duration) time.Duration {
	m.mu.Lock()
	stalledSince, detectedAt := m.stalledSince, m.detectedAt
	m.mu.Unlock()
	if detectedAt > 0 && now <= detectedAt+m.recovery {
		return stalledSince
	}
	return m.earliestArrival(now)
}

// earliestArrival returns the earliest moment at which what is read now may have come in.
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
