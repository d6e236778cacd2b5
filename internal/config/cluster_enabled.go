//go:build cluster

package config

// HasCluster reports whether this program contains the code by which routers communicate.
const HasCluster = true
