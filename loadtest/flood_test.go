package loadtest

import (
	"strings"
	"testing"
	"time"
)

// floodTestLength is the length of each flood in the tests. `hillknot-loadtest floods` runs longer ones.
const floodTestLength = 2 * time.Second

// checkFloods runs kinds of floods, and fails the test where the router breaks a bound: its memory and descriptors, one answer in
// time for each request of a client that keeps to the protocol, an end in time with exit status 0.
func checkFloods(t *testing.T, kinds ...string) {
	t.Helper()
	program := buildRouter(t)
	for _, kind := range kinds {
		t.Run(kind, func(t *testing.T) {
			var report strings.Builder
			if err := MeasureFloods(FloodSettings{Program: program, Kinds: []string{kind}, Length: floodTestLength}, &report); err != nil {
				t.Error(err)
			}
			t.Log(report.String())
		})
	}
}

// Clients that send without waiting for answers, whether they read them or not.
func TestClientFloodsDoNotFillMemory(t *testing.T) {
	checkFloods(t, "one-client", "clients", "clients-unread", "bodies", "bodies-unread", "health-checks", "cancels", "churn", "leavers")
}

// Clients that keep to the protocol, with large requests, and a router that is stopped now and then.
func TestStopsDoNotFillMemory(t *testing.T) { checkFloods(t, "stopped") }

// A discovery service that sends without pause.
func TestDiscoveryFloodsDoNotFillMemory(t *testing.T) {
	checkFloods(t, "discovery-events", "discovery-comments", "discovery-lists", "discovery-line")
}

// Page caches that send what nobody asked for.
func TestPageCacheFloodsDoNotFillMemory(t *testing.T) {
	checkFloods(t, "cache-answers", "cache-bodies")
}

// Resolvers and load balancers that send without pause.
func TestOtherFloodsDoNotFillMemory(t *testing.T) { checkFloods(t, "dns-tcp", "agent-check") }

// The log is a pipe that nobody reads, or whose reader has gone.
func TestRouterServesWhenItsLogCanNotBeWritten(t *testing.T) {
	checkFloods(t, "log-unread", "log-closed")
}

// Hundreds of peers at once that write slowly, stop half way through a large message, or send very many short fields.
func TestSlowPeersDoNotFillMemory(t *testing.T) {
	checkFloods(t, "slow-clients", "half-clients", "field-clients", "half-caches", "field-discovery", "half-dns", "field-admin")
}

// Peers that send small or unsound messages under ever new names, on one connection or from everywhere.
func TestNewNamesDoNotFillMemory(t *testing.T) {
	checkFloods(t, "one-unsound", "one-new-classes", "one-new-orders", "discovery-new-names", "dns-new-names")
}
