package loadtest

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"time"

	"hillknot/internal/testutil/faultnet"
)

// ClusterSettings holds the settings of a measurement of a cluster.
type ClusterSettings struct {
	Program     string // path of the router's program, built with the tag cluster
	Routers     int
	FaultLength time.Duration // how long each fault lasts
	Seed        uint64        // of the faults and the load
}

// Cluster is a fleet whose routers share state over a network that can inject faults.
type Cluster struct {
	*Fleet
	Network *faultnet.Network

	keyFile    string
	loads      []*pipelinedLoad // running loads
	seed       uint64
	rangeIndex byte // selects the address range of the proxies, which differs from those of other clusters of the process
}

const (
	clusterPort   = 7946
	clusterCaches = 4
	// unboundedOverload is an OverloadFactor so high that only the cluster limits the attempts at a page cache that warms up.
	unboundedOverload = 1000
	convergeTimeout   = 20 * time.Second // for all routers of a cluster to agree
)

// addressRanges is how many clusters can run in a process at the same time.
const addressRanges = 32

// clusterCount counts the clusters that this process has made.
var clusterCount atomic.Uint32

// newCluster makes the network and the key file of a cluster. The caller starts the routers with start.
func newCluster(seed uint64) (*Cluster, error) {
	dir, err := os.MkdirTemp("", "hillknot-keys-")
	if err != nil {
		return nil, err
	}
	c := &Cluster{
		Network:    faultnet.New(seed),
		seed:       seed,
		keyFile:    filepath.Join(dir, "keys"),
		rangeIndex: byte(clusterCount.Add(1) % addressRanges),
	}
	if err := c.writeKeys(generateKey()); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// clusterFleet describes the routers of a cluster.
func clusterFleet(routers int) FleetOptions {
	return FleetOptions{Routers: routers, RetryAfter: true, Caches: clusterCaches, KnownRouters: routers,
		OverloadFactor: unboundedOverload}
}

// start starts the routers. A router takes part in the cluster if blocks returns text for the block fleet of its operator's
// file. If blocks returns an empty string, the router is independent.
func (c *Cluster) start(program string, options FleetOptions, blocks func(router int) string) (err error) {
	options.Operator = func(router int, ip string) (string, error) {
		return c.operatorFile(router, ip, options.Routers, blocks(router))
	}
	c.Fleet, err = StartFleet(program, options)
	return err
}

// operatorFile adds a router to the network, and returns the text of its operator's file.
func (c *Cluster) operatorFile(router int, ip string, routers int, blocks string) (string, error) {
	listen := netip.AddrPortFrom(netip.MustParseAddr(ip), clusterPort)
	if err := c.Network.AddProcess(c.proxyAddress(router), listen); err != nil {
		return "", err
	}
	text := fmt.Sprintf("ops = \"%s:%d\"\n", ip, adminPort)
	if blocks == "" {
		return text, nil
	}
	var peers []string
	for other := range routers {
		if other != router {
			peers = append(peers, fmt.Sprintf("%q", c.proxyAddress(other)))
		}
	}
	return text + fmt.Sprintf(`fleet {
  listen    = %q
  advertise = %q
  peers     = [%s]
  key_file  = %q
  size      = %d
%s}
`, listen, c.proxyAddress(router), strings.Join(peers, ", "), c.keyFile, routers, blocks), nil
}

// proxyAddress returns the address at which the other routers reach a router.
func (c *Cluster) proxyAddress(router int) netip.AddrPort {
	pid := os.Getpid()
	ip := netip.AddrFrom4([4]byte{127, 63 - c.rangeIndex, byte(pid>>8&63 + 1), byte(1 + router)})
	return netip.AddrPortFrom(ip, uint16(20000+pid%20000))
}

// waitForMembership waits until every router sees every other. Before that, a check of the bounds on shared state proves
// nothing.
func (c *Cluster) waitForMembership() error {
	line := fmt.Sprintf("app_fleet_others %d\n", len(c.Routers)-1)
	if err := c.waitForMetrics(func(metrics string) bool { return strings.Contains(metrics, line) }); err != nil {
		return fmt.Errorf("not all routers see all others: %w", err)
	}
	return nil
}

// waitForMetrics waits until the metrics of every router satisfy a condition.
func (c *Cluster) waitForMetrics(condition func(metrics string) bool) error {
	for _, r := range c.Routers {
		metrics := r.metrics()
		for end := time.Now().Add(convergeTimeout); !condition(metrics); metrics = r.metrics() {
			if time.Now().After(end) {
				return fmt.Errorf("router %s has metrics that do not satisfy the condition: %s", r.ListenAddress, metrics)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// startLoads starts a load on each router, at a rate in requests a second.
func (c *Cluster) startLoads(rate func(router int) float64, seed uint64) {
	for i, r := range c.Routers {
		c.loads = append(c.loads, startPipelinedLoad(r.ListenAddress, rate(i), seed+uint64(i)))
	}
}

// stopLoads stops all loads, and returns the sums of their counts.
func (c *Cluster) stopLoads() (total PipelinedResult) {
	for _, load := range c.loads {
		total.add(load.stop())
	}
	c.loads = nil
	return total
}

// runSchedule applies the steps of a schedule of faults.
func (c *Cluster) runSchedule(steps []faultnet.Step) error {
	for _, step := range steps {
		time.Sleep(step.Delay)
		c.Network.Apply(step)
		for _, target := range step.Targets {
			switch r := c.Routers[target]; step.Fault {
			case faultnet.Killed:
				if err := r.restart(); err != nil {
					return err
				}
			case faultnet.Paused:
				r.stopFor(time.Second)
			}
		}
	}
	return nil
}

// others returns the numbers of all routers but one.
func (c *Cluster) others(router int) (numbers []int) {
	for i := range c.Routers {
		if i != router {
			numbers = append(numbers, i)
		}
	}
	return numbers
}

// Close ends all processes, loads and fakes, and removes all files.
func (c *Cluster) Close() {
	c.stopLoads()
	if c.Fleet != nil {
		c.Fleet.Close()
	}
	c.Network.Close()
	_ = os.RemoveAll(filepath.Dir(c.keyFile)) // files that can't be removed stay in the folder of temporary files
}

// closeAfter closes the cluster after an error of its start, and returns that error.
func (c *Cluster) closeAfter(err error) error {
	c.Close()
	return err
}
