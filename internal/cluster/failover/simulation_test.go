package failover

import (
	"flag"
	"fmt"
	"sync"
	"testing"
	"time"

	"hillknot/internal/testutil/simulation"
)

var seeds = flag.Int("seeds", 60, "number of seeds of the simulated clusters")

// simulate runs the cluster of a seed with faults until faultsEnd, then 8 s without, and checks all open orders at each step.
func simulate(tb testing.TB, seed uint64, faultsEnd time.Duration) (*simCluster, error) {
	tb.Helper()
	return simulateBounded(tb, seed, faultsEnd, maxSimRecords)
}

// simulateBounded is like simulate, but each router holds at most maxRecords records.
func simulateBounded(tb testing.TB, seed uint64, faultsEnd time.Duration, maxRecords int) (*simCluster, error) {
	tb.Helper()
	c := newBoundedSimCluster(tb, seed, 3+int(seed%5), maxRecords)
	return c, c.playSeed(seed, faultsEnd)
}

// simulateHotRestarts is like simulate, but each third fault is a hot restart.
func simulateHotRestarts(tb testing.TB, seed uint64, faultsEnd time.Duration) (*simCluster, error) {
	tb.Helper()
	c := newSimCluster(tb, seed, 3+int(seed%5))
	c.hotRestarts = true
	return c, c.playSeed(seed, faultsEnd)
}

// playSeed runs the cluster as simulate does.
func (c *simCluster) playSeed(seed uint64, faultsEnd time.Duration) error {
	const (
		faultsBegin = 4 * time.Second
		settleTime  = 8 * time.Second
	)
	for c.now < faultsEnd+settleTime {
		c.step()
		if c.now > faultsBegin && c.now < faultsEnd && c.random.IntN(80) == 0 {
			c.injectFault()
		}
		if c.now == faultsEnd {
			c.healNetwork()
		}
		r := c.routers[c.random.IntN(len(c.routers))].takingClients()
		placing := c.random.IntN(6) == 0 && c.now < faultsEnd && c.now > time.Second
		if placing && !r.down && c.now >= r.pausedUntil {
			c.placeOrder(r, c.randomClientWait())
		}
		for _, o := range c.openOrders {
			if err := o.check(); err != nil {
				return fmt.Errorf("seed %d at %v: %w", seed, c.now, err)
			}
		}
	}
	return nil
}

// If a router is killed, at least 95 % of its orders that were not being sent get an answer other than MayHaveRun.
func TestUnsentOrdersOfKilledRouterAnswered(t *testing.T) {
	var mu sync.Mutex
	unsent, answered := 0, 0
	simulation.ForEachSeed(*seeds, func(seed uint64) {
		c, lost := simulateKill(t, seed)
		mu.Lock()
		defer mu.Unlock()
		for _, o := range c.orders {
			if err := o.check(); err != nil {
				t.Errorf("seed %d: %v", seed, err)
			}
			if !lost[o] {
				continue
			}
			unsent++
			if len(o.answers) == 1 && o.answers[0] != MayHaveRun {
				answered++
			}
		}
	})
	t.Logf("%d of %d unsent orders were answered", answered, unsent)
	if answered*100 < unsent*95 || unsent < *seeds/4 {
		t.Errorf("%d of %d unsent orders were answered", answered, unsent)
	}
}

// simulateKill runs the cluster of a seed and kills one router. It returns the orders of that router that were not being sent
// at that time and had at least 1600 ms left.
func simulateKill(tb testing.TB, seed uint64) (*simCluster, map[*simOrder]bool) {
	tb.Helper()
	const routers = 5
	c := newSimCluster(tb, seed, routers)
	c.noPauses = true
	victim := c.routers[seed%routers]
	killAt := 6*time.Second + time.Duration(seed%200)*stepTime
	unsent := map[*simOrder]bool{}
	for c.now < 14*time.Second {
		c.step()
		if c.now == killAt {
			victim.down = true
			for _, q := range victim.requests {
				if q.heldBack == nil && !q.permissionRequested && q.deadline-victim.clock(c.now) >= 1600*ms {
					unsent[q.order] = true
				}
			}
		}
		r := c.routers[c.random.IntN(routers)]
		if c.now < 7*time.Second && c.random.IntN(3) == 0 && !r.down {
			c.placeOrder(r, c.randomClientWait())
		}
	}
	return c, unsent
}

// No order runs twice and no two answers contradict each other, while routers are killed at any step or paused for longer than
// a lease, links are cut in all patterns, packets are lost, late or repeated, and clocks drift. On average at least
// one claimed order of each seed gets an answer other than MayHaveRun.
func TestOrdersRunAtMostOnce(t *testing.T) { checkOrdersRunAtMostOnce(t, simulate) }

// The same, while processes are also replaced by hot restarts. A successor that did not wait until its predecessor had left the cluster
// was certain that it would know of an order whose record its predecessor had (review, case 6).
func TestOrdersRunAtMostOnceThroughHotRestarts(t *testing.T) {
	checkOrdersRunAtMostOnce(t, simulateHotRestarts)
}

// checkOrdersRunAtMostOnce simulates the clusters of all seeds.
func checkOrdersRunAtMostOnce(t *testing.T, simulate func(testing.TB, uint64, time.Duration) (*simCluster, error)) {
	t.Helper()
	var mu sync.Mutex
	var answers [4]int // by kind
	claimed, unanswered := 0, 0
	simulation.ForEachSeed(*seeds, func(seed uint64) {
		c, err := simulate(t, seed, 14*time.Second)
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			t.Error(err)
			return
		}
		for _, o := range c.orders {
			for _, kind := range o.answers {
				answers[kind]++
			}
			if o.claims > 0 {
				claimed++
				if len(o.answers) == 0 || o.answers[0] == MayHaveRun {
					unanswered++
				}
			}
		}
		for _, r := range c.routers {
			checkBounded(t, seed, r)
		}
	})
	t.Logf("answered as may have run %d, served %d, failed %d, never run %d; of %d claimed orders, %d got no certain answer",
		answers[MayHaveRun], answers[Served], answers[Failed], answers[NeverRan], claimed, unanswered)
	if answers[Served] < 50**seeds || claimed < 5**seeds || claimed-unanswered < *seeds {
		t.Error("too few orders were served, claimed or answered for a meaningful test")
	}
}

// checkBounded fails the test if a router that is up holds more than its settings allow, or still has an open claim.
func checkBounded(t *testing.T, seed uint64, r *simRouter) {
	t.Helper()
	if r.down {
		return
	}
	s := r.coordinator.Stats()
	if s.OwnedOrders > maxSimRecords || s.Records > maxSimRecords || s.OpenClaims > 0 || s.MaxQueued > 512 {
		t.Errorf("seed %d: %s exceeds its bounds at the end: %+v", seed, r.name, s)
	}
}
