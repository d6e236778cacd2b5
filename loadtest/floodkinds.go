package loadtest

import (
	"fmt"
	"sync"
)

// floodKind is a kind of flood: what the peers of the router do, and what is started against it.
type floodKind struct {
	name           string
	discovery      floodStream             // what the discovery service sends
	cache          floodStream             // what page caches send, besides their answers
	log            func() (logPipe, error) // takes the place of the router's log; nil: a file
	mayLoseAnswers bool                    // the flood breaks the protocol in a way that costs it its own answers
	cluster        bool                    // the router takes part in a cluster, for which its program needs the tag cluster
	start          func(run *floodRun) *sync.WaitGroup
}

// startNothing is the start of a flood that comes from the peers of the router.
func startNothing(*floodRun) *sync.WaitGroup { return &sync.WaitGroup{} }

// floodKinds are all kinds of flood.
var floodKinds = []floodKind{
	{name: "one-client", start: startFloodClients(1, pageRequests, true)},
	{name: "clients", start: startFloodClients(40, pageRequests, true)},
	{name: "clients-unread", mayLoseAnswers: true, start: startFloodClients(40, pageRequests, false)},
	{name: "bodies", start: startFloodClients(40, bodyRequests, true)},
	{name: "bodies-unread", mayLoseAnswers: true, start: startFloodClients(40, bodyRequests, false)},
	{name: "health-checks", start: startFloodClients(40, healthRequests, true)},
	{name: "cancels", mayLoseAnswers: true, start: startFloodClients(40, cancelNotifications, true)},
	{name: "half-messages", mayLoseAnswers: true, start: startHalfMessages(100)},
	{name: "leavers", start: withLeavers(startFloodClients(40, healthRequests, true))},
	{name: "leavers-bodies", start: withLeavers(startFloodClients(40, bodyRequests, true))},
	{name: "churn", mayLoseAnswers: true, start: startChurn(20)},
	{name: "stopped", start: startStoppedLoad(80)},
	{name: "discovery-events", discovery: purgeEvents, start: startNothing},
	{name: "discovery-comments", discovery: comments, start: startNothing},
	{name: "discovery-lists", discovery: completeLists, start: startNothing},
	{name: "discovery-line", discovery: endlessLine, start: startNothing},
	{name: "discovery-reconnects", discovery: immediateEnds, start: startNothing},
	{name: "cache-answers", cache: unsolicitedAnswers, start: startNothing},
	{name: "cache-bodies", cache: unsolicitedBodies, start: startNothing},
	{name: "cache-line", cache: endlessLine, start: startNothing},
	{name: "dns-udp", mayLoseAnswers: true, start: startDatagrams(floodDNSPort, 8, sameNameQuery)},
	{name: "dns-tcp", mayLoseAnswers: true, start: startDNSConnections(20)},
	{name: "admin", mayLoseAnswers: true, start: startAdminRequests(32)},
	{name: "agent-check", mayLoseAnswers: true, start: startAgentChecks(32)},
	{name: "slow-clients", mayLoseAnswers: true, start: startConns(300, slowly(largeRequest))},
	{name: "half-clients", mayLoseAnswers: true, start: startConns(300, thenWait(halfRequest))},
	{name: "field-clients", mayLoseAnswers: true, start: startConns(300, thenWait(fieldsRequest))},
	{name: "slow-caches", cache: slowAnswers, start: startNothing},
	{name: "half-caches", cache: halfAnswers, start: startNothing},
	{name: "field-caches", cache: fieldAnswers, start: startNothing},
	{name: "slow-discovery", discovery: slowEvents, start: startNothing},
	{name: "half-discovery", discovery: halfEvents, start: startNothing},
	{name: "field-discovery", discovery: fieldEvents, start: startNothing},
	{name: "slow-dns", mayLoseAnswers: true, start: startConnsAt(floodDNSPort, 300, slowly(halfDNSMessage))},
	{name: "half-dns", mayLoseAnswers: true, start: startConnsAt(floodDNSPort, 300, thenWait(halfDNSMessage))},
	{name: "field-dns", mayLoseAnswers: true, start: startConnsAt(floodDNSPort, 300, thenWait(manyLabels))},
	{name: "slow-admin", mayLoseAnswers: true, start: startConnsAt(adminPort, 300, slowly(httpFields))},
	{name: "half-admin", mayLoseAnswers: true, start: startConnsAt(adminPort, 300, thenWait(halfHTTP))},
	{name: "field-admin", mayLoseAnswers: true, start: startConnsAt(adminPort, 300, thenWait(httpFields))},
	{name: "slow-agent-check", mayLoseAnswers: true, start: startConnsAt(floodAgentCheckPort, 300, slowly(halfDNSMessage))},

	{name: "one-unsound", mayLoseAnswers: true, start: startFloodClients(1, unsoundRequests, true)},
	{name: "one-new-classes", mayLoseAnswers: true, start: startFloodClients(1, unknownClasses, true)},
	{name: "one-new-objects", start: startFloodClients(1, newObjects, true)},
	{name: "one-new-orders", start: startFloodClients(1, newOrders, true)},
	{name: "one-health-checks", mayLoseAnswers: true, start: startFloodClients(1, healthRequests, true)},
	{name: "new-classes", mayLoseAnswers: true, start: startFloodClients(40, unknownClasses, true)},
	{name: "new-objects", start: startFloodClients(40, newObjects, true)},
	{name: "discovery-new-names", discovery: newNames, start: startNothing},
	{name: "dns-new-names", mayLoseAnswers: true, start: startDatagrams(floodDNSPort, 8, newNameQuery)},
	{name: "admin-new-paths", mayLoseAnswers: true, start: startConnsAt(adminPort, 32, newPaths)},

	{name: "half-gossip", cluster: true, start: startConnsAt(clusterPort, 300, thenWait(sharedHalfGossip))},
	{name: "gossip-packets", cluster: true, start: startDatagrams(clusterPort, 4, undecryptablePacket)},

	{name: "log-unread", log: unreadPipe, start: startMalformed(4), mayLoseAnswers: true},
	{name: "log-closed", log: closedPipe, start: startMalformed(4), mayLoseAnswers: true},
}

// FloodKinds returns the names of all kinds of flood.
func FloodKinds() (names []string) {
	for _, kind := range floodKinds {
		names = append(names, kind.name)
	}
	return names
}

// floodKindNamed returns a kind of flood by its name.
func floodKindNamed(name string) (floodKind, error) {
	for _, kind := range floodKinds {
		if kind.name == name {
			return kind, nil
		}
	}
	return floodKind{}, fmt.Errorf("no kind of flood is called %q", name)
}
