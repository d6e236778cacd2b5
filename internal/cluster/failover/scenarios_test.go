package failover

import (
	"maps"
	"slices"
	"testing"
	"time"
)

// The hard cases, each as a script. Some have their timeline in testdata.
func TestFailoverScenarios(t *testing.T) {
	for _, c := range []struct {
		name    string
		routers int
		run     func(s *script)
	}{
		{"killed while it waits", 4, ownerKilledWhileOrderWaits},
		{"stopped with the right in hand", 4, ownerPausedWithPermission},
		{"two claims at two routers", 4, claimedAtTwoRouters},
		{"owner and keeper killed at once", 4, ownerAndReplicaKilled},
		{"killed before anything was said", 4, ownerKilledBeforeReplication},
		{"outcome told and not answered", 4, ownerKilledAfterOutcome},
		{"nobody claims it", 4, unclaimedOrderRunsAtReplica},
		{"told as may have run for good", 4, mayHaveRunIsFinal},
		{"forgotten too soon", 3, replicaForgetsEarly},
		{"another's order", 4, claimOfDifferentOrder},
		{"partition between owner and keeper", 4, ownerCutOffFromReplica},
		{"table full", 2, replicaFull},
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

// pauseOwnerWithPermission places an order, and pauses its owner while the reply that grants the lease is on its way.
func pauseOwnerWithPermission(s *script, pause time.Duration) *simOrder {
	o := s.order(2500 * ms)
	s.advance(50 * ms)
	s.owner.coordinator.RequestSendPermission(s.owner.clock(s.now), o.txn)
	s.advanceUntil(stepMaySend.String()+eventStepStored, 6*time.Second)
	s.pause(s.owner, pause)
	return o
}

func ownerPausedWithPermission(s *script) {
	o := pauseOwnerWithPermission(s, time.Second)
	_, other := s.replica()
	s.claim(other, o)
	s.advance(2 * time.Second) // it wakes, and sends nothing
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
	o := pauseOwnerWithPermission(s, 500*ms)
	replica, other := s.replica()
	s.claim(other, o)
	s.advance(500*ms - 30*ms)
	s.checkAnswer(o, MayHaveRun, 0)
	// This is true, and too late: another client was told that the order may have run.
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
	overfillReplica(s) // the record of the first order makes room
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

// overfillReplica places more orders than a replica has room for.
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
	s.cut[[2]int{s.owner.index, replica.index}] = true
	s.cut[[2]int{replica.index, s.owner.index}] = true
	s.sendOrder(s.owner, o) // the replica's reply never comes
	s.advance(2 * time.Second)
	if o.runs > 1 {
		s.t.Errorf("ran %d times", o.runs)
	}
	next := s.order(2 * time.Second)
	s.advance(50 * ms)
	s.sendOrder(s.owner, next)
	s.serve(s.owner, next)
	s.checkAnswer(next, Served, 1) // another replica holds the orders that come after
}

func replicaFull(s *script) {
	overfillReplica(s)
	s.advance(100 * ms)
	last := s.order(2 * time.Second)
	s.sendOrder(s.owner, last)
	s.checkAnswer(last, NeverRan, 0)
}
