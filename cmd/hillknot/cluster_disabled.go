//go:build !cluster

package main

import (
	"errors"

	"hillknot/internal/config"
	"hillknot/internal/core"
)

// joinCluster refuses: the library for gossip between routers costs every router 4 MB, used or not.
func joinCluster(*config.Config, *core.Core, *core.ClusterState, <-chan struct{}) (reloader, error) {
	return nil, errors.New(
		"key \"fleet\": this program was built without the tag cluster; make build puts one with it at bin/hillknot-cluster")
}
