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
	var money *prepaidcredit.Purse
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
				if money != nil {
					money.Take(packet)
				}
			})
		}})
	if err != nil {
		return nil, err
	}
	t := &talking{Members: m}
	if cfg.Fleet.Credit.On {
		if t.purse, err = openPurse(cfg, c, m); err != nil {
			return nil, err
		}
		c.Post(func() { money = t.purse; money.Begin() })
		go t.purse.Run(stop)
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
	purse *prepaidcredit.Purse
}

// Reread reads the keys and the top-ups again. A faulty file changes nothing.
func (t *talking) Reread() error {
	err := t.ReadKeys()
	if t.purse != nil {
		err = errors.Join(err, t.purse.Read())
	}
	return err
}

func openPurse(cfg *config.Config, c *core.Core, m *membership.Members) (*prepaidcredit.Purse, error) {
	f := cfg.Fleet
	set := credit.Defaults(cfg.Name, f.State.Process, "")
	set.Rest, set.Chunk, set.Answer, set.Prices = f.Credit.Rest, f.Credit.Chunk, cfg.Limits.Object, map[string]credit.Price{}
	for class, p := range f.Credit.Prices {
		set.Prices[class] = credit.Price{Each: micro(p.Each), PerMB: micro(p.PerMB), Worth: p.Worth}
	}
	return prepaidcredit.Open(c, f.Ledger, set, prepaidcredit.Settings{Topups: f.Credit.Topups, Unnamed: f.Credit.Unnamed}, m)
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
	set.Place, set.Strict, set.Lease, set.Wait, set.Claim, set.Keep = f.Place, t.Strict, t.Lease, t.Wait, t.Claim, t.Keep
	set.Records, set.Body = t.Records, t.Body
	return set
}
