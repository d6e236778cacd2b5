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

var update = flag.Bool("update", false, "write the drawn timelines anew")

// script is a cluster whose orders go as a test says. The first router owns the orders.
type script struct {
	*simCluster
	t      *testing.T
	owner  *simRouter
	events timeline.Timeline
}

// scriptStart is when scripts begin: all routers have been up for longer than any client waits.
const scriptStart = 4 * time.Second

// replyTime is enough for the messages between two routers, there and back.
const replyTime = 60 * ms

func newScript(t *testing.T, routers int) *script {
	t.Helper()
	return newBoundedScript(t, routers, maxSimRecords)
}

// newBoundedScript is newScript where routers hold at most so many records.
func newBoundedScript(t *testing.T, routers, maxRecords int) *script {
	t.Helper()
	s := &script{simCluster: newBoundedSimCluster(t, 1, routers, maxRecords), t: t}
	s.owner = s.routers[0]
	s.noPauses, s.scripted = true, true
	s.onEvent = func(e timeline.Event) { s.events = append(s.events, e) }
	s.advance(scriptStart)
	return s
}

// advance lets time pass.
func (s *script) advance(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.step()
	}
}

// advanceUntil lets time pass until something has happened, or a time has come.
func (s *script) advanceUntil(event string, end time.Duration) {
	happened := func(e timeline.Event) bool { return e.Action == event }
	for s.now < end && !slices.ContainsFunc(s.events, happened) {
		s.step()
	}
}

// order has the owner take an order, which waits for a connection.
func (s *script) order(timeLeft time.Duration) *simOrder {
	return s.placeOrder(s.owner, timeLeft)
}

// sendOrder has the router that has the order write it, as soon as it may.
func (s *script) sendOrder(r *simRouter, o *simOrder) {
	r.coordinator.RequestSendPermission(r.clock(s.now), o.txn)
	s.carryOutActions(r)
	s.advance(replyTime)
}

// serve has the endpoint answer the order, if the router has it.
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

// claim has the client claim an order at a router, beside whatever it has claimed before.
func (s *script) claim(r *simRouter, o *simOrder) { s.claimWithDigest(r, o, clientOrder("", 0).Digest) }

func (s *script) claimWithDigest(r *simRouter, o *simOrder, digest [32]byte) {
	order := clientOrder(o.txn, o.deadline-s.now)
	order.Digest = digest
	s.placeClaim(r, o, order)
	s.advance(30 * ms)
}

// forgetAnswer has the client ask as if it had got no answer yet.
func (s *script) forgetAnswer(o *simOrder) { o.answered, o.answers = false, nil }

// replica returns the router that holds the owner's orders, and another one that does not.
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

// remainingRouter returns the router of four that is neither the owner nor one of two others.
func (s *script) remainingRouter(a, b *simRouter) *simRouter {
	s.t.Helper()
	i := slices.IndexFunc(s.routers, func(r *simRouter) bool { return r != s.owner && r != a && r != b })
	return s.routers[i]
}

// checkTimeline compares the timeline with the one in testdata.
func (s *script) checkTimeline(name string) {
	s.t.Helper()
	var shown timeline.Timeline // without the leases of the start
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
		s.t.Errorf("%s: %v; drawn now:\n%s\nbefore:\n%s", path, err, got, want)
	}
}

// checkAnswer fails unless the client was told just this, and the order ran that often.
func (s *script) checkAnswer(o *simOrder, want OutcomeKind, runs int) {
	s.t.Helper()
	if len(o.answers) != 1 || o.answers[0] != want || o.runs != runs || o.ranTooLate {
		s.t.Errorf("told %v, ran %d times, too late: %t; want %v, %d:\n%s", o.answers, o.runs, o.ranTooLate, want, runs, s.timelineOf(o))
	}
}

func (s *script) timelineOf(o *simOrder) string { return timeline.Sort(s.events).About(o.txn).Draw() }
