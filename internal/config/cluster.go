package config

import (
	"fmt"
	"net/netip"

	"hillknot/balancer"
	"hillknot/internal/cluster/keyring"
	"hillknot/internal/cluster/state"
	"hillknot/internal/jsonfields"
)

// Cluster configures what the router shares with other routers. In the files it is the block fleet.
type Cluster struct {
	Enabled    bool
	Listen     netip.AddrPort     // for gossip, over UDP and TCP
	Advertise  netip.AddrPort     // where other routers reach it
	Peers      []string           // addresses of some other routers, to join by
	KeyFile    string             // keys of the encrypted gossip
	State      state.Settings     // its incarnation is set at the start of the process
	WarmUp     state.BudgetLimits // the budget of endpoints in slow start; a rate of 0: not shared
	Retries    state.BudgetLimits // the budget of retries; a rate of 0: not shared
	Location   string             // such as a rack: replicas are kept elsewhere
	Failover   Failover
	LedgerFile string // of prepaid credit; it must survive a kill
	Credit     Credit
}

const maxLocationBytes = 64

// readCluster reads the block fleet, without which the router shares nothing.
func readCluster(o jsonfields.Object, name string, classes []balancer.Class) Cluster {
	if !o.Has("fleet") {
		return Cluster{}
	}
	if !HasCluster {
		o.Fail("fleet", "needs the build tag cluster, which this program was built without; make build puts one with it at bin/hillknot-cluster")
		return Cluster{}
	}
	b := o.Object("fleet")
	b.Require("listen", "key_file", "size")
	c := Cluster{Enabled: true, State: state.Defaults(name, 0, b.Count("size", 1, 1))}
	c.State.Guest = b.Bool("guest")
	c.State.LeaseDuration = b.Duration("lease_ms", ms, c.State.LeaseDuration)
	c.State.EjectionDuration = b.Duration("verdict_ms", ms, c.State.EjectionDuration)
	c.State.Quorum = b.Count("quorum", 0, 0)
	c.WarmUp = readBudget(b, "cold", c.State.ClusterSize)
	c.Retries = readBudget(b, "retries", c.State.ClusterSize)
	c.readAddresses(b)
	if c.Location = b.String("place", ""); len(c.Location) > maxLocationBytes {
		b.Fail("place", "is over 64 bytes")
	}
	c.Failover = readFailover(b, c)
	if c.Credit = readCredit(b, classes); c.Credit.Enabled {
		b.Require("ledger")
	}
	c.LedgerFile = b.String("ledger", "")
	c.validateState(b, name)
	if c.KeyFile != "" {
		if _, err := keyring.Read(c.KeyFile); err != nil {
			b.Fail("key_file", "can't be used: "+err.Error())
		}
	}
	return c
}

// readAddresses reads where this router and its peers are reached.
func (c *Cluster) readAddresses(b jsonfields.Object) {
	c.KeyFile = b.String("key_file", "")
	c.Peers = b.Strings("peers")
	c.Listen, _ = netip.ParseAddrPort(address(b, "listen")) // address reports an error
	c.Advertise = c.Listen
	if b.Has("advertise") {
		c.Advertise, _ = netip.ParseAddrPort(address(b, "advertise"))
	}
	if a := c.Advertise; a.IsValid() && a.Addr().IsUnspecified() {
		b.Fail("advertise", "must name an address that others can call: listen takes any")
	}
	for _, peer := range c.Peers {
		if _, err := netip.ParseAddrPort(peer); err != nil {
			b.Fail("peers", fmt.Sprintf("holds %q, which is no address with a port", peer))
		}
	}
}

// validateState reports settings that the shared state can't be run with, under the key that most likely is at fault.
func (c *Cluster) validateState(b jsonfields.Object, name string) {
	err := c.State.Check()
	if err == nil {
		return
	}
	defaults := state.Defaults(name, 0, 1)
	key := "size"
	switch {
	case b.Has("lease_ms") && c.State.LeaseDuration != defaults.LeaseDuration:
		key = "lease_ms"
	case b.Has("verdict_ms") && c.State.EjectionDuration != defaults.EjectionDuration:
		key = "verdict_ms"
	case c.State.Quorum != 0:
		key = "quorum"
	}
	b.Fail(key, "can't be used: "+err.Error())
}

const maxBudget = 1e6

// readBudget reads what all routers together may spend. The least burst is two for each router, so that half of a
// router's share still allows one.
func readBudget(b jsonfields.Object, name string, size int) state.BudgetLimits {
	if !b.Has(name) {
		return state.BudgetLimits{}
	}
	o := b.Object(name)
	o.Require("rate")
	leastBurst := 2 * float64(size)
	t := state.BudgetLimits{Rate: o.Number("rate", 0)}
	if t.Burst = o.Number("burst", max(t.Rate/4, leastBurst)); t.Burst < leastBurst || t.Burst > maxBudget {
		o.Fail("burst", fmt.Sprintf("is not from 2 for each of %d routers to a million", size))
	}
	if !(t.Rate > 0 && t.Rate <= maxBudget) {
		o.Fail("rate", "is not above 0, up to a million")
	}
	return t
}
