package failover

import (
	"fmt"
	"testing"
	"time"

	"hillknot/internal/testutil/simulation"
)

// fillEndedOrders has the owner accept and serve orders until it holds maxRecords ended ones.
func (s *script) fillEndedOrders() {
	for range s.maxRecords {
		o := s.order(maxClientWait)
		s.finish(s.owner, s.owner.requests[o.txn], Outcome{Kind: Served, Body: []byte("done")})
		s.carryOutActions(s.owner)
	}
}

// An owner whose replica considers it lost stops every order that it has not sent, each of them once, however many ended
// orders it holds. Stopping an order can make the owner forget another one; it once used an order that it had just
// forgotten, and the process crashed.
func TestLostSessionStopsUnsentOrdersOnce(t *testing.T) {
	for _, c := range []struct{ maxRecords, open, sessions int }{
		{16, 1, 1}, {16, 5, 1}, {16, 40, 1}, {64, 5, 1}, {maxSimRecords, 5, 1}, {maxSimRecords, 60, 1},
		{16, 5, 2}, {16, 5, 3}, {64, 20, 3}, {maxSimRecords, 20, 3},
	} {
		t.Run(fmt.Sprintf("%d records, %d open, %d sessions", c.maxRecords, c.open, c.sessions), func(t *testing.T) {
			s := newBoundedScript(t, 4, c.maxRecords)
			var open []*simOrder
			for session := range c.sessions {
				if session > 0 { // as after replies that were lost; orders that the replica may pass on stay in the old session
					replica, _ := s.replica()
					s.owner.coordinator.startSession(s.owner.clock(s.now), replica.name)
				}
				for range c.open {
					open = append(open, s.order(maxClientWait))
				}
				s.advance(50 * ms)
			}
			s.fillEndedOrders()
			s.pause(s.owner, time.Second)
			s.advance(2 * time.Second)
			for _, o := range open {
				if len(o.answers) > 1 || o.runs > 1 {
					t.Errorf("%s: client got the answers %v, order ran %d times", o.txn, o.answers, o.runs)
				}
				own := s.owner.coordinator.owned.orders[o.txn]
				if own != nil && !own.state.ended() && own.replication.session.lost {
					t.Errorf("%s is still open in a lost session", o.txn)
				}
			}
			if n := len(s.owner.coordinator.owned.ended); n > c.maxRecords {
				t.Errorf("owner holds %d ended orders, want at most %d", n, c.maxRecords)
			}
		})
	}
}

// The owner counts a lease as renewed only after a message that renews it at the replica. A replica also acknowledges an
// outcome from an owner that it considers lost; when the owner took that as a renewal, it sent an order that the replica had
// reported to a claimant as lost.
func TestOutcomeRenewsNoLease(t *testing.T) {
	s := newScript(t, 4)
	session := s.owner.coordinator.owned.session
	for _, step := range []step{stepNone, stepOwnerOnly, stepTransferable, stepMaySend, stepEnded} {
		now := s.owner.clock(s.now)
		session.leaseUntil = 0
		request := sentMessage{session: session.number, step: step, sentAt: now}
		s.owner.coordinator.updateSession(now, request, nil, reply{Kind: replyAcknowledged})
		if renewed := session.leaseUntil > 0; renewed != (step != stepEnded) {
			t.Errorf("acknowledged step %q renewed the lease: %t", step, renewed)
		}
	}
}

// A replica that ran the order of a paused owner and forgot its record too early does not acknowledge the owner's outcome
// NeverRan. Otherwise the client would be told that the order never ran, and would send it again.
func TestReplicaThatForgotDeniesRelease(t *testing.T) {
	s := newBoundedScript(t, 4, 16)
	o := s.order(2500 * ms)
	s.advance(50 * ms)
	replica, _ := s.replica()
	s.pause(s.owner, time.Second)
	s.advance(500 * ms) // the replica considers the owner lost, and takes over the order
	s.sendOrder(replica, o)
	s.serve(replica, o)
	for i := range s.maxRecords { // each claim's record replaces an older one
		claimed := clientOrder(fmt.Sprintf("unknown %d", i), time.Second)
		replica.coordinator.Claim(replica.clock(s.now), uint64(1000+i), claimed)
	}
	s.advance(s.owner.pausedUntil - stepTime - s.now)
	s.finish(s.owner, s.owner.requests[o.txn], Outcome{Kind: NeverRan}) // the owner's first step after its pause
	s.advance(400 * ms)
	s.checkAnswer(o, MayHaveRun, 1)
}

// Orders run at most once, and routers hold at most MaxRecords records, for bounds from the lowest one on and through faults
// of all kinds. The seeds that once broke a rule always run: 1430 (a replica that had forgotten the order), 2229 (a second
// replica after one that did not answer) and 4292 (a lease that an outcome renewed).
func TestOrdersRunAtMostOnceWithFewRecords(t *testing.T) {
	bounds := []int{16, 17, 24, 40, 80}
	regressionSeeds := []uint64{1430, 2229, 4292}
	simulation.ForEachSeed(*seeds+len(regressionSeeds), func(seed uint64) {
		if beyond := int(seed) - *seeds; beyond >= 0 {
			seed = regressionSeeds[beyond]
		}
		maxRecords := bounds[seed%uint64(len(bounds))]
		c, err := simulateBounded(t, seed, 10*time.Second, maxRecords)
		if err != nil {
			t.Errorf("%d records: %v", maxRecords, err)
			return
		}
		for _, r := range c.routers {
			if records := r.coordinator.Stats().Records; !r.down && records > maxRecords {
				t.Errorf("seed %d: %s holds %d records, want at most %d", seed, r.name, records, maxRecords)
			}
		}
	})
}

// FuzzRecordBounds looks for a seed and a bound of records that break a rule or crash the process.
func FuzzRecordBounds(f *testing.F) {
	for seed := range uint64(4) {
		f.Add(seed, uint16(16+seed))
	}
	f.Fuzz(func(t *testing.T, seed uint64, bound uint16) {
		maxRecords := 16 + int(bound)%maxSimRecords
		if _, err := simulateBounded(t, seed, 6*time.Second, maxRecords); err != nil {
			t.Errorf("%d records: %v", maxRecords, err)
		}
	})
}
