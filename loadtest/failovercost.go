package loadtest

import (
	"fmt"
	"io"
	"slices"
	"time"
)

const (
	costClients = 8
	costWarmUp  = 10 // requests of each client that are not counted, because they open connections

	latencyPrecision = 10 * time.Microsecond
)

// failoverCost holds the latencies and rates that clients see in a cluster without faults, and the packets that its routers
// exchange.
type failoverCost struct {
	orders, reads latencies
	readRate      float64 // reads a second of costClients clients, each with one request in flight
	packetRate    float64 // packets a second that each router sends to the others while clients send orders
}

// latencies holds quantiles of the durations of requests.
type latencies struct{ p50, p99 time.Duration }

func newLatencies(durations []time.Duration) (l latencies) {
	slices.Sort(durations)
	if count := len(durations); count > 0 {
		l.p50 = durations[count/2].Round(latencyPrecision)
		l.p99 = durations[count*99/100].Round(latencyPrecision)
	}
	return l
}

// measureFailoverCost measures the cost without and with failover, and writes a line for each.
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

// measureCost measures orders for a length of time, then reads for the same length.
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

// requestDurations returns the durations of the requests of costClients clients. A fraction of the requests are orders.
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
