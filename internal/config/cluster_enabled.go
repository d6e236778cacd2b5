//go:build cluster

package config

// HasCluster tells whether this program has what routers talk to each other by.
const HasCluster = true
