package state

import (
	"testing"
	"time"
)

// Counters converge although messages arrive late, twice or through other routers, and keep the parts of processes that
// have ended.
func TestCountersConverge(t *testing.T) {
	for seed := range uint64(*seeds) / 10 {
		c := newSimulatedCluster(t, seed, 4)
		want := c.countWithRestarts("hits")
		for range 2 {
			c.exchangeFullStates()
		}
		first := c.routers[0].state.CounterTotal("hits")
		for _, r := range c.routers {
			got := r.state.CounterTotal("hits")
			allRemembered := c.processCount < 4+maxProcessesPerRouter
			if got != first || allRemembered && got != want {
				t.Fatalf("seed %d: %s has %d, r0 has %d, %d were counted", seed, routerName(r.index), got, first, want)
			}
		}
	}
}

// countWithRestarts increments a counter on random routers for 5 s, with losses and restarts, and returns how often.
func (c *simulatedCluster) countWithRestarts(key string) uint64 {
	c.lossRate = 0.3
	counted := uint64(0)
	for c.now < 5*time.Second {
		r := c.routers[c.rnd.IntN(4)]
		r.state.IncrementCounter(key, 1)
		counted++
		if c.rnd.IntN(200) == 0 {
			peer := c.routers[(r.index+1)%4]
			sendFullState(r.state, peer.state) // a peer has received its full state when the process ends
			c.start(r)
		}
		c.step()
	}
	return counted
}

func (c *simulatedCluster) exchangeFullStates() {
	for _, from := range c.routers {
		for _, to := range c.routers {
			sendFullState(from.state, to.state)
		}
	}
}

func sendFullState(from, to *State) {
	for _, m := range from.FullState(0) {
		to.ReceiveMessage(0, m)
	}
}

// A received message does not change the part of a counter that this process writes. The part of an earlier process of the
// same router is added to the total.
func TestOnlyOwnProcessWritesItsPartOfCounter(t *testing.T) {
	s := newState(t, Defaults("a", 5, 3))
	s.IncrementCounter("hits", 2)
	s.ReceiveMessage(0, Message{Kind: KindCounterUpdate, From: "a", Process: 5, Key: "hits", Value: 100})
	s.ReceiveMessage(0, Message{Kind: KindCounterUpdate, From: "a", Process: 4, Key: "hits", Value: 30})
	if n := s.CounterTotal("hits"); n != 32 {
		t.Errorf("got a total of %d, want 32", n)
	}
}
