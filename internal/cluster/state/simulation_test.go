package state

import (
	"cmp"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"hillknot/internal/testutil/simulation"
)

var seeds = flag.Int("seeds", 300, "number of seeds of the simulated clusters")

const (
	ms         = time.Millisecond
	stepTime   = 10 * ms
	clockDrift = 0.02

	testBudget   = "b"
	testEndpoint = "c"
)

// simulatedCluster holds routers in virtual time, on a network that loses, delays and repeats messages and whose links
// may be cut.
type simulatedCluster struct {
	t            *testing.T
	rnd          *rand.Rand
	now          time.Duration // true time; each router's clock differs
	routers      []*simulatedRouter
	inFlight     []delivery
	cutLinks     map[[2]int]bool // links, each from one router to another
	lossRate     float64         // fraction of messages that are lost
	spendTimes   []time.Duration // when each token of testBudget was spent, in true time
	limits       BudgetLimits
	processCount uint64 // processes that were started
}

type simulatedRouter struct {
	index         int
	state         *State
	clockRate     float64
	clockOffset   time.Duration
	process       uint64
	nextTick      time.Duration
	pausedUntil   time.Duration
	demand        float64 // tokens wanted per second
	untriedSpends float64 // tokens wanted and not tried yet
}

// delivery is a message in flight.
type delivery struct {
	at       time.Duration
	from, to int
	message  Message
}

func routerName(i int) string { return fmt.Sprintf("r%d", i) }

func (r *simulatedRouter) clock(now time.Duration) time.Duration {
	return r.clockOffset + time.Duration(float64(now)*r.clockRate)
}

func newSimulatedCluster(t *testing.T, seed uint64, size int) *simulatedCluster {
	t.Helper()
	c := &simulatedCluster{
		t:        t,
		rnd:      rand.New(rand.NewPCG(seed, 7)),
		cutLinks: map[[2]int]bool{},
		limits:   BudgetLimits{Rate: 20 * float64(size), Burst: 3 * float64(size)},
	}
	for i := range size {
		c.routers = append(c.routers, &simulatedRouter{index: i})
		c.start(c.routers[i])
	}
	return c
}

// start starts a process of a router, which has no state of the previous one.
func (c *simulatedCluster) start(r *simulatedRouter) {
	c.t.Helper()
	c.processCount++
	r.process, r.pausedUntil = c.processCount, 0
	r.clockRate = 1 + clockDrift*(2*c.rnd.Float64()-1)
	r.clockOffset = time.Duration(c.rnd.Int64N(int64(time.Hour)))
	settings := Defaults(routerName(r.index), r.process, len(c.routers))
	settings.ClockDrift = clockDrift
	r.state = newState(c.t, settings)
	r.nextTick = c.now
	r.state.OpenBudget(r.clock(c.now), testBudget, c.limits, 0)
}

func newState(t *testing.T, settings Settings) *State {
	t.Helper()
	s, err := New(settings)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func (c *simulatedCluster) run(d time.Duration) {
	for end := c.now + d; c.now < end; {
		c.step()
	}
}

// step advances time by stepTime.
func (c *simulatedCluster) step() {
	c.now += stepTime
	c.deliver()
	for _, r := range c.routers {
		if c.now < r.pausedUntil {
			continue
		}
		c.tickIfDue(r)
		c.spendDemand(r)
		for _, out := range r.state.OutgoingMessages() {
			c.transmit(r.index, out)
		}
	}
}

// deliver delivers the messages that are due. Those to a paused router wait until it runs again, as in its socket.
func (c *simulatedCluster) deliver() {
	c.sortInFlight()
	for len(c.inFlight) > 0 && c.inFlight[0].at <= c.now {
		d := c.inFlight[0]
		c.inFlight = c.inFlight[1:]
		r := c.routers[d.to]
		if c.now < r.pausedUntil {
			d.at = r.pausedUntil
			c.inFlight = append(c.inFlight, d)
			c.sortInFlight()
			continue
		}
		r.state.ReceiveMessage(r.clock(c.now), d.message)
	}
}

func (c *simulatedCluster) sortInFlight() {
	slices.SortStableFunc(c.inFlight, func(a, b delivery) int { return cmp.Compare(a.at, b.at) })
}

func (c *simulatedCluster) tickIfDue(r *simulatedRouter) {
	if c.now < r.nextTick {
		return
	}
	r.nextTick = c.now + 200*ms
	var peers []string
	for _, other := range c.routers {
		if other != r && !c.cutLinks[[2]int{other.index, r.index}] && c.now >= other.pausedUntil {
			peers = append(peers, routerName(other.index))
		}
	}
	r.state.SetPeers(peers, len(c.routers))
	r.state.Tick(r.clock(c.now))
}

func (c *simulatedCluster) spendDemand(r *simulatedRouter) {
	now := r.clock(c.now)
	for r.untriedSpends = min(r.untriedSpends+r.demand/100, 20); r.untriedSpends >= 1; r.untriedSpends-- {
		if r.state.CanSpend(now, testBudget) {
			r.state.Spend(now, testBudget)
			c.spendTimes = append(c.spendTimes, c.now)
		}
	}
}

// transmit sends a message to its recipients, sometimes twice, unless it is lost. Some messages arrive up to 6 s late.
func (c *simulatedCluster) transmit(from int, out OutgoingMessage) {
	for to := range c.routers {
		if to == from || out.Recipient != "" && out.Recipient != routerName(to) || c.cutLinks[[2]int{from, to}] {
			continue
		}
		for range 1 + c.rnd.IntN(10)/9 {
			if c.rnd.Float64() >= c.lossRate {
				delay := time.Duration(c.rnd.ExpFloat64() * float64(20*ms))
				c.inFlight = append(c.inFlight, delivery{at: c.now + delay, from: from, to: to, message: out.Message})
			}
		}
	}
	if c.rnd.IntN(50) == 0 && len(c.inFlight) > 0 {
		c.inFlight[len(c.inFlight)-1].at += time.Duration(c.rnd.Int64N(int64(6 * time.Second)))
	}
}

// injectFault draws a fault, or ends the faults of the network, and draws new demands of all routers.
func (c *simulatedCluster) injectFault() {
	size := len(c.routers)
	r := c.routers[c.rnd.IntN(size)]
	switch c.rnd.IntN(7) {
	case 0:
		simulation.Partition(c.rnd, size, c.cutLinks)
	case 1:
		c.cutFrom(r.index)
	case 2:
		c.isolate(r.index)
	case 3: // killed, and restarted at once or later
		c.start(r)
		if c.rnd.IntN(2) == 0 {
			r.pausedUntil = c.now + time.Duration(c.rnd.Int64N(int64(3*time.Second)))
		}
	case 4:
		r.pausedUntil = c.now + time.Duration(c.rnd.Int64N(int64(5*time.Second)))
	case 5:
		c.lossRate = c.rnd.Float64() / 2
	default:
		clear(c.cutLinks)
		c.lossRate = 0
	}
	for _, r := range c.routers {
		r.demand = c.rnd.ExpFloat64() * 30
	}
}

// cutFrom cuts all links from a router: it receives messages of the others, but they receive none of it.
func (c *simulatedCluster) cutFrom(router int) {
	for other := range c.routers {
		c.cutLinks[[2]int{router, other}] = true
	}
}

// isolate cuts all links from and to a router.
func (c *simulatedCluster) isolate(router int) {
	for other := range c.routers {
		c.cutLinks[[2]int{router, other}], c.cutLinks[[2]int{other, router}] = true, true
	}
}
