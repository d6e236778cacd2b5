// Package loadtest runs real router processes on loopback under load and faults, against fakes of the services that they use,
// and measures how clients are served. It is not part of the router: the program hillknot-loadtest runs its measurements, and
// the tests of cmd/hillknot run the shorter ones.
//
// The routers of a Fleet do not know each other. A Cluster is a fleet whose routers share state over a network that can
// inject faults. BudgetCluster, FailoverCluster and CreditCluster are clusters that share budgets, the orders in progress and
// prepaid balances. The fakes record what they receive, so that every result is checked from outside of the routers.
package loadtest
