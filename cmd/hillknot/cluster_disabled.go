//go:build !cluster

package main

import (
	"errors"

	"hillknot/internal/config"
	"hillknot/internal/core"
)

// joinCluster returns an error, because this build has no cluster support: the library for gossip between routers costs
// every router 4 MB, even if it is not used.
func joinCluster(*config.Config, *core.Core, *core.ClusterState, <-chan struct{}) (reloader, error) {
	return nil, errors.New(
		"key \"fleet\": this program was built without the tag cluster; make build writes one with the tag to bin/hillknot-cluster")
}
