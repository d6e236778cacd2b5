package config

import (
	"fmt"
	"net/netip"

	"hillknot/balancer"
	"hillknot/internal/cluster/keyring"
	"hillknot/internal/cluster/state"
	"hillknot/internal/jsonfields"
)

// Cluster configures the state that the router shares with other routers. The files call it the block fleet.
type Cluster struct {
	Enabled    bool
	Listen     netip.AddrPort     // for gossip, over UDP and TCP
	Advertise  netip.AddrPort     // the address at which other routers reach this one
	Peers      []string           // addresses of some routers of the cluster, through which this one joins
	KeyFile    string             // path of the file with the keys that encrypt the gossip
	State      state.Settings     // the incarnation is set at the start of the process
	WarmUp     state.BudgetLimits // budget of endpoints in slow start; a rate of 0: it is not shared
	Retries    state.BudgetLimits // budget of retries; a rate of 0: it is not shared
	Place      string             // such as a rack; orders are replicated to another place if a router there is alive
	Failover   Failover
	LedgerFile string // path of the ledger of prepaid credit, which must survive a kill of the process
	Credit     Credit
}

const maxPlaceBytes = 64 // of Cluster.Place

// readCluster reads the block fleet. Without it the router shares no state.
func readCluster(o jsonfields.Object, name string, classes []balancer.Class) Cluster {
	if !o.Has("fleet") {
		return Cluster{}
	}
	if !HasCluster {
		o.Fail("fleet", "needs the build tag cluster, which this program lacks: make build writes bin/hillknot-cluster with it")
		return Cluster{}
	}
	block := o.Object("fleet")
	block.Require("listen", "key_file", "size")
	c := Cluster{Enabled: true, State: state.Defaults(name, 0, block.Count("size", 1, 1))}
	c.State.Guest = block.Bool("guest")
	c.State.LeaseDuration = block.Duration("lease_ms", ms, c.State.LeaseDuration)
	c.State.EjectionDuration = block.Duration("verdict_ms", ms, c.State.EjectionDuration)
	c.State.Quorum = block.Count("quorum", 0, 0)
	c.WarmUp = readBudget(block, "cold", c.State.ClusterSize)
	c.Retries = readBudget(block, "retries", c.State.ClusterSize)
	c.readAddresses(block)
	if c.Place = block.String("place", ""); len(c.Place) > maxPlaceBytes {
		block.Fail("place", "is longer than 64 bytes")
	}
	c.Failover = readFailover(block, c)
	if c.Credit = readCredit(block, classes); c.Credit.Enabled {
		block.Require("ledger")
	}
	c.LedgerFile = block.String("ledger", "")
	c.validateState(block, name)
	if c.KeyFile != "" {
		if _, err := keyring.Read(c.KeyFile); err != nil {
			block.Fail("key_file", "can't be used: "+err.Error())
		}
	}
	return c
}

// readAddresses reads the addresses of this router and its peers, and the path of the key file.
func (c *Cluster) readAddresses(block jsonfields.Object) {
	c.KeyFile = block.String("key_file", "")
	c.Peers = block.Strings("peers")
	c.Listen, _ = netip.ParseAddrPort(readAddress(block, "listen")) // readAddress reports an error
	c.Advertise = c.Listen
	if block.Has("advertise") {
		c.Advertise, _ = netip.ParseAddrPort(readAddress(block, "advertise"))
	}
	if a := c.Advertise; a.IsValid() && a.Addr().IsUnspecified() {
		block.Fail("advertise", "must be an address that other routers can connect to, and not an unspecified one like 0.0.0.0")
	}
	for _, peer := range c.Peers {
		if _, err := netip.ParseAddrPort(peer); err != nil {
			block.Fail("peers", fmt.Sprintf("holds %q, which is not an address with a port", peer))
		}
	}
}

// validateState reports settings that the shared state does not accept, under the key that is most likely at fault.
func (c *Cluster) validateState(block jsonfields.Object, name string) {
	err := c.State.Check()
	if err == nil {
		return
	}
	defaults := state.Defaults(name, 0, 1)
	key := "size"
	switch {
	case block.Has("lease_ms") && c.State.LeaseDuration != defaults.LeaseDuration:
		key = "lease_ms"
	case block.Has("verdict_ms") && c.State.EjectionDuration != defaults.EjectionDuration:
		key = "verdict_ms"
	case c.State.Quorum != 0:
		key = "quorum"
	}
	block.Fail(key, "can't be used: "+err.Error())
}

const maxBudget = 1e6 // of a rate (per second) and of a burst

// readBudget reads a budget that all routers share. The burst is at least two for each router, so that half of a router's
// share still allows one.
func readBudget(block jsonfields.Object, name string, clusterSize int) state.BudgetLimits {
	if !block.Has(name) {
		return state.BudgetLimits{}
	}
	o := block.Object(name)
	o.Require("rate")
	leastBurst := 2 * float64(clusterSize)
	budget := state.BudgetLimits{Rate: o.Number("rate", 0)}
	if budget.Burst = o.Number("burst", max(budget.Rate/4, leastBurst)); budget.Burst < leastBurst || budget.Burst > maxBudget {
		o.Fail("burst", fmt.Sprintf("is out of range (at least 2 for each of %d routers, at most 1000000)", clusterSize))
	}
	if !(budget.Rate > 0 && budget.Rate <= maxBudget) {
		o.Fail("rate", "is out of range (above 0, to 1000000)")
	}
	return budget
}
