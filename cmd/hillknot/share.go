package main

import (
	"hillknot/internal/clock"
	"hillknot/internal/config"
	"hillknot/internal/core"
)

// keyed is who talks to other routers, by files that may change.
type keyed interface{ Reread() error }

// share prepares what the router shares with others, and has the module ask for it.
func share(cfg *config.Config) (*core.ClusterState, error) {
	cfg.Fleet.State.Process = uint64(clock.Wall()) // higher than that of any process before
	s, err := core.NewClusterState(core.ClusterSettings{State: cfg.Fleet.State, WarmUp: cfg.Fleet.Cold, Retries: cfg.Fleet.Retries})
	if err == nil {
		cfg.Settings.Coordinator = s
	}
	return s, err
}
