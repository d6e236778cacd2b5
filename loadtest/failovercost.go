package loadtest

import (
	"fmt"
	"io"
	"slices"
	"time"
)

const (
	costClients = 8
	costWarmUp  = 10 // calls of each client that are not counted: they open connections

	latencyPrecision = 10 * time.Microsecond
)

// failoverCost is what clients get from a cluster without faults, and what its routers send each other for that.
type failoverCost struct {
	orders, reads latencies
	readRate      float64 // reads a second, of a few clients that send one after the other
	packetRate    float64 // packets a second that each router sends to others while clients order
}

// latencies are quantiles of the times that requests took.
type latencies struct{ p50, p99 time.Duration }

func newLatencies(durations []time.Duration) (l latencies) {
	slices.Sort(durations)
	if count := len(durations); count > 0 {
		l.p50 = durations[count/2].Round(latencyPrecision)
		l.p99 = durations[count*99/100].Round(latencyPrecision)
	}
	return l
}

// measureFailoverCost compares the cost without and with failover.
func measureFailoverCost(settings ClusterSettings, out io.Writer) error {
	for _, enabled := range []bool{false, true} {
		c, err := startForCost(settings, enabled)
		if err != nil {
			return err
		}
		cost, err := c.measureCost(settings.FaultLength)
		c.Close()
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintf(out, "orders kept %v: an order takes %v at p50, %v at p99; a read %v, %v; %.0f reads a second; "+
			"%.0f packets a second, a router, with %d clients ordering\n", enabled, cost.orders.p50, cost.orders.p99,
			cost.reads.p50, cost.reads.p99, cost.readRate, cost.packetRate, costClients)
	}
	return nil
}

func startForCost(settings ClusterSettings, enabled bool) (*FailoverCluster, error) {
	if enabled {
		return StartFailoverCluster(settings, "")
	}
	return startWithoutFailover(settings)
}

// measureCost measures orders for a time, then reads for the same time.
func (c *FailoverCluster) measureCost(length time.Duration) (cost failoverCost, err error) {
	packets := c.Network.PacketsForwarded.Load()
	orders, err := c.requestDurations(length, 1)
	if err != nil {
		return cost, err
	}
	packets = c.Network.PacketsForwarded.Load() - packets
	reads, err := c.requestDurations(length, 0)
	if err != nil {
		return cost, err
	}
	return failoverCost{
		orders:     newLatencies(orders),
		reads:      newLatencies(reads),
		readRate:   float64(len(reads)) / length.Seconds(),
		packetRate: float64(packets) / length.Seconds() / float64(len(c.Routers)),
	}, nil
}

// requestDurations returns how long the calls of a few clients took, of which a fraction are orders.
func (c *FailoverCluster) requestDurations(length time.Duration, orderFraction float64) ([]time.Duration, error) {
	load, err := c.startClaimingClients(costClients, orderFraction, 0)
	if err != nil {
		return nil, err
	}
	time.Sleep(length)
	load.finish()
	load.close()
	var durations []time.Duration
	for _, claiming := range load.clients {
		for _, record := range claiming.records[min(len(claiming.records), costWarmUp):] {
			durations = append(durations, record.duration)
		}
	}
	return durations, nil
}
