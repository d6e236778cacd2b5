package policy

import (
	"testing"
	"time"
)

// A router that fails or rejects quickly must not attract calls.
func TestOutlierGetsFewCalls(t *testing.T) {
	for name, respond := range map[string]func() simResponse{"router fails calls": fail(), "router rejects calls": reject(0)} {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(t, 4, nil)
			s.routers[2].respond = respond
			calls := s.startEvery(5*ms, 10*time.Second)
			if share, n := s.share(calls, Served), len(s.routers[2].received); share < 0.97 || n > 120 {
				t.Errorf("%.3f of the calls served, %d of %d sent to the outlier", share, n, len(calls))
			}
		})
	}
}

// Only as many routers are ejected as EjectShare allows, so that enough are left.
func TestEjectionKeepsHalfOfTheRouters(t *testing.T) {
	s := newSimulation(t, 4, nil)
	s.setResponses(fail())
	s.startEvery(5*ms, 500*ms)
	ejected := 0
	for _, r := range s.policy.routers {
		if s.now < r.outlier.ejectedUntil {
			ejected++
		}
	}
	if ejected != 2 {
		t.Errorf("%d of 4 routers are ejected, want 2", ejected)
	}
}

// A retry goes to another router, even if that router is slower.
func TestRetryGoesToAnotherRouter(t *testing.T) {
	s := newSimulation(t, 2, func(s *Settings) { s.EjectAfter = 100 })
	s.routers[1].respond = serveAfter(200 * ms)
	s.startEvery(20*ms, time.Second)
	s.routers[0].respond = fail()
	calls := s.startEvery(20*ms, 100*ms)
	s.run(time.Second)
	if s.share(calls, Served) < 1 {
		t.Errorf("%.1f of the calls served while one of two routers fails", s.share(calls, Served))
	}
}
