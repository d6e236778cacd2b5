package failover

import (
	"fmt"
	"testing"
	"time"
)

// fillEndedOrders has orders of clients end as served until the owner remembers as many as it may.
func (s *script) fillEndedOrders() {
	for range s.maxRecords {
		o := s.order(maxClientWait)
		s.finish(s.owner, s.owner.requests[o.txn], Outcome{Kind: Served, Body: []byte("done")})
		s.carryOutActions(s.owner)
	}
}

// An owner whose replica took it for lost ends all orders that it has not sent, each once, however many ended ones it
// remembers: to end an order can make it forget another one. It once looked at what it had just forgotten, and the process
// crashed.
func TestLostSessionForgetsEndedOrders(t *testing.T) {
	for _, c := range []struct{ maxRecords, open, sessions int }{
		{16, 1, 1}, {16, 5, 1}, {16, 40, 1}, {64, 5, 1}, {maxSimRecords, 5, 1}, {maxSimRecords, 60, 1},
		{16, 5, 2}, {16, 5, 3}, {64, 20, 3}, {maxSimRecords, 20, 3},
	} {
		t.Run(fmt.Sprintf("%d records, %d open, %d sessions", c.maxRecords, c.open, c.sessions), func(t *testing.T) {
			s := newBoundedScript(t, 4, c.maxRecords)
			var open []*simOrder
			for session := range c.sessions {
				if session > 0 { // orders that a replica may pass on stay with it, and its answers are lost
					replica, _ := s.replica()
					s.owner.coordinator.startSession(s.owner.clock(s.now), replica.name)
				}
				for range c.open {
					open = append(open, s.order(maxClientWait))
				}
				s.pass(50 * ms)
			}
			s.fillEndedOrders()
			s.pause(s.owner, time.Second)
			s.pass(2 * time.Second)
			for _, o := range open {
				if len(o.answers) > 1 || o.runs > 1 {
					t.Errorf("%s: told %v, ran %d times", o.txn, o.answers, o.runs)
				}
				own := s.owner.coordinator.owned.orders[o.txn]
				if own != nil && !own.state.ended() && own.replication.session.lost {
					t.Errorf("%s is still open, in a session that is lost", o.txn)
				}
			}
			if n := len(s.owner.coordinator.owned.ended); n > c.maxRecords {
				t.Errorf("%d ended orders are remembered, of %d", n, c.maxRecords)
			}
		})
	}
}
