package failover

import (
	"maps"
	"slices"
	"testing"
	"time"
)

// Each scenario is a script of one difficult failure. Some also compare their timeline with a file in testdata.
func TestFailoverScenarios(t *testing.T) {
	for _, c := range []struct {
		name    string
		routers int
		run     func(s *script)
	}{
		{"owner killed while order waits: claimant runs it", 4, ownerKilledWhileOrderWaits},
		{"owner paused before permission arrives: not sent, may have run", 4, ownerPausedBeforePermission},
		{"claimed at two routers: runs once", 4, claimedAtTwoRouters},
		{"owner and replica killed after send: may have run", 4, ownerAndReplicaKilled},
		{"owner killed before replication: claimant runs it", 4, ownerKilledBeforeReplication},
		{"owner killed after outcome was replicated: claimant gets outcome", 4, ownerKilledAfterOutcome},
		{"owner killed and order unclaimed: replica runs it", 4, unclaimedOrderRunsAtReplica},
		{"reported as may have run: never run later", 4, mayHaveRunIsFinal},
		{"replica forgot ended order early: may have run", 3, replicaForgetsEarly},
		{"claim with another digest: may have run", 4, claimOfDifferentOrder},
		{"owner cut off from replica: next order uses another replica", 4, ownerCutOffFromReplica},
		{"replica full: order rejected unsent", 2, replicaFull},
	} {
		t.Run(c.name, func(t *testing.T) { c.run(newScript(t, c.routers)) })
	}
}

func ownerKilledWhileOrderWaits(s *script) {
	o := s.order(2 * time.Second)
	s.advance(50 * ms)
	s.kill(s.owner)
	_, other := s.replica()
	s.claim(other, o)
	s.advance(400 * ms)
	s.sendOrder(other, o)
	s.serve(other, o)
	s.checkAnswer(o, Served, 1)
	s.checkTimeline("killed-while-it-waits")
}

// pauseOwnerBeforePermission places an order, and pauses its owner while the replica's reply that permits the owner to send the
// order is on its way.
func pauseOwnerBeforePermission(s *script, pause time.Duration) *simOrder {
	o := s.order(2500 * ms)
	s.advance(50 * ms)
	s.owner.coordinator.RequestSendPermission(s.owner.clock(s.now), o.txn)
	s.advanceUntil(stepMaySend.String()+eventStepStored, 6*time.Second)
	s.pause(s.owner, pause)
	return o
}

func ownerPausedBeforePermission(s *script) {
	o := pauseOwnerBeforePermission(s, time.Second)
	_, other := s.replica()
	s.claim(other, o)
	s.advance(2 * time.Second) // the owner continues and sends nothing
	s.checkAnswer(o, MayHaveRun, 0)
	s.checkTimeline("stopped-with-the-right")
}

func claimedAtTwoRouters(s *script) {
	o := s.order(2500 * ms)
	s.advance(50 * ms)
	s.kill(s.owner)
	replica, other := s.replica()
	s.claim(other, o)
	s.claim(s.remainingRouter(replica, other), o)
	s.advance(400 * ms)
	for _, r := range s.routers[1:] {
		s.sendOrder(r, o)
		s.serve(r, o)
	}
	s.advance(time.Second)
	s.checkAnswer(o, Served, 1)
	s.checkTimeline("two-claims")
}

func ownerAndReplicaKilled(s *script) {
	o := s.order(2 * time.Second)
	s.advance(50 * ms)
	s.sendOrder(s.owner, o)
	replica, other := s.replica()
	s.kill(s.owner)
	s.kill(replica)
	s.claim(other, o)
	s.advance(time.Second)
	s.checkAnswer(o, MayHaveRun, 1)
	s.checkTimeline("owner-and-keeper-killed")
}

func ownerKilledBeforeReplication(s *script) {
	o := s.order(2 * time.Second)
	s.kill(s.owner)
	_, other := s.replica()
	s.claim(other, o)
	s.advance(100 * ms)
	s.sendOrder(other, o)
	s.serve(other, o)
	s.checkAnswer(o, Served, 1)
}

