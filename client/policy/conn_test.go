package policy

import (
	"slices"
	"testing"
	"time"
)

// The clients of a restarted router reconnect spread over several seconds.
func TestReconnectsAreSpread(t *testing.T) {
	var reconnects []float64
	for seed := range uint64(300) {
		s := newSimulation(t, 1, func(s *Settings) { s.Seed = seed })
		r := s.routers[0]
		s.startEvery(50*ms, 500*ms)
		start := s.now
		r.down = true
		s.breakAll(r, callsLost)
		s.schedule(300*ms, func() { r.down = false })
		s.startEvery(50*ms, 6*time.Second)
		if i := slices.IndexFunc(r.accepted, func(at time.Duration) bool { return at > start }); i > 0 {
			reconnects = append(reconnects, (r.accepted[i] - start).Seconds())
		}
	}
	slices.Sort(reconnects)
	if len(reconnects) != 300 || reconnects[285]-reconnects[15] < 2 || reconnects[299] > 5 {
		t.Errorf("%d clients reconnected, after %.2f to %.2f s (5%% to 95%%)", len(reconnects), reconnects[15], reconnects[285])
	}
}

// If a router is lost, its calls are sent to another router at once.
func TestCallsOfALostRouterGoToAnother(t *testing.T) {
	s := newSimulation(t, 2, nil)
	s.startEvery(5*ms, 500*ms)
	s.routers[0].down = true
	s.breakAll(s.routers[0], callsUnsent)
	if calls := s.startEvery(5*ms, 500*ms); s.share(calls[:90], Served) < 1 {
		t.Errorf("%.2f of the calls served with one of two routers down", s.share(calls[:90], Served))
	}
}

// Routers that accept connections but never respond, or that accept no clients, get no calls.
func TestRoutersThatAreNotReadyGetNoCalls(t *testing.T) {
	s := newSimulation(t, 3, nil)
	silent, draining := s.routers[0], s.routers[1]
	silent.silent, draining.draining = true, true
	calls := s.startEvery(20*ms, 4*time.Second)
	if s.share(calls[:150], Served) < 1 || len(silent.received)+len(draining.received) > 0 {
		t.Errorf("%.2f of the calls served, %d at the silent and %d at the draining router",
			s.share(calls, Served), len(silent.received), len(draining.received))
	}
}

// All connections to a router that falls silent are closed.
func TestConnectionsToSilentRouterAreClosed(t *testing.T) {
	s := newSimulation(t, 2, nil)
	s.startEvery(20*ms, time.Second)
	s.routers[0].respond = serveAfter(time.Hour)
	s.startEvery(20*ms, 100*ms)
	before := len(s.policy.routers[0].conns)
	s.routers[0].silent, s.routers[0].down = true, true
	s.run(2500 * ms)
	if s.policy.Counts().Silent == 0 || len(s.policy.routers[0].conns) > 0 || before == 0 {
		t.Errorf("the silent router has %d connections, counts %+v", len(s.policy.routers[0].conns), s.policy.Counts())
	}
}

// A draining router answers its calls in flight, and gets no new calls.
func TestDrainingRouterKeepsCallsInFlight(t *testing.T) {
	s := newSimulation(t, 2, nil)
	s.setResponses(serveAfter(2800 * ms))
	calls := s.startEvery(50*ms, time.Second)
	r := s.routers[0]
	r.draining = true
	s.run(1500 * ms)
	before := len(r.received)
	s.startEvery(50*ms, 250*ms)
	s.run(3 * time.Second)
	if s.share(calls, Served) < 1 || len(r.received) != before || before == 0 {
		t.Errorf("%.2f of the calls served, %d new calls at the draining router", s.share(calls, Served), len(r.received)-before)
	}
}
