//go:build !cluster

package config

// HasCluster reports whether this program contains the code by which routers communicate. It is left out of programs without
// the build tag cluster because it costs a router some MB of memory even if it is not used.
const HasCluster = false
