//go:build !cluster

package main

import (
	"errors"

	"hillknot/internal/config"
	"hillknot/internal/core"
)

// talk refuses: the library that routers talk by costs every router 4 MB, used or not.
func talk(*config.Config, *core.Core, *core.ClusterState, <-chan struct{}) (keyed, error) {
	return nil, errors.New("key \"fleet\": this program was built without the tag cluster; make build puts one with it at bin/hillknot-cluster")
}
