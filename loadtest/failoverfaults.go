package loadtest

import (
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"time"

	"hillknot/internal/testutil/faultnet"
)

const (
	failoverClients = 24 // of MeasureFailover
	// routersSettleTime is how long routers have to be up so that no client waits because of what happened before.
	routersSettleTime = 4 * time.Second
	// killInterval is the approximate time between two kills of MeasureFailover.
	killInterval = 600 * time.Millisecond
)

// faultScript applies a fault to a cluster under load. It calls markLost with the numbers of routers right before it kills or
// stops them.
type faultScript func(markLost func(routers ...int)) error

// failoverFault is a fault that is applied to a cluster whose routers take over each other's orders.
type failoverFault struct {
	name   string
	script faultScript
}

// failoverFaults returns the faults, in the order in which they are applied. A fault of the network lasts until a later one
// heals the network.
func (c *FailoverCluster) failoverFaults(length time.Duration) []failoverFault {
	withNetworkFault := func(apply func()) faultScript {
		return func(func(...int)) error {
			apply()
			time.Sleep(length)
			return nil
		}
	}
	withHealedNetwork := func(apply func()) faultScript { return withNetworkFault(func() { c.Network.Heal(); apply() }) }
	return []failoverFault{
		{"none", withNetworkFault(func() {})},
		{"two killed at once", func(markLost func(...int)) error { return c.killPairs(markLost, length) }},
		{"stopped for longer than a lease", func(markLost func(...int)) error { return c.stopThree(markLost, length) }},
		{"two cut off from the rest", withNetworkFault(func() { c.Network.Partition([]int{0, 1}) })},
		{"one isolated", withHealedNetwork(func() { c.Network.Partition([]int{0}) })},
		{"one not heard", withHealedNetwork(func() { c.Network.Block([]int{0}, c.others(0)) })},
		{"one deaf", withHealedNetwork(func() { c.Network.Block(c.others(0), []int{0}) })},
		{"a third of the packets lost, others late", withHealedNetwork(func() { c.Network.Impair(0.33, 100*time.Millisecond) })},
		{"keys rotated", func(func(...int)) error { c.Network.Heal(); return c.rotateKeys() }},
		{"rolling restart (SIGTERM)", func(func(...int)) error { return c.rollingRestart() }},
		{"drawn from the seed", func(func(...int)) error {
			return c.runSchedule(faultnet.Schedule(c.seed, len(c.Routers), 2*length, length/8))
		}},
	}
}

// killPairs kills two routers at once, and starts them again, three times.
func (c *FailoverCluster) killPairs(markLost func(...int), length time.Duration) error {
	for i := range 3 {
		if err := c.killAndStart(markLost, length/8, i, (i+1)%len(c.Routers)); err != nil {
			return err
		}
		time.Sleep(length / 5)
	}
	return nil
}

// stopThree stops the processes of three routers for a while, one after another.
func (c *FailoverCluster) stopThree(markLost func(...int), length time.Duration) error {
	for i := range 3 {
		markLost(i)
		c.Routers[i].stopFor(length / 4)
		time.Sleep(length / 12)
	}
	return nil
}

// killAndStart kills routers at once, and starts them again after a delay.
func (c *FailoverCluster) killAndStart(markLost func(...int), delay time.Duration, routers ...int) error {
	markLost(routers...)
	for _, i := range routers {
		c.Routers[i].Kill()
	}
	time.Sleep(delay)
	for _, i := range routers {
		if err := c.Routers[i].Start(); err != nil {
			return err
		}
	}
	return nil
}

// RunFailoverFaults runs the cluster under load through the faults named in only, or through all if only is nil. At the end
// it heals the network.
func (c *FailoverCluster) RunFailoverFaults(length time.Duration, clients int, only []string) ([]FailoverResult, error) {
	var results []FailoverResult
	for _, fault := range c.failoverFaults(length) {
		if only != nil && !slices.Contains(only, fault.name) {
			continue
		}
		result, err := c.runFault(fault, clients)
		if err != nil {
			return results, fmt.Errorf("%s: %w", fault.name, err)
		}
		results = append(results, result)
	}
	c.Network.Heal()
	return results, nil
}

// RunKills kills one random router after another, count times at an average interval, and starts each again.
func (c *FailoverCluster) RunKills(count int, interval time.Duration, clients int) (FailoverResult, error) {
	random := rand.New(rand.NewPCG(c.seed, 4))
	return c.runFault(failoverFault{"kill and restart, one after the other", func(markLost func(...int)) error {
		for range count {
			if err := c.killAndStart(markLost, interval/3, random.IntN(len(c.Routers))); err != nil {
				return err
			}
			time.Sleep(interval/2 + time.Duration(random.Int64N(int64(interval/3))))
		}
		return nil
	}}, clients)
}

// runFault runs clients during a fault, and counts the outcomes of their requests.
func (c *FailoverCluster) runFault(fault failoverFault, clients int) (FailoverResult, error) {
	result := FailoverResult{Fault: fault.name}
	load, err := c.startClaimingClients(clients, 0.5, 20*time.Millisecond)
	if err != nil {
		return result, err
	}
	defer load.close()
	time.Sleep(500 * time.Millisecond)
	err = fault.script(func(routers ...int) {
		result.Kills++
		var addresses []string
		for _, i := range routers {
			addresses = append(addresses, c.Routers[i].ListenAddress)
		}
		load.routersLost(addresses)
	})
	load.finish()
	time.Sleep(100 * time.Millisecond) // until requests on their way to a page cache have arrived
	for _, claiming := range load.clients {
		result.add(claiming.records, c.orders.ran)
	}
	return result, err
}

// RollingRestart restarts one independent router after another with SIGTERM under load, and counts the outcomes of requests.
// If discoveryDown is set, the discovery service is down meanwhile.
//
// The first result is that of clients of the library, which leave a router that announces its shutdown. The second result is
// that of other clients, which keep sending on each open connection, with many requests in flight.
func RollingRestart(settings ClusterSettings, discoveryDown bool) (FailoverResult, PipelinedResult, error) {
	c, err := startWithoutFailover(settings)
	if err != nil {
		return FailoverResult{}, PipelinedResult{}, err
	}
	defer c.Close()
	c.startLoads(func(int) float64 { return 100 }, settings.Seed)
	if discoveryDown {
		c.discovery.Close()
	}
	result, err := c.runFault(failoverFault{"rolling restart", func(func(...int)) error { return c.rollingRestart() }}, 16)
	return result, c.stopLoads(), err
}

// MeasureFailover measures the cost of failover and the outcomes of orders during faults and a number of kills. It writes a
// table.
func MeasureFailover(settings ClusterSettings, kills int, out io.Writer) error {
	if err := measureFailoverCost(settings, out); err != nil {
		return err
	}
	c, err := StartFailoverCluster(settings, "")
	if err != nil {
		return err
	}
	defer c.Close()
	time.Sleep(routersSettleTime)
	results, err := c.RunFailoverFaults(settings.FaultLength, failoverClients, nil)
	if err != nil {
		return err
	}
	killed, err := c.RunKills(kills, killInterval, failoverClients)
	if err != nil {
		return err
	}
	writeFailoverTable(append(results, killed), out)
	return nil
}
