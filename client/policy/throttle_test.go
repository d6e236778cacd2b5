package policy

import (
	"testing"
	"time"
)

// Retries do not add to an overload in which routers reject all calls, and the end of the overload is detected within
// a second.
func TestThrottleLimitsAttemptsInOverloadAndRecovers(t *testing.T) {
	for name, retryAfter := range map[string]time.Duration{"without Retry-After": 0, "with Retry-After": 500 * ms} {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(t, 2, nil)
			if calm := s.startEvery(5*ms, 3*time.Second); s.share(calm[:590], Served) < 1 {
				t.Errorf("%v of the calls served before the overload", s.share(calm, Served))
			}

			s.setResponses(reject(retryAfter))
			before := s.policy.Counts()
			overload := s.startEvery(5*ms, 10*time.Second)
			if tries := float64(s.policy.Counts().Tries-before.Tries) / float64(len(overload)); tries > 0.3 {
				t.Errorf("%.2f attempts per call during the overload", tries)
			}

			s.setResponses(serveAfter(10 * ms))
			s.startEvery(5*ms, time.Second)
			after := s.startEvery(5*ms, time.Second)
			s.run(time.Second)
			if share := s.share(after, Served); share < 0.95 {
				t.Errorf("%.2f of the calls served a second after the overload", share)
			}

			for _, call := range overload { // each call ended at once or after the Retry-After
				took := s.endedAt[call] - (call.deadline - 3*time.Second)
				if s.outcomes[call].Verdict == Refused && took > 2*retryAfter+2*s.settings.BackoffMost {
					t.Fatalf("call refused only after %v", took)
				}
			}
		})
	}
}
