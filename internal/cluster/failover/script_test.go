package failover

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"hillknot/internal/testutil/timeline"
)

var update = flag.Bool("update", false, "rewrite the timelines in testdata")

// script is a cluster in which a test controls each step of the orders. The first router owns the orders.
type script struct {
	*simCluster
	t      *testing.T
	owner  *simRouter
	events timeline.Timeline
}

// scriptStart is the time at which scripts begin. By then all routers have been up for longer than any client waits.
const scriptStart = 4 * time.Second

// replyTime is long enough for a message between two routers and its reply.
const replyTime = 60 * ms

func newScript(t *testing.T, routers int) *script {
	t.Helper()
	return newBoundedScript(t, routers, maxSimRecords)
}

// newBoundedScript is like newScript, but each router holds at most maxRecords records.
func newBoundedScript(t *testing.T, routers, maxRecords int) *script {
	t.Helper()
	s := &script{simCluster: newBoundedSimCluster(t, 1, routers, maxRecords), t: t}
	s.owner = s.routers[0]
	s.noPauses, s.scripted = true, true
	s.onEvent = func(e timeline.Event) { s.events = append(s.events, e) }
	s.advance(scriptStart)
	return s
}

// advance runs the cluster for the duration d.
func (s *script) advance(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.step()
	}
}

// advanceUntil runs the cluster until the event has happened, or until the time end.
func (s *script) advanceUntil(event string, end time.Duration) {
	happened := func(e timeline.Event) bool { return e.Action == event }
	for s.now < end && !slices.ContainsFunc(s.events, happened) {
		s.step()
	}
}

// order has the owner accept a client's order, which then waits to be sent.
func (s *script) order(timeLeft time.Duration) *simOrder {
	return s.placeOrder(s.owner, timeLeft)
}

// sendOrder has the router r, which has the order, request permission and write the order once it is granted.
func (s *script) sendOrder(r *simRouter, o *simOrder) {
	r.coordinator.RequestSendPermission(r.clock(s.now), o.txn)
	s.carryOutActions(r)
	s.advance(replyTime)
}

// serve has the endpoint answer the order, if the router r has it.
func (s *script) serve(r *simRouter, o *simOrder) {
	if q := r.requests[o.txn]; q != nil {
		s.finish(r, q, Outcome{Kind: Served, Body: []byte("done")})
		s.carryOutActions(r)
	}
	s.advance(replyTime)
}

func (s *script) kill(r *simRouter) {
	s.recordFault(r, "killed")
	r.down = true
}

func (s *script) pause(r *simRouter, d time.Duration) {
	s.recordFault(r, "stopped")
	r.pausedUntil = s.now + d
}

// claim has the client claim an order at a router. Its earlier claims stay open.
func (s *script) claim(r *simRouter, o *simOrder) { s.claimWithDigest(r, o, clientOrder("", 0).Digest) }

func (s *script) claimWithDigest(r *simRouter, o *simOrder, digest [32]byte) {
	order := clientOrder(o.txn, o.deadline-s.now)
	order.Digest = digest
	s.placeClaim(r, o, order)
	s.advance(30 * ms)
}

// forgetAnswer removes the client's answers to the order, so that a later claim can be checked as if there were none.
func (s *script) forgetAnswer(o *simOrder) { o.answered, o.answers = false, nil }

// replica returns the router that holds records of the owner's orders, and another router that does not.
func (s *script) replica() (replica, other *simRouter) {
	for _, r := range s.routers[1:] {
		if r.name == s.owner.coordinator.Stats().Replica {
			replica = r
		} else {
			other = r
		}
	}
	return replica, other
}

// remainingRouter returns the one of four routers that is neither the owner nor a or b.
func (s *script) remainingRouter(a, b *simRouter) *simRouter {
	s.t.Helper()
	i := slices.IndexFunc(s.routers, func(r *simRouter) bool { return r != s.owner && r != a && r != b })
	return s.routers[i]
}

// checkTimeline compares the timeline with the file of that name in testdata, or rewrites the file if -update is set.
func (s *script) checkTimeline(name string) {
	s.t.Helper()
	var shown timeline.Timeline // without the start of sessions, and without the time before scriptStart
	for _, e := range s.events {
		if e.Time >= scriptStart && e.Action != eventReplicaChosen {
			shown = append(shown, e)
		}
	}
	got := []byte(timeline.Sort(shown).Draw("client", "r0", "r1", "r2", "r3"))
	path := filepath.Join("testdata", name+".txt")
	if *update {
		if err := os.WriteFile(path, got, 0o644); err != nil {
			s.t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil || !bytes.Equal(got, want) {
		s.t.Errorf("%s: error %v; timeline is now:\n%s\nwant:\n%s", path, err, got, want)
	}
}

// checkAnswer fails the test unless the client got exactly one answer, of the given kind, and the order ran the given number
// of times, none of them after a claim was settled as being sent.
func (s *script) checkAnswer(o *simOrder, want OutcomeKind, runs int) {
	s.t.Helper()
	if len(o.answers) != 1 || o.answers[0] != want || o.runs != runs || o.ranTooLate {
		s.t.Errorf("answers %v, ran %d times, too late: %t; want %v, %d times:\n%s",
			o.answers, o.runs, o.ranTooLate, want, runs, s.timelineOf(o))
	}
}

func (s *script) timelineOf(o *simOrder) string { return timeline.Sort(s.events).About(o.txn).Draw() }