func ownerKilledAfterOutcome(s *script) {
	o := s.order(2 * time.Second)
	s.sendOrder(s.owner, o)
	o.connection++ // the client's connection has broken
	s.serve(s.owner, o)
	s.kill(s.owner)
	_, other := s.replica()
	s.claim(other, o)
	s.advance(200 * ms)
	s.checkAnswer(o, Served, 1)
}

func unclaimedOrderRunsAtReplica(s *script) {
	o := s.order(2 * time.Second)
	s.advance(50 * ms)
	s.kill(s.owner)
	replica, _ := s.replica()
	s.advance(600 * ms)
	s.sendOrder(replica, o)
	s.advance(200 * ms)
	if o.runs != 1 {
		s.t.Errorf("ran %d times:\n%s", o.runs, s.timelineOf(o))
	}
}

func mayHaveRunIsFinal(s *script) {
	o := pauseOwnerBeforePermission(s, 500*ms)
	replica, other := s.replica()
	s.claim(other, o)
	s.advance(500*ms - 30*ms)
	s.checkAnswer(o, MayHaveRun, 0)
	// The outcome is true but comes too late: a client was already told that the order may have run.
	s.finish(s.owner, s.owner.requests[o.txn], Outcome{Kind: NeverRan})
	s.advance(replyTime)
	s.forgetAnswer(o)
	s.claim(s.remainingRouter(replica, other), o)
	s.advance(300 * ms)
	s.checkAnswer(o, MayHaveRun, 0)
}

func replicaForgetsEarly(s *script) {
	o := s.order(2500 * ms)
	s.sendOrder(s.owner, o)
	s.serve(s.owner, o)
	s.forgetAnswer(o)
	overfillReplica(s) // the record of the first order is removed to make room
	s.advance(100 * ms)
	for _, txn := range slices.Sorted(maps.Keys(s.owner.requests)) {
		s.finish(s.owner, s.owner.requests[txn], Outcome{Kind: NeverRan})
	}
	s.advance(300 * ms)
	s.order(2 * time.Second)
	s.advance(100 * ms)
	s.kill(s.owner)
	_, other := s.replica()
	s.claim(other, o)
	s.advance(time.Second)
	s.checkAnswer(o, MayHaveRun, 1)
}

// overfillReplica places more orders than a replica may hold records.
func overfillReplica(s *script) {
	for range maxSimRecords + 10 {
		s.order(2 * time.Second)
	}
}

func claimOfDifferentOrder(s *script) {
	o := s.order(2 * time.Second)
	s.sendOrder(s.owner, o)
	s.serve(s.owner, o)
	s.forgetAnswer(o)
	_, other := s.replica()
	s.claimWithDigest(other, o, [32]byte{2})
	s.advance(time.Second)
	s.checkAnswer(o, MayHaveRun, 1)
}

func ownerCutOffFromReplica(s *script) {
	o := s.order(2 * time.Second)
	replica, _ := s.replica()
	s.advance(50 * ms)
	s.cutLinks[[2]int{s.owner.index, replica.index}] = true
	s.cutLinks[[2]int{replica.index, s.owner.index}] = true
	s.sendOrder(s.owner, o) // the replica's reply never comes
	s.advance(2 * time.Second)
	if o.runs > 1 {
		s.t.Errorf("ran %d times", o.runs)
	}
	next := s.order(2 * time.Second)
	s.advance(50 * ms)
	s.sendOrder(s.owner, next)
	s.serve(s.owner, next)
	s.checkAnswer(next, Served, 1) // another replica holds the later orders
}

func replicaFull(s *script) {
	overfillReplica(s)
	s.advance(100 * ms)
	last := s.order(2 * time.Second)
	s.sendOrder(s.owner, last)
	s.checkAnswer(last, NeverRan, 0)
}
