// Package loadtest runs real router processes on loopback against fakes of all that they talk to, under load and faults, and
// measures what clients get. It is not part of the router: hillknot-loadtest runs its measurements, and the tests of
// cmd/hillknot run the shorter ones.
//
// A Fleet is routers that do not know each other. A Cluster is a fleet whose routers share state over a network with faults;
// BudgetCluster, FailoverCluster and CreditCluster are clusters that share budgets, the orders in progress and prepaid
// balances. The fakes record what they received, so that every result is judged from outside of the routers.
package loadtest
