// Package fakes plays the parties that a router and its clients talk to: page caches, the discovery service, a router, and
// connections that fail. Each fake listens on loopback and answers as its test scripts it. Tests, the load tests and the
// examples use it; the router does not.
package fakes
