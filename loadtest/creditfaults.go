package loadtest

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// The accounts of the measurement: the funds of one run out in each fault, those of the other never.
const (
	depletedAccount = "poor"
	ampleAccount    = "rich"
	ampleClients    = 4
)

// CreditResult is what a fault did to balances.
type CreditResult struct {
	Fault            string
	Funded, Spent    float64 // of the account that ran out, since the start; spent is the price of what clients were served
	MaxSpentRatio    float64 // the highest of spent over funded, of any account
	Served, Rejected int
	OrdersRunTwice   int
	ServedAfterEmpty int     // served in a second after half a second without any
	Stranded         float64 // the fraction of what was funded that nobody could spend in the end
	FundedRatio      float64 // what the account with funds was served, over what it was before the other ran out
}

// Broken reports whether more was spent than was funded, or an order ran twice.
func (r CreditResult) Broken() bool { return r.MaxSpentRatio > 1 || r.OrdersRunTwice > 0 }

// creditFault is a fault that a cluster which shares balances goes through, after a top-up.
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

// killRepeatedly restarts two routers in turn.
func (c *CreditCluster) killRepeatedly(length time.Duration) error {
	for i := range 6 {
		if err := c.Routers[i%2].restart(); err != nil {
			return err
		}
		time.Sleep(length / 12)
	}
	return nil
}

// RunCreditFaults runs the cluster under load through the faults that are named, or all. Before each, the account that runs
// out is topped up by an amount.
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

// runCreditFault runs clients of both accounts during a fault, until the funds of one have run out. The network is healed
// before that.
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

// startCreditLoad starts the clients of both accounts. One in three sends orders.
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

// measureCreditFault applies a fault, and measures what is served before it and after the funds have run out.
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

// addCreditCounts compares what clients were served with what was funded.
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
