package failover

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"hillknot/internal/testutil/simulation"
	"hillknot/internal/testutil/timeline"
)

const (
	ms                 = time.Millisecond
	clockDrift         = 0.02
	maxClientWait      = 3 * time.Second
	maxSimRecords      = 300
	stepTime           = 5 * ms
	simTickInterval    = 20 * ms // the interval that routers use
	openOrderRetention = 6 * time.Second
	maxOverlap         = 3500 * ms // of the two processes of a hot restart
)

// simCluster simulates, in virtual time, routers with a minimal core each, a network that loses, delays and repeats packets
// and cuts links, and clients that claim the orders of a lost router at another router.
type simCluster struct {
	random     *rand.Rand
	now        time.Duration
	routers    []*simRouter
	network    []packetInFlight
	cutLinks   map[[2]int]bool // links that carry no packets, by the indices of sender and receiver
	lossRate   float64         // fraction of packets that are lost
	lastID     uint64          // last number given to a process or a claim
	orders     []*simOrder
	openOrders []*simOrder // orders that may still be answered or run
	timers     []timer
	onEvent    func(timeline.Event)
	noPauses   bool // no process pauses between ActionSend and writing
	scripted   bool // a script requests permissions and ends orders

	hotRestarts bool // some faults are hot restarts

	maxRecords int // Settings.MaxRecords of all routers
}

type packetInFlight struct {
	at       time.Duration
	from, to int
	data     []byte
}

// timer calls run at the time at, or after a pause of its router, unless the router's process has ended by then.
type timer struct {
	at      time.Duration
	router  *simRouter
	process uint64
	run     func()
}

func newSimCluster(tb testing.TB, seed uint64, routers int) *simCluster {
	tb.Helper()
	return newBoundedSimCluster(tb, seed, routers, maxSimRecords)
}

// newBoundedSimCluster is like newSimCluster, but each router holds at most maxRecords records.
func newBoundedSimCluster(tb testing.TB, seed uint64, routers, maxRecords int) *simCluster {
	tb.Helper()
	c := &simCluster{
		random:     rand.New(rand.NewPCG(seed, 11)),
		cutLinks:   map[[2]int]bool{},
		onEvent:    func(timeline.Event) {},
		maxRecords: maxRecords,
	}
	for i := range routers {
		c.routers = append(c.routers, &simRouter{index: i, name: fmt.Sprintf("r%d", i), place: fmt.Sprint("p", i%3)})
	}
	for _, r := range c.routers {
		c.start(r)
	}
	return c
}

// start starts a new process of a router, with a random clock rate and clock offset.
func (c *simCluster) start(r *simRouter) {
	c.lastID++
	r.process, r.pausedUntil, r.down = c.lastID, 0, false
	r.clockRate = 1 + clockDrift*(2*c.random.Float64()-1)
	r.clockOffset = time.Duration(c.random.Int64N(int64(time.Hour)))
	settings := Defaults(r.name, r.process, len(c.routers), maxClientWait)
	settings.Place, settings.ClockDrift, settings.MaxRecords = r.place, clockDrift, c.maxRecords
	coordinator, err := New(settings)
	if err != nil {
		panic(err) // the settings are chosen by the test
	}
	r.coordinator = coordinator
	r.requests, r.claims = map[string]*simRequest{}, map[uint64]*simRequest{}
}

func (c *simCluster) recordFault(r *simRouter, fault string) {
	c.onEvent(timeline.Event{Node: r.name, Time: c.now, Action: fault, Fault: true})
}

// schedule has a router's process call run after some time, or after its pause if that ends later.
func (c *simCluster) schedule(r *simRouter, wait time.Duration, run func()) {
	c.timers = append(c.timers, timer{c.now + wait, r, r.process, run})
}

// step advances the time by stepTime, and runs what is due.
func (c *simCluster) step() {
	c.now += stepTime
	c.runTimers()
	c.deliverPackets()
	for _, r := range c.routers {
		if !r.down && c.now >= r.pausedUntil {
			c.runRouter(r)
		}
		if r.successor != nil {
			c.runSuccessor(r.successor)
		}
	}
	c.openOrders = slices.DeleteFunc(c.openOrders, func(o *simOrder) bool { return c.now > o.deadline+openOrderRetention })
	if c.scripted {
		return
	}
	for _, o := range c.openOrders {
		c.runClient(o)
	}
}

func (c *simCluster) runTimers() {
	for {
		i := slices.IndexFunc(c.timers, func(t timer) bool { return t.at <= c.now && c.now >= t.router.pausedUntil })
		if i < 0 {
			return
		}
		due := c.timers[i]
		c.timers = slices.Delete(c.timers, i, i+1)
		if due.router.process == due.process && !due.router.down {
			due.run()
		}
	}
}

