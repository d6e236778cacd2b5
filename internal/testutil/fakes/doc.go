// Package fakes implements fakes of the parties that a router and its clients talk to: page caches, the discovery service,
// routers and connections that fail. Each fake server listens on loopback and answers as its caller scripts it. Tests, the
// load tests and the examples use this package; the router does not.
package fakes
