package main

import (
	"hillknot/internal/clock"
	"hillknot/internal/config"
	"hillknot/internal/core"
)

// newClusterState prepares the state that this router shares with others, and makes it the coordinator that the decision
// module asks. It returns nil where the configuration has no cluster.
func newClusterState(cfg *config.Config) (*core.ClusterState, error) {
	if !cfg.Fleet.On {
		return nil, nil
	}
	cfg.Fleet.State.Process = uint64(clock.Wall()) // an incarnation: higher than that of any earlier process
	shared, err := core.NewClusterState(core.ClusterSettings{State: cfg.Fleet.State, WarmUp: cfg.Fleet.Cold, Retries: cfg.Fleet.Retries})
	if err != nil {
		return nil, err
	}
	cfg.Settings.Coordinator = shared
	return shared, nil
}
