//go:build !cluster

package config

// HasCluster tells whether this program has what routers talk to each other by: it costs every router some MB, used or not.
const HasCluster = false
