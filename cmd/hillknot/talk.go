//go:build talk

package main

import (
	"hillknot/internal/config"
	"hillknot/internal/core"
	"hillknot/internal/fleetstate"
	"hillknot/internal/members"
)

// talk begins to share, and to talk to the others until stop is closed. It is called once a predecessor, if there is one,
// has been told that this process takes its place.
func talk(cfg *config.Config, c *core.Core, shared *core.Shared, stop <-chan struct{}) (keyed, error) {
	m, err := members.New(cfg.Name, cfg.Fleet, func(msgs []fleetstate.Message) { c.Post(func() { c.Hear(msgs) }) })
	if err != nil {
		return nil, err
	}
	c.Post(func() { c.Share(shared, m) })
	go m.Run(stop)
	return m, nil
}
