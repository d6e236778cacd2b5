//go:build cluster

package config

// Talks tells whether this program has what routers talk to each other by.
const Talks = true
