package core

import (
	"testing"
	"time"

	"hillknot/balancer"
)

// What is read after a stall counts from the last turn before it, until the sockets have surely been read;
// everything else counts from when it is read.
func TestStallMonitor(t *testing.T) {
	const ms = time.Millisecond
	m := stallMonitor{threshold: 70 * ms, recovery: 100 * ms}
	steps := []struct {
		name    string
		at      time.Duration
		turn    bool // the loop turns then
		stalled bool
		arrival time.Duration // before that turn
	}{
		{"a turn in time", 1050 * ms, true, false, 1050 * ms},
		{"read between turns", 1100 * ms, false, false, 1100 * ms},
		{"a turn that is late, but not by much", 1120 * ms, true, false, 1120 * ms},
		{"read after a stop, before the loop turns", 1820 * ms, false, false, 1120 * ms},
		{"the turn after the stop", 1821 * ms, true, true, 1120 * ms},
		{"read right after it", 1822 * ms, false, false, 1120 * ms},
		{"the next turn", 1871 * ms, true, false, 1120 * ms},
		{"a second stop before the first is over", 1991 * ms, true, true, 1871 * ms},
		{"read once the sockets are read", 2092 * ms, false, false, 1991 * ms},
		{"turns again", 2100 * ms, true, true, 1991 * ms},
		{"all is over", 2250 * ms, false, false, 2100 * ms},
	}
	m.tick(1000 * ms)
	for _, s := range steps {
		if got := m.earliestArrival(s.at); got != s.arrival {
			t.Errorf("%s: what is read counts from %v, want %v", s.name, got, s.arrival)
		}
		if !s.turn {
			continue
		}
		if got := m.detect(s.at); got != s.stalled {
			t.Errorf("%s: a stall is seen: %v, want %v", s.name, got, s.stalled)
		}
		m.tick(s.at)
	}
}

// A second stall that begins before the first is over leaves what came in during the first as old as it was.
func TestStallsInARow(t *testing.T) {
	const ms = time.Millisecond
	m := stallMonitor{threshold: 70 * ms, recovery: 100 * ms}
	m.tick(1000 * ms)
	m.detect(1500 * ms)
	m.tick(1500 * ms)
	m.detect(1580 * ms)
	m.tick(1580 * ms)
	if got := m.earliestArrival(1590 * ms); got != 1000*ms {
		t.Errorf("what is read counts from %v, want 1s", got)
	}
}

// Of what the module decided in one go, some may be sent only after a stall: a purge that was told meanwhile counts
// for it, too.
func TestPurgeBetweenTwoOfOneDecision(t *testing.T) {
	r := newHarness(t)
	r.submit("page", 3*second)
	first := r.outstanding[0]
	r.core.PurgeObject(7, r.now-100*time.Millisecond)
	id := r.core.NewID()
	r.core.requests.open[id] = &request{Request: Request{Txn: "t", Class: "page", Object: 7, Reply: r.reply}, id: id, acceptedAt: r.now, deadline: r.now + second, clientDeadline: r.now + second}
	r.core.execute(balancer.SendAttempt{ID: id, Endpoint: first.Decision.Endpoint, Source: first.Decision.Source}) // decided before the purge
	if late := r.outstanding[1]; late.Decision.MaxAge == 0 || late.Decision.MaxAge > 100*time.Millisecond {
		t.Errorf("a copy of %v will do, 100 ms after a purge", late.Decision.MaxAge)
	}
}

// A stall in the middle of a turn, between a decision and the write: what the journal told meanwhile counts for
// what is about to be written. A purge bars copies up to its own time, not up to the beginning of the turn; a drain
// keeps it back.
func TestStallBetweenDecisionAndWrite(t *testing.T) {
	for _, told := range []string{"purge", "drain"} {
		r := newHarness(t)
		r.core.SetBacklogCheck(func() bool { return false })
		r.submit("page", 3*second)
		a := r.outstanding[0]
		r.now += 600 * time.Millisecond // the process stands still
		r.core.PostWatchEvent(func() {
			if told == "purge" {
				r.core.PurgeObject(7, r.now-100*time.Millisecond)
				return
			}
			r.core.UpdateEndpoints([]EndpointUpdate{{ID: a.Endpoint.ID, Addr: a.Endpoint.Addr, Kind: "box", Zone: "edge", State: balancer.Draining}})
		})
		status, _ := r.core.Permit(a)
		if told == "drain" && status != balancer.ConnectFailed {
			t.Errorf("written to a page cache that drains: %d", status)
		}
		if told == "purge" && (status != balancer.OK || a.Decision.MaxAge > 100*time.Millisecond || a.Decision.MaxAge < 99*time.Millisecond) {
			t.Errorf("a copy of %v will do, 100 ms after a purge; status %d", a.Decision.MaxAge, status)
		}
	}
}
