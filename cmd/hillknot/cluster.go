//go:build cluster

package main

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
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

// talk begins to share, and to talk to the others until stop is closed. It is called once a predecessor, if there is one,
// has been told that this process takes its place.
func talk(cfg *config.Config, c *core.Core, shared *core.ClusterState, stop <-chan struct{}) (keyed, error) {
	var hands *orderfailover.Extension // these are of the core's goroutine
	var prepaid *prepaidcredit.Extension
	m, err := membership.New(cfg.Name, cfg.Fleet, func(msgs []state.Message) { c.Post(func() { c.ReceiveGossip(msgs) }) }, membership.Lanes{
		Orders: func(packet []byte) {
			c.Post(func() {
				if hands != nil {
					hands.Receive(packet)
				}
			})
		},
		Credit: func(packet []byte) {
			c.Post(func() {
				if prepaid != nil {
					prepaid.ReceivePacket(packet)
				}
			})
		}})
	if err != nil {
		return nil, err
	}
	t := &talking{Members: m}
	if cfg.Fleet.Credit.On {
		if t.prepaid, err = openPrepaidCredit(cfg, c, m); err != nil {
			return nil, err
		}
		c.Post(func() { prepaid = t.prepaid; prepaid.Start() })
		go t.prepaid.Run(stop)
	}
	if cfg.Fleet.Takeover.On {
		h, err := orderfailover.New(c, takeoverSettings(cfg), cfg.Settings.Classes, m, slog.Default().Enabled(context.Background(), slog.LevelDebug))
		if err != nil {
			return nil, err
		}
		c.Post(func() { hands = h; h.Start() })
	}
	c.Post(func() { c.JoinCluster(shared, m) })
	go m.Run(stop)
	return t, nil
}

// talking is what SIGHUP reads again.
type talking struct {
	*membership.Members
	prepaid *prepaidcredit.Extension
}

// Reread reads the keys and the top-ups again. A faulty file changes nothing.
func (t *talking) Reread() error {
	err := t.ReadKeys()
	if t.prepaid != nil {
		err = errors.Join(err, t.prepaid.ReloadTopUps())
	}
	return err
}

func openPrepaidCredit(cfg *config.Config, c *core.Core, m *membership.Members) (*prepaidcredit.Extension, error) {
	f := cfg.Fleet
	set := credit.Defaults(cfg.Name, f.State.Process, "")
	set.PacingHorizon, set.DrawWindow, set.MaxResponseBytes, set.Prices = f.Credit.Rest, f.Credit.Chunk, cfg.Limits.Object, map[string]credit.Price{}
	for class, p := range f.Credit.Prices {
		set.Prices[class] = credit.Price{PerRequest: micro(p.Each), PerMegabyte: micro(p.PerMB), Weight: p.Worth}
	}
	return prepaidcredit.Open(c, f.Ledger, set, prepaidcredit.Settings{TopUpFile: f.Credit.Topups, AllowUnnamed: f.Credit.Unnamed}, m)
}

// micro is an amount of credits in millionths.
func micro(credits float64) int64 { return int64(math.Round(credits * 1e6)) }

func takeoverSettings(cfg *config.Config) failover.Settings {
	f := cfg.Fleet
	longest := time.Duration(0)
	for _, k := range cfg.Settings.Classes {
		if k.Idempotency != balancer.Idempotent {
			longest = max(longest, cmp.Or(k.Deadline, cfg.Limits.Longest))
		}
	}
	set := failover.Defaults(cfg.Name, f.State.Process, f.State.Size, cmp.Or(longest, time.Second))
	t := f.Takeover
	set.Place, set.Strict, set.LeaseDuration, set.ReplicaTimeout, set.ClaimTimeout, set.Retention = f.Place, t.Strict, t.Lease, t.Wait, t.Claim, t.Keep
	set.MaxRecords, set.MaxBodyBytes = t.Records, t.Body
	return set
}
