package main

import (
	"hillknot/internal/clock"
	"hillknot/internal/config"
	"hillknot/internal/core"
)

// newClusterState creates the state that this router shares with other routers, and sets it in cfg as the coordinator that
// the decision module asks. It returns nil if the configuration has no cluster.
func newClusterState(cfg *config.Config) (*core.ClusterState, error) {
	if !cfg.Cluster.Enabled {
		return nil, nil
	}
	cfg.Cluster.State.Process = uint64(clock.Wall()) // the incarnation, higher than that of any earlier process
	shared, err := core.NewClusterState(core.ClusterSettings{
		State:   cfg.Cluster.State,
		WarmUp:  cfg.Cluster.WarmUp,
		Retries: cfg.Cluster.Retries,
	})
	if err != nil {
		return nil, err
	}
	cfg.Settings.ClusterState = shared
	return shared, nil
}
