package loadtest

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// The accounts of the measurement. The funds of depletedAccount run out in each fault, those of ampleAccount never.
const (
	depletedAccount = "poor"
	ampleAccount    = "rich"
	ampleClients    = 4
)

// CreditResult holds what was measured while one fault was applied to a cluster that shares balances.
type CreditResult struct {
	Fault            string
	Funded, Spent    float64 // credits of depletedAccount since the start; Spent is the price of served requests
	MaxSpentRatio    float64 // maximum of spent over funded credits of any account
	Served, Rejected int
	OrdersRunTwice   int
	ServedAfterEmpty int     // requests of depletedAccount served in a second after half a second without any
	Stranded         float64 // fraction of the funds of depletedAccount that no client could spend by the end
	FundedRatio      float64 // requests of ampleAccount served after the other account ran out, relative to those before the fault
}

// Broken reports whether more was spent than was funded, or an order ran twice.
func (r CreditResult) Broken() bool { return r.MaxSpentRatio > 1 || r.OrdersRunTwice > 0 }

// creditFault is a fault that is applied to a cluster which shares balances, after a top-up.
type creditFault struct {
	name    string
	readers []int // the routers that read the top-up
	apply   func() error
}

// creditFaults returns the faults, in the order in which they are applied.
func (c *CreditCluster) creditFaults(length time.Duration) []creditFault {
	allRouters := make([]int, len(c.Routers))
	for i := range allRouters {
		allRouters[i] = i
	}
	withoutError := func(apply func()) func() error {
		return func() error {
			apply()
			return nil
		}
	}
	return []creditFault{
		{"none", allRouters, withoutError(func() {})},
		{"two cut off from the rest", allRouters, withoutError(func() { c.Network.Partition([]int{0, 1}) })},
		{"one isolated", allRouters, withoutError(func() { c.Network.Partition([]int{0}) })},
		{"one not heard", allRouters, withoutError(func() { c.Network.Block([]int{0}, allRouters) })},
		{"a third of the packets lost, others late", allRouters, withoutError(func() { c.Network.Impair(0.33, 100*time.Millisecond) })},
		{"top-up read by half of the fleet", allRouters[:len(allRouters)/2], withoutError(func() {})},
		{"stopped (SIGSTOP)", allRouters, withoutError(func() { c.Routers[0].stopFor(length / 4) })},
		{"killed again and again", allRouters, func() error { return c.killRepeatedly(length) }},
		{"rolling restart (SIGTERM)", allRouters, c.rollingRestart},
	}
}

// killRepeatedly kills and restarts two routers alternately, six times in total.
func (c *CreditCluster) killRepeatedly(length time.Duration) error {
	for i := range 6 {
		if err := c.Routers[i%2].restart(); err != nil {
			return err
		}
		time.Sleep(length / 12)
	}
	return nil
}

// RunCreditFaults runs the cluster under load through the faults named in only, or through all if only is nil. Before each
// fault, depletedAccount is topped up by an amount in credits.
func (c *CreditCluster) RunCreditFaults(length time.Duration, clients int, amount float64, only []string) (
	[]CreditResult, error) {
	var results []CreditResult
	for _, fault := range c.creditFaults(length) {
		if only != nil && !slices.Contains(only, fault.name) {
			continue
		}
		if err := c.TopUp("for "+fault.name, depletedAccount, amount, fault.readers); err != nil {
			return results, err
		}
		result, err := c.runCreditFault(fault, clients, length)
		if err != nil {
			return results, fmt.Errorf("%s: %w", fault.name, err)
		}
		results = append(results, result)
	}
	return results, nil
}

// runCreditFault runs clients of both accounts during a fault, then heals the network and waits until the funds of
// depletedAccount have run out.
func (c *CreditCluster) runCreditFault(fault creditFault, clients int, length time.Duration) (CreditResult, error) {
	result := CreditResult{Fault: fault.name}
	load := newPayingClients()
	err := c.startCreditLoad(load, clients)
	if err == nil {
		err = c.measureCreditFault(fault, load, length, &result)
	}
	load.finish()
	c.addCreditCounts(load, &result)
	return result, err
}

// startCreditLoad starts the clients of both accounts. One client in three sends orders.
func (c *CreditCluster) startCreditLoad(load *payingClients, depletedClients int) error {
	for i := range depletedClients + ampleClients {
		account := depletedAccount
		if i >= depletedClients {
			account = ampleAccount
		}
		paying, err := c.newPayingClient(payingClientOptions{account: account, seed: c.nextClientSeed(), claimsOrders: true,
			sendsOrders: i%3 == 0})
		if err != nil {
			return err
		}
		load.start(account, paying, creditPause)
	}
	return nil
}

// measureCreditFault applies a fault, and measures how many requests are served before the fault and after the funds of
// depletedAccount have run out.
func (c *CreditCluster) measureCreditFault(fault creditFault, load *payingClients, length time.Duration,
	result *CreditResult) error {
	if err := load.awaitFirstServed(); err != nil {
		return err
	}
	before := load.servedWithin(ampleAccount, length/4)
	if err := fault.apply(); err != nil {
		return err
	}
	time.Sleep(length / 2)
	c.Network.Heal()
	for range 40 {
		if load.servedWithin(depletedAccount, 500*time.Millisecond) == 0 {
			break
		}
	}
	result.ServedAfterEmpty = load.servedWithin(depletedAccount, time.Second)
	after := load.servedWithin(ampleAccount, length/4)
	result.FundedRatio = float64(after) / math.Max(float64(before), 1)
	return nil
}

// addCreditCounts adds the counts of all clients to the result, and compares the spent credits with the funded ones.
func (c *CreditCluster) addCreditCounts(load *payingClients, result *CreditResult) {
	for account, clients := range load.byAccount {
		for _, paying := range clients {
			c.spent[account] += paying.spent
			result.Served += paying.served
			result.Rejected += paying.rejected
		}
		result.MaxSpentRatio = math.Max(result.MaxSpentRatio, c.spent[account]/c.funded[account])
	}
	result.OrdersRunTwice = c.orders.runTwice()
	result.Funded, result.Spent = c.funded[depletedAccount], c.spent[depletedAccount]
	result.Stranded = 1 - result.Spent/result.Funded
}
