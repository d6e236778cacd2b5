// Package fakes implements fake peers for a router and its clients: page caches, the discovery service, routers and
// connections that fail. Each fake server listens on loopback and answers as its caller scripts it. Tests, the load tests and
// the examples use this package; the router does not.
package fakes
