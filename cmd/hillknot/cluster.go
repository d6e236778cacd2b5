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

// joinCluster starts sharing state with the other routers of the cluster and continues until stop is closed. The caller
// must first have told the predecessor, if there is one, that this process takes its place.
func joinCluster(cfg *config.Config, c *core.Core, shared *core.ClusterState, stop <-chan struct{}) (reloader, error) {
	var received packetReceivers
	incoming := &incomingMessages{post: c.Post}
	members, err := membership.New(cfg.Name, cfg.Cluster,
		func(messages []state.Message) {
			incoming.receive(len(messages)*incomingOverheadBytes, func() { c.ReceiveGossip(messages) })
		},
		membership.PacketHandlers{
			Orders: func(packet []byte) { incoming.receive(len(packet), func() { received.receiveOrderPacket(packet) }) },
			Credit: func(packet []byte) { incoming.receive(len(packet), func() { received.receiveCreditPacket(packet) }) },
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

// packetReceivers holds the extensions that receive packets of other routers. A field is nil until its extension has
// started. Only the core's goroutine uses it.
type packetReceivers struct {
	orders *orderfailover.Extension
	credit *prepaidcredit.Extension
}

func (r *packetReceivers) receiveOrderPacket(packet []byte) {
	if r.orders != nil {
		r.orders.Receive(packet)
	}
}

func (r *packetReceivers) receiveCreditPacket(packet []byte) {
	if r.credit != nil {
		r.credit.ReceivePacket(packet)
	}
}

// clusterMember holds the parts of a router in a cluster that are reloaded on SIGHUP.
type clusterMember struct {
	*membership.Agent
	credit *prepaidcredit.Extension // nil if requests are free
}

// Reload implements reloader. It reads the cluster's keys and the top-ups again.
func (m *clusterMember) Reload() error {
	err := m.ReloadKeys()
	if m.credit != nil {
		err = errors.Join(err, m.credit.ReloadTopUps())
	}
	return err
}

// openPrepaidCredit opens the extension that charges requests to prepaid balances.
func openPrepaidCredit(cfg *config.Config, c *core.Core, m *membership.Agent) (*prepaidcredit.Extension, error) {
	block := cfg.Cluster.Credit
	settings := credit.Defaults(cfg.Name, cfg.Cluster.State.Process, "")
	settings.ClusterSize = cfg.Cluster.State.ClusterSize
	settings.PacingHorizon = block.PacingHorizon
	settings.WithdrawalWindow = block.WithdrawalWindow
	settings.MaxResponseBytes = cfg.Limits.ObjectBytes
	settings.Prices = map[string]credit.Price{}
	for class, price := range block.Prices {
		settings.Prices[class] = credit.Price{
			PerRequest:  toMillionths(price.PerRequest),
			PerMegabyte: toMillionths(price.PerMegabyte),
			Weight:      price.Weight,
		}
	}
	extensionSettings := prepaidcredit.Settings{TopUpFile: block.TopUpFile, AllowUnnamed: block.AllowUnnamed}
	return prepaidcredit.Open(c, cfg.Cluster.LedgerFile, settings, extensionSettings, m)
}

// toMillionths converts an amount of credits to millionths of a credit, rounded to the nearest.
func toMillionths(credits float64) int64 { return int64(math.Round(credits * 1e6)) }

// failoverSettings returns the settings of order failover: the defaults for the longest time that an order of any class may
// take, overridden by the configuration.
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