func (c *simCluster) deliverPackets() {
	c.sortNetwork()
	for len(c.network) > 0 && c.network[0].at <= c.now {
		packet := c.network[0]
		c.network = c.network[1:]
		r := c.routers[packet.to]
		switch {
		case r.down:
		case c.now < r.pausedUntil: // the packet waits in the socket buffer
			packet.at = r.pausedUntil
			c.network = append(c.network, packet)
			c.sortNetwork()
		default:
			r.coordinator.Receive(r.clock(c.now), packet.data)
			c.carryOutActions(r)
		}
	}
}

func (c *simCluster) sortNetwork() {
	slices.SortStableFunc(c.network, func(a, b packetInFlight) int { return cmp.Compare(a.at, b.at) })
}

// runRouter calls a router's Tick if that is due, and sends the router's packets.
func (c *simCluster) runRouter(r *simRouter) {
	now := r.clock(c.now)
	if c.now%simTickInterval == 0 {
		r.coordinator.SetPeers(now, c.alivePeers(r))
		r.coordinator.Tick(now)
		c.carryOutActions(r)
	}
	for _, p := range r.coordinator.DuePackets(now) {
		c.send(r.index, p.To, p.Data)
	}
}

// runSuccessor calls the Tick of a process that takes clients and has not joined the cluster yet. Its packets go nowhere.
func (c *simCluster) runSuccessor(r *simRouter) {
	if now := r.clock(c.now); c.now%simTickInterval == 0 {
		r.coordinator.Tick(now)
		c.carryOutActions(r)
	}
	_ = r.coordinator.DuePackets(r.clock(c.now))
}

// hotRestart starts the successor of a router's process, unless one runs. It takes new clients at once, and the place of its predecessor in
// the cluster when that ends, within maxOverlap.
func (c *simCluster) hotRestart(r *simRouter) {
	if r.down || r.successor != nil {
		return
	}
	successor := &simRouter{index: r.index, name: r.name, place: r.place}
	c.start(successor)
	successor.clockRate, successor.clockOffset = r.clockRate, r.clockOffset
	r.successor = successor
	c.recordFault(r, "replaced")
	noProcess := &simRouter{} // the timer must run whatever becomes of the predecessor
	c.schedule(noProcess, c.randomTime(maxOverlap), func() {
		r.down = true
		c.routers[r.index] = successor
	})
}

// alivePeers returns the other routers that run and whose packets can reach the router r.
func (c *simCluster) alivePeers(r *simRouter) (alive []Peer) {
	for _, other := range c.routers {
		if other != r && !other.down && !c.cutLinks[[2]int{other.index, r.index}] && c.now >= other.pausedUntil {
			alive = append(alive, Peer{other.name, other.place})
		}
	}
	return alive
}

// send puts a packet on the network. One in 10 packets is sent twice, and one in 60 is delayed by up to 6 s.
func (c *simCluster) send(from int, to string, data []byte) {
	i := slices.IndexFunc(c.routers, func(r *simRouter) bool { return r.name == to })
	for range 1 + c.random.IntN(10)/9 {
		if c.cutLinks[[2]int{from, i}] || c.random.Float64() < c.lossRate {
			continue
		}
		at := c.now + time.Duration(c.random.ExpFloat64()*float64(8*ms))
		if c.random.IntN(60) == 0 {
			at += c.randomTime(6 * time.Second)
		}
		c.network = append(c.network, packetInFlight{at, from, i, data})
	}
}

func (c *simCluster) randomTime(below time.Duration) time.Duration {
	return time.Duration(c.random.Int64N(int64(below)))
}

// randomClientWait returns how long a client waits for an order, from 300 ms to maxClientWait.
func (c *simCluster) randomClientWait() time.Duration {
	const minWait = 300 * ms
	return minWait + c.randomTime(maxClientWait-minWait)
}

// injectFault injects a random fault, or ends the faults of the network.
func (c *simCluster) injectFault() {
	r := c.routers[c.random.IntN(len(c.routers))]
	if c.hotRestarts && c.random.IntN(3) == 0 {
		c.hotRestart(r)
		return
	}
	switch c.random.IntN(8) {
	case 0:
		simulation.Partition(c.random, len(c.routers), c.cutLinks)
	case 1: // cut one direction of a link
		c.cutLinks[[2]int{r.index, c.random.IntN(len(c.routers))}] = true
	case 2:
		c.lossRate = c.random.Float64() * 0.4
	case 3:
		r.pausedUntil = c.now + c.randomTime(4*time.Second)
		c.recordFault(r, "stopped")
	case 4, 5:
		if !r.down {
			c.killAndRestart(r)
		}
	default:
		c.healNetwork()
	}
}

func (c *simCluster) healNetwork() {
	clear(c.cutLinks)
	c.lossRate = 0
}

// killAndRestart kills a router, which restarts at the next step or within 3 s.
func (c *simCluster) killAndRestart(r *simRouter) {
	r.down = true
	c.recordFault(r, "killed")
	downFor := c.randomTime(3 * time.Second)
	if c.random.IntN(3) == 0 {
		downFor = stepTime
	}
	noProcess := &simRouter{} // the timer must run although the killed process has ended
	c.schedule(noProcess, downFor, func() { c.start(r) })
}
