package core

import (
	"testing"
	"time"

	"hillknot/balancer"
)

// Input that is read after a stall counts from the last iteration before the stall, until the sockets have surely been
// read. All other input counts from the time at which it is read.
func TestStallMonitor(t *testing.T) {
	const ms = time.Millisecond
	m := stallMonitor{threshold: 70 * ms, recovery: 100 * ms}
	steps := []struct {
		name     string
		at       time.Duration
		iterates bool // the loop iterates at that time
		stalled  bool
		arrival  time.Duration // earliest arrival, as of before that iteration
	}{
		{"an iteration in time", 1050 * ms, true, false, 1050 * ms},
		{"read between iterations", 1100 * ms, false, false, 1100 * ms},
		{"an iteration that is late, but not by much", 1120 * ms, true, false, 1120 * ms},
		{"read after a stop, before the loop iterates", 1820 * ms, false, false, 1120 * ms},
		{"the iteration after the stop", 1821 * ms, true, true, 1120 * ms},
		{"read right after that iteration", 1822 * ms, false, false, 1120 * ms},
		{"the next iteration", 1871 * ms, true, false, 1120 * ms},
		{"an iteration after a second stop that began during the recovery from the first", 1991 * ms, true, true, 1871 * ms},
		{"read after the recovery from the second stop", 2092 * ms, false, false, 1991 * ms},
		{"an iteration after a third stop", 2100 * ms, true, true, 1991 * ms},
		{"read after the recovery from the third stop", 2250 * ms, false, false, 2100 * ms},
	}
	m.tick(1000 * ms)
	for _, s := range steps {
		if got := m.earliestArrival(s.at); got != s.arrival {
			t.Errorf("%s: input counts from %v, want %v", s.name, got, s.arrival)
		}
		if !s.iterates {
			continue
		}
		if got := m.detect(s.at); got != s.stalled {
			t.Errorf("%s: stall detected: %v, want %v", s.name, got, s.stalled)
		}
		m.tick(s.at)
	}
}

// If a second stall begins during the recovery from the first, input that may have arrived during the first stall still
// counts from the start of the first.
func TestStallDuringRecovery(t *testing.T) {
	const ms = time.Millisecond
	m := stallMonitor{threshold: 70 * ms, recovery: 100 * ms}
	m.tick(1000 * ms)
	m.detect(1500 * ms)
	m.tick(1500 * ms)
	m.detect(1580 * ms)
	m.tick(1580 * ms)
	if got := m.earliestArrival(1590 * ms); got != 1000*ms {
		t.Errorf("input counts from %v, want 1s", got)
	}
}

// After a stall between a decision and the write of its attempt, the watch events that came in meanwhile apply to that
// attempt. A purge excludes copies up to its own time, not up to the start of the iteration; a drain stops the attempt.
func TestWatchEventsOfStallApplyBeforeWrite(t *testing.T) {
	for _, event := range []string{"purge", "drain"} {
		h := newHarness(t)
		h.core.SetBacklogCheck(func() bool { return false })
		h.submit("page", 3*second)
		a := h.outstanding[0]
		h.now += 600 * time.Millisecond // the process stalls
		h.core.PostWatchEvent(func() {
			if event == "purge" {
				h.core.PurgeObject(7, h.now-100*time.Millisecond)
				return
			}
			h.core.UpdateEndpoints(draining(a.Endpoint.ID, a.Endpoint.Addr))
		})
		status, _ := h.core.Permit(a)
		if event == "drain" && status != balancer.ConnectFailed {
			t.Errorf("written to a draining page cache: status %d", status)
		}
		age := a.Decision.MaxAge
		if event == "purge" && (status != balancer.OK || age > 100*time.Millisecond || age < 99*time.Millisecond) {
			t.Errorf("a copy %v old is accepted, 100 ms after a purge; status %d", age, status)
		}
	}
}
