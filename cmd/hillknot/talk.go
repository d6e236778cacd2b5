//go:build talk

package main

import (
	"cmp"
	"context"
	"log/slog"
	"time"

	"hillknot/brain"
	"hillknot/internal/config"
	"hillknot/internal/core"
	"hillknot/internal/fleetstate"
	"hillknot/internal/members"
	"hillknot/internal/outlive"
	"hillknot/internal/takeover"
)

// talk begins to share, and to talk to the others until stop is closed. It is called once a predecessor, if there is one,
// has been told that this process takes its place.
func talk(cfg *config.Config, c *core.Core, shared *core.Shared, stop <-chan struct{}) (keyed, error) {
	var hands *outlive.Hands // of the core's goroutine
	m, err := members.New(cfg.Name, cfg.Fleet, func(msgs []fleetstate.Message) { c.Post(func() { c.Hear(msgs) }) },
		func(packet []byte) {
			c.Post(func() {
				if hands != nil {
					hands.Take(packet)
				}
			})
		})
	if err != nil {
		return nil, err
	}
	if cfg.Fleet.Takeover.On {
		h, err := outlive.New(c, takeoverSettings(cfg), cfg.Settings.Classes, m, slog.Default().Enabled(context.Background(), slog.LevelDebug))
		if err != nil {
			return nil, err
		}
		c.Post(func() { hands = h; h.Guard() })
	}
	c.Post(func() { c.Share(shared, m) })
	go m.Run(stop)
	return m, nil
}

func takeoverSettings(cfg *config.Config) takeover.Settings {
	f := cfg.Fleet
	longest := time.Duration(0)
	for _, k := range cfg.Settings.Classes {
		if k.Effect != brain.Safe {
			longest = max(longest, cmp.Or(k.Deadline, cfg.Limits.Longest))
		}
	}
	set := takeover.Defaults(cfg.Name, f.State.Process, f.State.Size, cmp.Or(longest, time.Second))
	t := f.Takeover
	set.Place, set.Strict, set.Lease, set.Wait, set.Claim, set.Keep = f.Place, t.Strict, t.Lease, t.Wait, t.Claim, t.Keep
	set.Records, set.Body = t.Records, t.Body
	return set
}
