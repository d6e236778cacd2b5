//go:build cluster

package main

import (
	"cmp"
	"errors"
	"math"
	"time"

	"hillknot/balancer"
	"hillknot/internal/cluster/failover"
	"hillknot/internal/cluster/membership"
	"hillknot/internal/cluster/state"
	"hillknot/internal/config"
	"hillknot/internal/core"
	"hillknot/internal/credit"
	"hillknot/internal/extension/orderfailover"
	"hillknot/internal/extension/prepaidcredit"
)

// joinCluster begins to share state with the other routers of the cluster, until stop is closed. It is called once a
// predecessor, if there is one, has been told that this process takes its place.
func joinCluster(cfg *config.Config, c *core.Core, shared *core.ClusterState, stop <-chan struct{}) (reloader, error) {
	var received packetReceivers
	members, err := membership.New(cfg.Name, cfg.Cluster,
		func(msgs []state.Message) { c.Post(func() { c.ReceiveGossip(msgs) }) },
		membership.PacketHandlers{
			Orders: func(packet []byte) { c.Post(func() { received.orderPacket(packet) }) },
			Credit: func(packet []byte) { c.Post(func() { received.creditPacket(packet) }) },
		})
	if err != nil {
		return nil, err
	}
	cluster := &clusterMember{Agent: members}
	if cfg.Cluster.Credit.Enabled {
		if cluster.credit, err = openPrepaidCredit(cfg, c, members); err != nil {
			return nil, err
		}
		c.Post(func() {
			received.credit = cluster.credit
			cluster.credit.Start()
		})
	}
	if cfg.Cluster.Failover.Enabled {
		orders, err := orderfailover.New(c, failoverSettings(cfg), cfg.Settings.Classes, members)
		if err != nil {
			return nil, err
		}
		c.Post(func() {
			received.orders = orders
			orders.Start()
		})
	}
	c.Post(func() { c.JoinCluster(shared, members) })
	go members.Run(stop)
	return cluster, nil
}

// packetReceivers are the extensions that take packets of other routers; nil: it has not started. They belong to the
// core's goroutine.
type packetReceivers struct {
	orders *orderfailover.Extension
	credit *prepaidcredit.Extension
}

func (r *packetReceivers) orderPacket(packet []byte) {
	if r.orders != nil {
		r.orders.Receive(packet)
	}
}

func (r *packetReceivers) creditPacket(packet []byte) {
	if r.credit != nil {
		r.credit.ReceivePacket(packet)
	}
}

// clusterMember is what SIGHUP reloads of a router in a cluster.
type clusterMember struct {
	*membership.Agent
	credit *prepaidcredit.Extension // nil: requests are free
}

// Reload implements reloader: it reads the keys and the top-ups again.
func (m *clusterMember) Reload() error {
	err := m.ReloadKeys()
	if m.credit != nil {
		err = errors.Join(err, m.credit.ReloadTopUps())
	}
	return err
}

// openPrepaidCredit opens the extension that holds requests to prepaid balances.
func openPrepaidCredit(cfg *config.Config, c *core.Core, m *membership.Agent) (*prepaidcredit.Extension, error) {
	block := cfg.Cluster.Credit
	settings := credit.Defaults(cfg.Name, cfg.Cluster.State.Process, "")
	settings.PacingHorizon = block.PacingHorizon
	settings.WithdrawalWindow = block.DrawWindow
	settings.MaxResponseBytes = cfg.Limits.ObjectBytes
	settings.Prices = map[string]credit.Price{}
	for class, price := range block.Prices {
		settings.Prices[class] = credit.Price{
			PerRequest:  millionths(price.PerRequest),
			PerMegabyte: millionths(price.PerMegabyte),
			Weight:      price.Weight,
		}
	}
	extension := prepaidcredit.Settings{TopUpFile: block.TopUpFile, AllowUnnamed: block.AllowUnnamed}
	return prepaidcredit.Open(c, cfg.Cluster.LedgerFile, settings, extension, m)
}

// millionths returns an amount of credits in millionths.
func millionths(credits float64) int64 { return int64(math.Round(credits * 1e6)) }

// failoverSettings returns the settings of order failover: the configuration's, over the defaults for the longest time that
// an order of any class may take.
func failoverSettings(cfg *config.Config) failover.Settings {
	cluster, block := cfg.Cluster, cfg.Cluster.Failover
	longestOrder := time.Duration(0)
	for _, class := range cfg.Settings.Classes {
		if class.Idempotency != balancer.Idempotent {
			longestOrder = max(longestOrder, cmp.Or(class.Deadline, cfg.Limits.LongestDeadline))
		}
	}
	settings := failover.Defaults(cfg.Name, cluster.State.Process, cluster.State.ClusterSize, cmp.Or(longestOrder, time.Second))
	settings.Place = cluster.Place
	settings.Strict = block.Strict
	settings.LeaseDuration = block.LeaseDuration
	settings.ReplicaTimeout = block.ReplicaTimeout
	settings.ClaimTimeout = block.ClaimTimeout
	settings.Retention = block.Retention
	settings.MaxRecords = block.MaxRecords
	settings.MaxBodyBytes = block.MaxBodyBytes
	return settings
}
